/** Nodes whose store holds values that another writer left: wrong types, numbers out of range, deep nesting. */
import test from 'ava'
import { startNode } from '../../platform/node.ts'
import { parseSettings } from '../../platform/settings.ts'
import { createSystemClock } from '../../src/core/clock/index.ts'
import { formatResponse, startRawBackend } from '../../src/stand-ins/raw-backend/index.ts'
import { findFreePorts } from '../free-ports.ts'
import { startPlatform } from './platform-stand-in.ts'
import { renderSettings } from './render-settings.ts'
import type { ExecutionContext } from 'ava'

const clock = createSystemClock()
const deep = '['.repeat(200_000) + ']'.repeat(200_000)

async function waitUntil (condition: () => boolean | Promise<boolean>): Promise<void> {
  while (!await condition()) await clock.sleep(20)
}

function createConfiguration (version: number, changes: Record<string, unknown> = {}) {
  const route = { name: 'r-1', host: '127.0.0.1', path_prefix: '/x/', kind: 'safe', timeout_ms: 2000, slo_ms: 1000, service: 'registry', max_attempts: 2 }
  return { version, routes: [route], services: [{ name: 'registry', max_connections: 10 }], tenants: [{ name: 'agency', api_keys: ['key-1'] }], ...changes }
}

/** Starts a node with one sound backend server beside the given values. */
async function setUp (t: ExecutionContext, values: Record<string, unknown>) {
  const platform = await startPlatform()
  const backend = await startRawBackend(({ headers }, socket) => {
    socket.write(formatResponse(200, { 'x-cyclamenshunt-attempt-id': headers['x-cyclamenshunt-attempt-id'] ?? '', 'x-cyclamenshunt-response-seal': 's' }, 'whole'))
  })
  const entry = { service: 'registry', address: `127.0.0.1:${backend.port}`, zone: 'a', version: 'v1', slots: 4, state: 'ready', sequence: 1 }
  for (const [key, value] of Object.entries({ 'op/config': createConfiguration(1), ...values })) await platform.put(key, value)
  await platform.put('servers/sound', entry)
  const port = await findFreePorts(10)
  const events: Array<{ event: string, fields: Record<string, unknown> }> = []
  const node = await startNode(parseSettings(renderSettings({
    'platform.address': platform.address,
    'cloud.address': platform.address,
    'listen.front': `127.0.0.1:${port}`,
    'listen.readiness': `127.0.0.1:${port + 1}`,
    'listen.control': `127.0.0.1:${port + 2}`,
    internal_ports: `${port + 3},${port + 9}`,
    'bounds.grace_s': '1'
  }), 'node.conf'), { log: (event, fields = {}) => { events.push({ event, fields }) } })
  t.teardown(async () => {
    await node.stop()
    await backend.close()
    await platform.close()
  })
  const call = (path: string, headers: Record<string, string> = {}) => fetch(`http://127.0.0.1:${port}${path}`, {
    headers: { 'x-cyclamenshunt-attempt-id': String(Math.random()), authorization: 'Bearer key-1', ...headers }
  }).then(({ status }) => status, () => 0)
  const countOf = (event: string): number => events.filter(other => other.event === event).length
  await waitUntil(async () => await call('/x/') === 200)
  return { platform, entry, call, events, countOf, port }
}

test('odd entries of backend servers name none, are logged once each, and later entries are still followed', async t => {
  const sound = { service: 'registry', address: '127.0.0.1:70000', zone: 'a', version: 'v1', slots: 4, state: 'ready', sequence: 1 }
  const changes: object[] = [
    {}, { address: '127.0.0.1:0' }, { address: '127.0.0.256:80' }, { address: '0127.0.0.1:80' }, { address: '127.0.0.1:080' },
    { address: '127.0.0.1:80', slots: 0 }, { address: '127.0.0.1:80', slots: -1 }, { address: '127.0.0.1:80', slots: 1e308 },
    { address: '127.0.0.1:80', cold_remaining_ms: -1 }, { address: '127.0.0.1:80', leaves_ms: 1e300 }, { address: '127.0.0.1:80', born: 1e300 },
    { address: '127.0.0.1:80', version: 'v'.repeat(10_000) }, { address: '127.0.0.1:80', version: '\ufffd' }, { address: '127.0.0.1:80', sequence: '1' }
  ]
  const odd: Record<string, unknown> = Object.fromEntries(changes.map((change, index) => [`servers/odd-${index}`, { ...sound, ...change }]))
  Object.assign(odd, {
    'servers/deep': deep,
    'servers/deep-zone': JSON.stringify({ ...sound, zone: 0 }).replace('"zone":0', `"zone":${deep}`),
    'servers/infinite': JSON.stringify({ ...sound, address: '127.0.0.1:80' }).replace('"slots":4', '"slots":1e999'),
    'servers/null': null,
    'servers/bytes': '\u0000\u0001\ufffd',
    'servers/\u4e2d': { ...sound, address: '127.0.0.1:80' },
    'servers/': { ...sound, address: '127.0.0.1:80' }
  })
  const { platform, entry, call, events, countOf } = await setUp(t, odd)
  const statuses: number[] = []
  for (let index = 0; index < 60; index += 1) statuses.push(await call('/x/'))
  t.is(statuses.filter(status => status !== 200).length, 0)
  t.deepEqual(events.filter(({ event }) => event === 'backendChanged').map(({ fields }) => fields['backend']), ['sound'])
  t.is(countOf('backendEntryInvalid'), Object.keys(odd).length)
  t.true(events.every(({ fields }) => String(fields['cause'] ?? '').length < 300))
  // A heartbeat of an odd entry isn't logged again, and a change of a sound one is followed.
  await platform.put('servers/odd-1', { ...sound, address: '127.0.0.1:0', sequence: 2, note: 'x' })
  await platform.put('servers/other', { ...entry, address: '127.0.0.1:9' })
  await waitUntil(() => countOf('backendChanged') === 2)
  await platform.put('servers/sound', { ...entry, state: 'draining' })
  await waitUntil(() => events.some(({ event, fields }) => event === 'backendChanged' && fields['leaving'] === true))
  t.is(countOf('backendEntryInvalid'), Object.keys(odd).length)
})

