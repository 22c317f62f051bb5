/** Platform nodes with stand-ins of the store, the platform API and backend servers, over loopback. */
import test from 'ava'
import { parseSettings } from '../../platform/settings.ts'
import { startNode } from '../../platform/node.ts'
import { createSystemClock } from '../../src/core/clock/index.ts'
import { formatResponse, startRawBackend } from '../../src/stand-ins/raw-backend/index.ts'
import { startPlatform } from './platform-stand-in.ts'
import { renderSettings } from './render-settings.ts'
import type { ExecutionContext } from 'ava'
import type { PlatformNode } from '../../platform/node.ts'
import type { RawRequestHandler } from '../../src/stand-ins/raw-backend/index.ts'

const clock = createSystemClock()

const respondOk: RawRequestHandler = ({ headers }, socket) => {
  socket.write(formatResponse(200, { 'x-cyclamenshunt-attempt-id': headers['x-cyclamenshunt-attempt-id'] ?? '', 'x-cyclamenshunt-response-seal': 's' }, 'whole'))
}

function createConfiguration (version: number, paths: string[]) {
  return {
    version,
    routes: paths.map(path => ({ name: path, host: '127.0.0.1', path_prefix: path, kind: 'safe', timeout_ms: 2000, slo_ms: 1000, service: 'registry', max_attempts: 2 })),
    services: [{ name: 'registry', max_connections: 10 }],
    tenants: [{ name: 'agency', api_keys: ['key-1'], unit: 'token', uncached_tokens: 1, rate_per_s: 1000, burst: 1000 }]
  }
}

async function waitUntil (condition: () => boolean | Promise<boolean>): Promise<void> {
  while (!await condition()) await clock.sleep(20)
}

/** Starts a node on its own block of ten ports. The tests of this file run serially. */
async function startTestNode (t: ExecutionContext, storeAddress: string, index: number, seeds = '127.0.0.1:1') {
  const port = 18_300 + index * 10
  const settings = parseSettings(renderSettings({
    node_name: `front-a-${index}`,
    'platform.address': storeAddress,
    'cloud.address': storeAddress,
    'listen.front': `127.0.0.1:${port}`,
    'listen.readiness': `127.0.0.1:${port + 1}`,
    'listen.control': `127.0.0.1:${port + 2}`,
    internal_ports: `${port + 3},${port + 9}`,
    seeds,
    'bounds.grace_s': '8',
    'bounds.report_window_s': '1'
  }), 'node.conf')
  const events: string[] = []
  const node: PlatformNode = await startNode(settings, { log: event => { events.push(event) } })
  let stopped = false
  const stop = async (): Promise<void> => {
    if (!stopped) await node.stop()
    stopped = true
  }
  t.teardown(stop)
  const call = (path: string, id: string) => fetch(`http://127.0.0.1:${port}${path}`, {
    headers: { 'x-cyclamenshunt-attempt-id': id, authorization: 'Bearer key-1' }
  })
  const isReady = async (): Promise<boolean> => (await fetch(`http://127.0.0.1:${port + 1}/cyclamenshunt/ready`)).status === 200
  return { call, isReady, stop, events, control: `127.0.0.1:${port + 2}` }
}

async function setUp (t: ExecutionContext) {
  const platform = await startPlatform()
  const backend = await startRawBackend(respondOk)
  t.teardown(async () => {
    await backend.close()
    await platform.close()
  })
  const entry = { service: 'registry', address: `127.0.0.1:${backend.port}`, zone: 'a', version: 'v1', slots: 4, state: 'ready', sequence: 1 }
  return { platform, backend, entry }
}

