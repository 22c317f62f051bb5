/** Moves of services whose versions run on separate backend servers: all nodes evaluate, one writes the result. */
import test from 'ava'
import { createManualClock } from '../../src/core/clock/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import { createServiceMoves } from '../../src/core/moves/service-moves.ts'
import { createMemoryKeyValue, createRevision } from '../../src/core/platform/key-value/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import type { BackendId, NodeId, RequestId, VersionId } from '../../src/core/ids/index.ts'
import type { Duty } from '../../src/core/leases/index.ts'
import type { AttemptResult, ServiceMoveOrder, ServiceMoves, ServiceMoveState, ServiceMoveStatus } from '../../src/core/moves/service-moves.ts'

const service = 'registry'
const target = toId<VersionId>('v2')
const maxShare = 0.1
/** Requests that the canary version may get beyond its share, as set in the platform's deployments. */
const shareSlack = 50
const dutyKey = 'duties/moves'
const tickMs = 100

interface Scenario {
  nodes: number
  requestsPerSecond: number
  durationMs: number
  /** Probability that an attempt fails, by version, route and elapsed fraction of the move's time. */
  failure: (isCanary: boolean, route: string, elapsedRatio: number) => number
  /** Times to the first token and to the end of an attempt; `draw` is a random number in [0, 1). 60 ms for both by default. */
  latency?: (isCanary: boolean, draw: number) => { firstTokenMs: number, totalMs: number }
  /** Traffic before the order, which only the old version serves. */
  earlierMs?: number
}

/** Time after which callers that got no token leave. */
const patienceMs = 2_000

interface SimulationResult {
  states: ServiceMoveState[]
  /** Requests until the move ended, and requests to the canary version. */
  total: number
  canaryRequests: number
  /** Failed requests to the canary version. */
  failed: number
  endedAtRatio: number | undefined
}