test('odd registrations of nodes, rollouts and stored values of duties keep no node from serving', async t => {
  const node = { node: 'n', linkMbps: 1, host: '127.0.0.1', reportPort: 9, viewPort: 9 }
  const { platform, entry, call, countOf } = await setUp(t, {
    'cyclamenshunt/nodes/port': { ...node, reportPort: 70_000 },
    'cyclamenshunt/nodes/zero': { ...node, reportPort: 0 },
    'cyclamenshunt/nodes/view-port': { ...node, viewPort: -1 },
    'cyclamenshunt/nodes/link': { ...node, linkMbps: -1 },
    'cyclamenshunt/nodes/host': { ...node, host: '' },
    'cyclamenshunt/nodes/deep': deep,
    'op/rollout/number': { service: 5, target: {}, duration_s: 'x' },
    'op/rollout/registry': { service: 'registry', target: 'v2', duration_s: 1e308 },
    'op/rollout/deep': `{"service":${deep},"target":"v2","duration_s":3}`,
    'status/rollout/registry': { state: {}, target: 5 },
    'cyclamenshunt/moves/registry': { revision: {}, startedAtMs: 'x' },
    'cyclamenshunt/quarantine': { records: [{ service: 5 }] },
    'cyclamenshunt/quarantine-trial': { untilMs: {} },
    'cyclamenshunt/quota-levels': { atMs: 'x' },
    'cyclamenshunt/usage/x': deep,
    'cyclamenshunt/usage/1e300': { agency: -1 },
    'duties/platform': deep
  })
  await clock.sleep(1_500)
  for (let index = 0; index < 20; index += 1) t.is(await call('/x/'), 200)
  await platform.put('servers/other', { ...entry, address: '127.0.0.1:9' })
  await waitUntil(() => countOf('backendChanged') === 2)
  t.is(countOf('nodeEntryUnreadable'), 6)
  for (const event of ['dutyStepFailed', 'viewChangeFailed', 'gatewayFailed']) t.is(countOf(event), 0, event)
})

test('odd orders of version moves are ignored, and a sound one beside them is carried out', async t => {
  const order = { service: 'registry', target: 'v2', duration_s: 60 }
  const { events, countOf } = await setUp(t, {
    'op/rollout/deep': JSON.stringify({ ...order, service: 0 }).replace('"service":0', `"service":${deep}`),
    'op/rollout/number': { ...order, service: 5 },
    'op/rollout/other': { ...order, target: 'v3' },
    'op/rollout/endless': { ...order, service: 'endless', duration_s: 1e308 },
    'op/rollout/past': { ...order, service: 'past', duration_s: -1 },
    'op/rollout/long': { ...order, service: 'long', target: 'v'.repeat(10_000) },
    'status/rollout/registry': { state: {}, target: 5 },
    'cyclamenshunt/moves/registry': { revision: {}, startedAtMs: 'x' },
    'op/rollout/registry': order
  })
  await waitUntil(() => events.some(({ event, fields }) => event === 'serviceMoveState' && fields['service'] === 'registry' && fields['result'] === 'written'))
  t.deepEqual(events.flatMap(({ event, fields }) => event === 'serviceMoveSeen' ? [fields['target']] : []), ['v2'])
  t.is(countOf('dutyStepFailed'), 0)
  // Six orders, the status and the start: each logged once, although every request asks for them.
  t.is(countOf('configurationUnreadable'), 8)
})

test('an invalid route, service, team or limit of a configuration is left out, and the others hold', async t => {
  const [route] = createConfiguration(1).routes
  const { platform, call, events, countOf } = await setUp(t, {
    'op/config': createConfiguration(1, {
      routes: [
        { ...route, timeout_ms: 1e308 }, null, { ...route, path_prefix: '/odd/', timeout_ms: -1 }, { ...route, path_prefix: 'none' }, { ...route, path_prefix: '/kind/', kind: 'other' },
        { ...route, path_prefix: '/split/', traffic_split: [{ service: 'registry', weight: -1 }] }
      ],
      services: [{ name: 'registry', max_connections: 10 }, { name: 'other', engine: { slots: 0, kv_capacity: 1 } }, 5],
      tenants: [{ name: 'agency', api_keys: ['key-1'] }, { name: '\u4e2d', api_keys: ['key-2'] }, { name: 'negative', api_keys: ['key-3'], rate_per_s: -1 }],
      limits: { idle_timeout_ms: -1, header_timeout_ms: 1e308, max_body_bytes: 'x' }
    })
  })
  for (let index = 0; index < 10; index += 1) t.is(await call('/x/'), 200)
  t.is(await call('/odd/'), 404)
  t.is(await call('/x/', { authorization: 'Bearer key-2' }), 401)
  t.is(countOf('configurationPartInvalid'), 12)
  t.is(countOf('backendSuspected'), 0)
  await platform.put('op/config', 'not JSON')
  await platform.put('op/config', createConfiguration(1e300))
  await platform.put('op/config', createConfiguration(2))
  await waitUntil(() => events.some(({ event, fields }) => event === 'configurationTaken' && fields['version'] === 2))
  t.is(await call('/x/'), 200)
})