test.serial('a node is ready once it has a configuration, uses the newest version, and reports usage with a fencing number', async t => {
  const { platform, backend, entry } = await setUp(t)
  const node = await startTestNode(t, platform.address, 1)
  t.false(await node.isReady())
  t.is((await node.call('/x/', 'r-0')).status, 503)
  await platform.put('servers/i-1', entry)
  await platform.put('op/config', createConfiguration(3, ['/x/']))
  await waitUntil(node.isReady)
  t.is((await node.call('/x/', 'r-1')).status, 200)
  t.like(backend.requests[0]?.headers, { 'x-cyclamenshunt-expect-instance': 'i-1', 'x-cyclamenshunt-tenant': 'agency' })

  await platform.put('op/config', createConfiguration(5, ['/y/']))
  await waitUntil(async () => (await node.call('/y/', 'r-2')).status === 200)
  t.is((await node.call('/x/', 'r-3')).status, 404)
  await platform.put('op/config', createConfiguration(4, ['/x/']))
  await clock.sleep(500)
  t.is((await node.call('/x/', 'r-4')).status, 404)

  const countReportedRequests = (): number => platform.apiCalls.filter(({ path }) => path === '/usage').reduce((sum, { body }) => sum + ((body['counts'] as Record<string, number>)['agency'] ?? 0), 0)
  await waitUntil(() => countReportedRequests() === backend.requests.length)
  const windows = platform.apiCalls.map(({ body }) => body['window_id'])
  t.is(new Set(windows).size, windows.length)
  t.false(node.events.includes('dutyStepFailed'))
  t.true(platform.apiCalls.every(({ holder, fencingNumber }) => holder === 'front-a-1' && fencingNumber > 0))
})

test.serial('a draining backend server gets no new requests, and a stopping node finishes open requests', async t => {
  const { platform, backend, entry } = await setUp(t)
  await platform.put('servers/i-1', entry)
  await platform.put('op/config', createConfiguration(1, ['/x/']))
  const node = await startTestNode(t, platform.address, 2)
  await waitUntil(async () => (await node.call('/x/', 'r-1')).status === 200)

  backend.setHandler((request, socket) => { setTimeout(() => respondOk(request, socket), 600) })
  const open = node.call('/x/', 'r-2')
  await waitUntil(() => backend.requests.length >= 2)
  const stopping = node.stop()
  t.false(await node.isReady())
  t.is((await open).status, 200)
  t.is((await open).headers.get('connection'), 'close')
  await stopping

  const second = await startTestNode(t, platform.address, 3)
  await waitUntil(async () => (await second.call('/x/', 'r-3')).status === 200)
  await platform.put('servers/i-1', { ...entry, state: 'draining' })
  await waitUntil(async () => (await second.call('/x/', 'r-4')).status === 503)
  const before = backend.requests.length
  t.is((await second.call('/x/', 'r-5')).status, 503)
  t.is(backend.requests.length, before)
})

test.serial('a node that starts while the store is unavailable gets the configuration from another node', async t => {
  const { platform, entry } = await setUp(t)
  await platform.put('servers/i-1', entry)
  await platform.put('op/config', createConfiguration(1, ['/x/']))
  const first = await startTestNode(t, platform.address, 4)
  await waitUntil(async () => (await first.call('/x/', 'r-1')).status === 200)
  const cutOff = await startPlatform()
  t.teardown(cutOff.close)
  cutOff.setFault('busy')
  const second = await startTestNode(t, cutOff.address, 5, first.control)
  await waitUntil(second.isReady)
  t.is((await second.call('/x/', 'r-2')).status, 200)
})

test.serial('a node keeps its configuration and its backend servers when the store comes back from an older copy', async t => {
  const { platform, entry, backend } = await setUp(t)
  platform.setEra(1)
  await platform.put('op/config', createConfiguration(1, ['/x/']))
  const node = await startTestNode(t, platform.address, 6)
  await waitUntil(node.isReady)
  const copy = platform.copy()
  await platform.put('servers/i-1', entry)
  await platform.put('op/config', createConfiguration(2, ['/y/']))
  await waitUntil(async () => (await node.call('/y/', 'r-1')).status === 200)
  const isRegistered = (): boolean => platform.memory.state.list('cyclamenshunt/nodes/').length === 1
  await waitUntil(isRegistered)
  platform.restore(copy)
  await waitUntil(() => node.events.includes('storeRestored'))
  t.is((await node.call('/x/', 'r-2')).status, 404, 'a configuration never reverts')
  t.is((await node.call('/y/', 'r-3')).status, 200, 'the backend server may still register again')
  await platform.put('servers/i-1', { ...entry, sequence: 7 })
  await platform.put('op/config', createConfiguration(2, ['/y/']))
  await waitUntil(isRegistered)
  await clock.sleep(4_500)
  t.is((await node.call('/y/', 'r-4')).status, 200)
  t.is(backend.requests.length, 3)
})