async function simulate (seed: number, { nodes: count, requestsPerSecond, durationMs, failure, latency = () => ({ firstTokenMs: 60, totalMs: 60 }), earlierMs = 0 }: Scenario): Promise<SimulationResult> {
  const random = createRandom(seed)
  const clock = createManualClock()
  const kv = createMemoryKeyValue({ clock })
  const store = kv.connect('holder')
  const noDeadline = { deadlineAtMs: Infinity }
  const written = await store.transact({ compares: [], puts: [{ key: dutyKey, value: '' }], deletes: [] }, noDeadline)
  const fencingNumber = written.isOk ? written.value.revision : 0
  const duty: Duty = {
    name: 'moves', fencingNumber: () => fencingNumber, guard: () => ({ key: dutyKey, modRevision: fencingNumber }), orderWindow: () => undefined, close: async () => {}
  }
  const order: ServiceMoveOrder = { service, target, durationMs, revision: fencingNumber }
  let isOrdered = false
  let status: ServiceMoveStatus | undefined
  let startedAtMs: number | undefined
  const states: ServiceMoveState[] = []
  const nodes = Array.from({ length: count }, (_, index) => ({
    id: toId<NodeId>(`node-${index}`),
    moves: createServiceMoves({
      node: toId<NodeId>(`node-${index}`),
      clock,
      log: (event, fields) => {
        if (event !== 'serviceMoveState' || fields?.['result'] !== 'written') return
        const state = fields['state'] as ServiceMoveState
        states.push(state)
        status = { state, target, revision: fencingNumber + states.length }
      },
      store,
      duty,
      orders: () => isOrdered ? [order] : [],
      status: () => status,
      startedAtMs: () => startedAtMs,
      encode: (_order, state, atMs) => {
        startedAtMs = atMs
        return { compares: [], puts: [{ key: `moves/${service}`, value: state }] }
      },
      routes: () => 2,
      nodes: () => count,
      maxShare,
      shareSlack
    })
  }))
  const startAtMs = clock.wallMs() + earlierMs
  const due: Array<{ atMs: number, run: () => void }> = []
  let total = 0
  let canaryRequests = 0
  let failed = 0
  let endedAtRatio: number | undefined

  /** Schedules what a node observes of an attempt: its first token, its end, or that the caller left before. */
  function scheduleAttempt (moves: ServiceMoves, isCanary: boolean, result: AttemptResult): void {
    const nowMs = clock.wallMs()
    const { route } = result
    const { firstTokenMs, totalMs } = latency(isCanary, random())
    const observation = { route, kind: 'first-token-slow' as const }
    if (firstTokenMs > patienceMs) {
      due.push({ atMs: nowMs + patienceMs, run: () => moves.recordLatency(service, isCanary, { ...observation, latencyMs: patienceMs, isLowerBound: true }) })
      return
    }
    due.push({ atMs: nowMs + firstTokenMs, run: () => moves.recordLatency(service, isCanary, { ...observation, latencyMs: firstTokenMs, isLowerBound: false }) })
    due.push({ atMs: nowMs + totalMs, run: () => moves.recordAttempt(service, isCanary, result) })
  }

  for (let elapsedRatio = -earlierMs / durationMs; elapsedRatio < 1; elapsedRatio = (clock.wallMs() - startAtMs) / durationMs) {
    isOrdered = elapsedRatio >= 0
    const arrivals = Math.floor(requestsPerSecond * tickMs / 1_000 + random())
    for (let arrival = 0; arrival < arrivals; arrival += 1) {
      const { moves } = nodes[Math.floor(random() * count)]!
      const isCanary = moves.versionRolesOf(service)(target) === 'evaluated' && random() < moves.canaryShareOf(service)
      const route = random() < 0.8 ? 'register' : 'status'
      const ok = random() >= failure(isCanary, route, elapsedRatio)
      if (endedAtRatio === undefined && isOrdered) total += 1
      if (isCanary) canaryRequests += 1
      if (isCanary && !ok) failed += 1
      scheduleAttempt(moves, isCanary, { request: toId<RequestId>(`r-${clock.wallMs()}-${arrival}`), route, backend: toId<BackendId>('i-1'), ok })
    }
    for (const { run } of due.filter(({ atMs }) => atMs <= clock.wallMs())) run()
    due.splice(0, due.length, ...due.filter(({ atMs }) => atMs > clock.wallMs()))
    // In a large cluster only the holder of the duty, the first node, gets the reports.
    for (const from of nodes) for (const to of count > 16 ? nodes.slice(0, 1) : nodes) if (from !== to) to.moves.mergeReports(from.id, JSON.parse(JSON.stringify(from.moves.reports())))
    await nodes[0]!.moves.reconcile()
    if (endedAtRatio === undefined && (states.includes('done') || states.includes('taken-back'))) endedAtRatio = elapsedRatio
    await clock.advance(tickMs)
  }
  return { states, total, canaryRequests, failed, endedAtRatio }
}

const usual = { nodes: 8, requestsPerSecond: 60, durationMs: 16_000 }

test('a good version takes over in time, and gets no more than its share until then', async t => {
  for (let seed = 1; seed <= 12; seed += 1) {
    const { states, total, canaryRequests } = await simulate(seed, { ...usual, failure: () => 0.01 })
    t.deepEqual(states, ['running', 'done'], `seed ${seed}`)
    t.true(canaryRequests <= maxShare * total + shareSlack, `${canaryRequests} of ${total} with seed ${seed}`)
  }
})

test('takes back early a version that fails most requests', async t => {
  for (let seed = 1; seed <= 12; seed += 1) {
    const { states, endedAtRatio, failed } = await simulate(seed, { ...usual, failure: isCanary => isCanary ? 0.7 : 0.01 })
    t.deepEqual(states, ['running', 'taken-back'], `seed ${seed}`)
    t.true((endedAtRatio ?? 1) < 0.4, `at ${endedAtRatio} with seed ${seed}`)
    t.true(failed <= 30, `${failed} with seed ${seed}`)
  }
})

test('takes back a version that fails on the less used route, or only from the middle of the move on', async t => {
  for (let seed = 1; seed <= 12; seed += 1) {
    const onOneRoute = await simulate(seed, { ...usual, failure: (isCanary, route) => isCanary && route === 'status' ? 0.7 : 0.01 })
    t.is(onOneRoute.states.at(-1), 'taken-back', `one route, seed ${seed}`)
    const late = await simulate(seed, { ...usual, failure: (isCanary, _route, elapsedRatio) => isCanary && elapsedRatio > 0.4 ? 0.7 : 0.01 })
    t.is(late.states.at(-1), 'taken-back', `late, seed ${seed}`)
  }
})

