/** Backend servers that name a request limit or are cold, in front of them several platform nodes that exchange reports over loopback. */
import test from 'ava'
import { parseSettings } from '../../platform/settings.ts'
import { startNode } from '../../platform/node.ts'
import { createSystemClock } from '../../src/core/clock/index.ts'
import { formatResponse, startRawBackend } from '../../src/stand-ins/raw-backend/index.ts'
import { createTestDiagnostics } from '../diagnostics.ts'
import { findFreePorts } from '../free-ports.ts'
import { startPlatform } from './platform-stand-in.ts'
import { nodeSettings } from './soak-deployment.ts'
import type { ExecutionContext } from 'ava'
import type { TestDiagnostics } from '../diagnostics.ts'
import type { RawBackend } from '../../src/stand-ins/raw-backend/index.ts'

const clock = createSystemClock()
const windowMs = 4_000
/** Time after a backend server first named its limit from which the rule is checked. */
const graceMs = 1_000

/** Requests that a backend server with a limit may get in any window, by the users' rule. */
function allowedInWindow (perSecond: number): number {
  return 1.5 * perSecond * windowMs / 1_000 + 5
}

function largestWindow (arrivalsAtMs: readonly number[], lengthMs = windowMs): number {
  return Math.max(0, ...arrivalsAtMs.map(fromMs => arrivalsAtMs.filter(atMs => atMs >= fromMs && atMs < fromMs + lengthMs).length))
}

/** A backend server that may name a limit, and the times at which requests arrive. */
interface LimitedServer {
  server: RawBackend
  limit: string | undefined
  arrivalsAtMs: number[]
}

async function startServer (answerMs = 0): Promise<LimitedServer> {
  const arrivalsAtMs: number[] = []
  const server = await startRawBackend(({ headers }, socket) => {
    arrivalsAtMs.push(clock.monotonicMs())
    const answer = formatResponse(200, {
      'x-cyclamenshunt-attempt-id': headers['x-cyclamenshunt-attempt-id'] ?? '',
      'x-cyclamenshunt-response-seal': 's',
      ...(limited.limit === undefined ? {} : { 'server-limit': limited.limit })
    }, 'whole')
    clock.sleep(answerMs).then(() => socket.write(answer))
  })
  const limited: LimitedServer = { server, limit: undefined, arrivalsAtMs }
  return limited
}

async function startTestNode (t: ExecutionContext, { logOf }: TestDiagnostics, storeAddress: string, index: number) {
  const port = await findFreePorts(10)
  const settings = parseSettings(nodeSettings(`front-a-${index}`, port, Number(storeAddress.split(':')[1]), [], true), 'node.conf')
  const node = await startNode(settings, { log: logOf(`front-a-${index}`) })
  t.teardown(node.stop)
  return async (id: string): Promise<number> => {
    const response = await fetch(`http://127.0.0.1:${port}/x/`, { headers: { 'x-cyclamenshunt-attempt-id': id, authorization: 'Bearer key-1' } })
    await response.arrayBuffer()
    return response.status
  }
}

/** Starts nodes in front of backend servers of one service and sends requests to random nodes until it ends. */
async function startLoad (t: ExecutionContext, { nodeCount, serverCount, perSecond, slots = 4, answerMs, service = {} }: { nodeCount: number, serverCount: number, perSecond: number, slots?: number, answerMs?: number, service?: object }) {
  const diagnostics = createTestDiagnostics(t)
  const platform = await startPlatform()
  const servers = await Promise.all(Array.from({ length: serverCount }, () => startServer(answerMs)))
  t.teardown(async () => {
    await Promise.all(servers.map(({ server }) => server.close()))
    await platform.close()
  })
  await platform.put('op/config', {
    version: 1,
    routes: [{ name: 'x', host: '127.0.0.1', path_prefix: '/x/', kind: 'safe', timeout_ms: 2_000, slo_ms: 1_000, service: 'registry', max_attempts: 2 }],
    services: [{ name: 'registry', max_connections: 10, ...service }],
    tenants: [{ name: 'agency', api_keys: ['key-1'], unit: 'token', uncached_tokens: 1, rate_per_s: 100_000, burst: 100_000 }]
  })
  const register = (index: number, { server }: LimitedServer) => platform.put(`servers/i-${index}`, { service: 'registry', address: `127.0.0.1:${server.port}`, zone: 'a', version: 'v1', slots, state: 'ready', sequence: 1, born: 1_000 })
  for (const [index, server] of servers.entries()) await register(index, server)
  const calls = await Promise.all(Array.from({ length: nodeCount }, (_, index) => startTestNode(t, diagnostics, platform.address, index)))
  for (const [index, call] of calls.entries()) while (await call(`start-${index}`) !== 200) await clock.sleep(20)
  const statuses: number[] = []
  let count = 0
  const sendFor = async (durationMs: number): Promise<void> => {
    const untilMs = clock.monotonicMs() + durationMs
    const open: Array<Promise<unknown>> = []
    while (clock.monotonicMs() < untilMs) {
      const call = calls[count % calls.length]!
      count += 1
      open.push(call(`r-${count}`).then(status => statuses.push(status)))
      await clock.sleep(1_000 / perSecond)
    }
    await Promise.all(open)
  }
  return { servers, sendFor, statuses, register }
}

test('a backend server that names a limit gets no more requests than that from all nodes together, and the others serve the rest', async t => {
  const { servers, sendFor, statuses } = await startLoad(t, { nodeCount: 3, serverCount: 3, perSecond: 40 })
  await sendFor(1_000)
  const [limited] = servers as [LimitedServer]
  limited.limit = '1'
  const namedAtMs = clock.monotonicMs()
  await sendFor(7_000)
  const largest = largestWindow(limited.arrivalsAtMs.filter(atMs => atMs >= namedAtMs + graceMs))
  t.true(largest <= allowedInWindow(1), `${largest} requests in ${windowMs} ms`)
  t.deepEqual(statuses.filter(status => status !== 200), [])
})

test('a backend server that appears during traffic gets no more requests than a cold one takes from all nodes together, then its part, and no caller is refused', async t => {
  const coldMs = 3_000
  // The answers of the server that was there before take longer, so that most of the load would go to the other one.
  const { servers, sendFor, statuses, register } = await startLoad(t, { nodeCount: 3, serverCount: 1, perSecond: 120, slots: 60, answerMs: 200, service: { max_connections: 200, cold_start_s: coldMs / 1_000, cold_per_s: 11 } })
  // On a first start, servers that register in the first seconds may have run before.
  await sendFor(4_000)
  t.true(servers.every(({ arrivalsAtMs }) => largestWindow(arrivalsAtMs, 1_000) > 25), 'those that were there before are not limited')
  const cold = await startServer()
  t.teardown(cold.server.close)
  await register(servers.length, cold)
  const registeredAtMs = clock.monotonicMs()
  await sendFor(7_000)
  const whileCold = cold.arrivalsAtMs.filter(atMs => atMs < registeredAtMs + coldMs)
  const largest = largestWindow(whileCold, 1_000)
  t.true(largest <= 21, `${largest} requests in a second`)
  t.true(whileCold.length >= 10, `${whileCold.length} requests while it was cold`)
  t.true(largestWindow(cold.arrivalsAtMs, 1_000) > 25, 'its part of the load once it is warm')
  t.deepEqual(statuses.filter(status => status !== 200), [])
})