test('takes back a version that has had too few attempts', async t => {
  const { states } = await simulate(3, { ...usual, requestsPerSecond: 1, failure: () => 0 })
  t.deepEqual(states, ['running', 'taken-back'])
})

/** Latencies as of long streams: most attempts of a slow version end after its move, and some callers leave before. */
function streamLatency (slowRatio: number) {
  return (isCanary: boolean, draw: number): { firstTokenMs: number, totalMs: number } => {
    const isSlow = isCanary && draw < slowRatio
    const firstTokenMs = (isSlow ? 900 : 100) * (0.5 + 2 * draw)
    return { firstTokenMs, totalMs: firstTokenMs * 12 }
  }
}

const fast = { ...usual, nodes: 9, requestsPerSecond: 64, durationMs: 15_000, failure: () => 0 }

for (const [nodes, requestsPerSecond, earlierMs] of [[9, 64, 4_000], [9, 64, 0], [195, 400, 4_000]] as const) {
  test(`takes back a version that answers several times slower, at ${nodes} nodes ${earlierMs} ms after the first request`, async t => {
    for (let seed = 1; seed <= 6; seed += 1) {
      const { states, endedAtRatio, canaryRequests, total } = await simulate(seed, { ...fast, nodes, requestsPerSecond, earlierMs, latency: streamLatency(0.8) })
      t.deepEqual(states, ['running', 'taken-back'], `seed ${seed}`)
      t.true((endedAtRatio ?? 1) <= 0.7, `at ${endedAtRatio} with seed ${seed}`)
      t.true(canaryRequests <= maxShare * total + shareSlack, `${canaryRequests} of ${total} with seed ${seed}`)
    }
  })
}

test('a good version whose streams are long takes over in time', async t => {
  for (let seed = 1; seed <= 6; seed += 1) {
    const { states } = await simulate(seed, { ...fast, earlierMs: 4_000, latency: streamLatency(0) })
    t.deepEqual(states, ['running', 'done'], `seed ${seed}`)
  }
})

test('a restore of the key-value service neither begins a move again nor undoes its result', async t => {
  const clock = createManualClock()
  const kv = createMemoryKeyValue({ clock })
  let era = 1
  const store = { ...kv.connect('holder'), era: () => era }
  const duty: Duty = { name: 'moves', fencingNumber: () => 1, guard: () => ({ key: dutyKey, modRevision: 0 }), orderWindow: () => undefined, close: async () => {} }
  const written: ServiceMoveState[] = []
  let orders: ServiceMoveOrder[] = [{ service, target, durationMs: 15_000, revision: createRevision(1, 50) }]
  let status: ServiceMoveStatus | undefined
  const moves = createServiceMoves({
    node: toId<NodeId>('node-a'),
    clock,
    log: () => {},
    store,
    duty,
    orders: () => orders,
    status: () => status,
    startedAtMs: () => undefined,
    encode: (_order, state) => {
      written.push(state)
      return { compares: [], puts: [{ key: `moves/${service}`, value: state }] }
    },
    routes: () => 1,
    nodes: () => 1,
    maxShare,
    shareSlack
  })
  await moves.reconcile()
  moves.mergeReports(toId<NodeId>('node-b'), [{ service, revision: createRevision(1, 50), isBad: true, counts: [] }])
  await moves.reconcile()
  status = { state: 'taken-back', target, revision: createRevision(1, 60) }
  t.deepEqual(written, ['running', 'taken-back'])
  // The copy is older than the order.
  era = 2
  const [before] = orders
  orders = []
  status = undefined
  t.is(moves.versionRolesOf(service)(target), 'evaluated', 'the bad version stays apart from the others')
  t.is(moves.canaryShareOf(service), 0)
  // The operator writes the order again, at a revision that was given out before.
  orders = [{ ...before!, revision: createRevision(2, 45) }]
  await moves.reconcile()
  t.deepEqual(written, ['running', 'taken-back', 'taken-back'])
  t.is(moves.canaryShareOf(service), 0)
  status = { state: 'taken-back', target, revision: createRevision(2, 48) }
  await moves.reconcile()
  t.is(written.length, 3)
  // A later order in the same era is a new one.
  orders = [{ ...before!, revision: createRevision(2, 90) }]
  t.true(moves.canaryShareOf(service) > 0)
})
