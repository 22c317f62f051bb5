/** Moves of services whose versions run on separate backend servers: all nodes evaluate, one writes the result. */
import test from 'ava'
import { dutyKey, maxShare, playMove, service, shareSlack, target } from '../../bench/measure/version-moves/play.ts'
import { createManualClock } from '../../src/core/clock/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import { packCounts } from '../../src/core/moves/attempt-counts.ts'
import { isSameAfterRestore } from '../../src/core/moves/order-continuity.ts'
import { createServiceMoves } from '../../src/core/moves/service-moves.ts'
import { createMemoryKeyValue, createRevision } from '../../src/core/platform/key-value/index.ts'
import { createRegistrationTimes } from '../../src/core/registrations/index.ts'
import type { BackendId, NodeId, RequestId } from '../../src/core/ids/index.ts'
import type { Duty } from '../../src/core/leases/index.ts'
import type { VersionPresence } from '../../src/core/registrations/index.ts'
import type { ServiceMoveOrder, ServiceMoveRecord, ServiceMoves, ServiceMovesOptions, ServiceMoveState, ServiceMoveStatus } from '../../src/core/moves/service-moves.ts'

const registrationTimes = createRegistrationTimes(1_200)
const usual = { nodes: 8, requestsPerSecond: 60, durationMs: 16_000 }

test('a good version takes over in time, and gets no more than its share until then', async t => {
  for (let seed = 1; seed <= 12; seed += 1) {
    const { states, total, canaryRequests } = await playMove(seed, { ...usual, failure: () => 0.01 })
    t.deepEqual(states, ['running', 'done'], `seed ${seed}`)
    t.true(canaryRequests <= maxShare * total + shareSlack, `${canaryRequests} of ${total} with seed ${seed}`)
  }
})

test('takes back early a version that fails most requests', async t => {
  for (let seed = 1; seed <= 12; seed += 1) {
    const { states, endedAtRatio, failed } = await playMove(seed, { ...usual, failure: isCanary => isCanary ? 0.7 : 0.01 })
    t.deepEqual(states, ['running', 'taken-back'], `seed ${seed}`)
    t.true((endedAtRatio ?? 1) < 0.4, `at ${endedAtRatio} with seed ${seed}`)
    t.true(failed <= 30, `${failed} with seed ${seed}`)
  }
})

test('takes back a version that fails on the less used route, or only from the middle of the move on', async t => {
  for (let seed = 1; seed <= 12; seed += 1) {
    const onOneRoute = await playMove(seed, { ...usual, failure: (isCanary, route) => isCanary && route === 'status' ? 0.7 : 0.01 })
    t.is(onOneRoute.states.at(-1), 'taken-back', `one route, seed ${seed}`)
    const late = await playMove(seed, { ...usual, failure: (isCanary, _route, elapsedRatio) => isCanary && elapsedRatio > 0.4 ? 0.7 : 0.01 })
    t.is(late.states.at(-1), 'taken-back', `late, seed ${seed}`)
  }
})

test('takes back a version that has had too few attempts', async t => {
  const { states } = await playMove(3, { ...usual, requestsPerSecond: 1, failure: () => 0 })
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
      const { states, endedAtRatio, canaryRequests, total } = await playMove(seed, { ...fast, nodes, requestsPerSecond, earlierMs, latency: streamLatency(0.8) })
      t.deepEqual(states, ['running', 'taken-back'], `seed ${seed}`)
      t.true((endedAtRatio ?? 1) <= 0.7, `at ${endedAtRatio} with seed ${seed}`)
      t.true(canaryRequests <= maxShare * total + shareSlack, `${canaryRequests} of ${total} with seed ${seed}`)
    }
  })
}

test('a good version whose streams are long takes over in time', async t => {
  for (let seed = 1; seed <= 6; seed += 1) {
    const { states } = await playMove(seed, { ...fast, earlierMs: 4_000, latency: streamLatency(0) })
    t.deepEqual(states, ['running', 'done'], `seed ${seed}`)
  }
})

/** The moves of one node that holds the duty. */
function createTestMoves (options: Partial<ServiceMovesOptions> & Pick<ServiceMovesOptions, 'orders'>): ServiceMoves {
  const clock = options.clock ?? createManualClock()
  const duty: Duty = { name: 'moves', fencingNumber: () => 1, guard: () => ({ key: dutyKey, modRevision: 0 }), orderWindow: () => undefined, close: async () => {} }
  return createServiceMoves({
    node: toId<NodeId>('node-a'),
    clock,
    log: () => {},
    store: createMemoryKeyValue({ clock }).connect('holder'),
    duty,
    status: () => undefined,
    record: () => undefined,
    oldVersionPresence: () => 'running',
    areRegistrationsSettled: () => true,
    registrationTimes,
    encode: (_order, state) => ({ compares: [], puts: [{ key: `moves/${service}`, value: state }] }),
    routes: () => 1,
    nodes: () => 1,
    hasCurrentView: () => true,
    maxShare,
    shareSlack,
    ...options
  })
}

const order: ServiceMoveOrder = { service, target, durationMs: 15_000, revision: 50 }

test('a node that may have missed the end of a move sends the new version nothing', t => {
  let hasCurrentView = false
  const moves = createTestMoves({ orders: () => [order], hasCurrentView: () => hasCurrentView })
  t.is(moves.canaryShareOf(service), 0)
  hasCurrentView = true
  t.true(moves.canaryShareOf(service) > 0)
})

test('attempts that are still running count towards the share of the new version', t => {
  const moves = createTestMoves({ orders: () => [order] })
  t.true(moves.canaryShareOf(service) > 0)
  for (let sent = 0; sent < shareSlack; sent += 1) moves.recordSent(service, true)
  t.is(moves.canaryShareOf(service), 0)
})

test('counts of a node that has restarted are added to those from before its restart', t => {
  const moves = createTestMoves({ orders: () => [order] })
  const report = (newBad: number, newTotal: number, oldTotal: number): unknown => [{
    service, revision: order.revision, isBad: false, counts: [packCounts({ route: 'register', kind: 'failing', share: maxShare, newBad, newTotal, oldBad: 0, oldTotal })]
  }]
  moves.mergeReports(toId<NodeId>('node-b'), 'boot-1', report(0, 30, 300))
  t.true(moves.canaryShareOf(service) > 0)
  moves.mergeReports(toId<NodeId>('node-b'), 'boot-2', report(12, 12, 60))
  t.is(moves.canaryShareOf(service), 0)
})

test('a restore of the key-value service neither begins a move again nor undoes its result', async t => {
  const clock = createManualClock()
  const kv = createMemoryKeyValue({ clock })
  let era = 1
  const store = { ...kv.connect('holder'), era: () => era }
  const written: ServiceMoveState[] = []
  let orders: ServiceMoveOrder[] = [{ ...order, revision: createRevision(1, 50) }]
  let status: ServiceMoveStatus | undefined
  const moves = createTestMoves({
    clock,
    store,
    orders: () => orders,
    status: () => status,
    encode: (_order, state) => {
      written.push(state)
      return { compares: [], puts: [{ key: `moves/${service}`, value: state }] }
    }
  })
  await moves.reconcile()
  moves.mergeReports(toId<NodeId>('node-b'), 'boot-1', [{ service, revision: createRevision(1, 50), isBad: true, counts: [] }])
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

/** One node that was started after a restore of the key-value service, which contains the order, the record of its move if there is one, and what nodes write. */
function createRestarted (record: ServiceMoveRecord | undefined, status?: ServiceMoveStatus) {
  const clock = createManualClock()
  const kv = createMemoryKeyValue({ clock })
  const orders = [{ ...order, revision: createRevision(2, 70) }]
  const written: ServiceMoveState[] = []
  const causes: unknown[] = []
  const servers = { old: 'absent' as VersionPresence, answersOld: true }
  const settledAtMs = clock.monotonicMs() + registrationTimes.settleMs
  let stored = record
  const moves = createTestMoves({
    clock,
    log: (event, fields) => { if (event === 'serviceMoveState') causes.push(fields?.['cause']) },
    store: { ...kv.connect('holder'), era: () => 2 },
    orders: () => orders,
    record: latest => stored !== undefined && (stored.revision === latest.revision || isSameAfterRestore({ ...latest, revision: stored.revision }, latest)) ? stored : undefined,
    status: () => written.length === 0 ? status : { state: written.at(-1)!, target, revision: createRevision(2, 70 + written.length) },
    oldVersionPresence: () => servers.old,
    areRegistrationsSettled: () => clock.monotonicMs() >= settledAtMs,
    encode: ({ revision }, state, startedAtMs) => {
      written.push(state)
      stored = { revision, startedAtMs, state }
      return { compares: [], puts: [{ key: `moves/${service}`, value: state }] }
    }
  })
  /** Serves requests for a time, as the share says; 20 a second by default. */
  async function serve (forMs: number, ok: (isCanary: boolean) => boolean, requestsPerStep = 1): Promise<{ toOld: number, toNew: number }> {
    const sent = { toOld: 0, toNew: 0 }
    for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += 50) {
      for (let request = 0; request < requestsPerStep; request += 1) {
        const isEvaluated = moves.versionRolesOf(service)(target) === 'evaluated'
        const isCanary = isEvaluated && (elapsedMs / 50 * requestsPerStep + request) % 100 < 100 * moves.canaryShareOf(service)
        sent[isCanary || !isEvaluated ? 'toNew' : 'toOld'] += 1
        moves.recordSent(service, isCanary)
        const result = { request: toId<RequestId>(`r-${clock.wallMs()}-${request}`), route: 'register', backend: toId<BackendId>('i-1'), ok: ok(isCanary) }
        if (isCanary || servers.answersOld) moves.recordAttempt(service, isCanary, result)
      }
      await moves.reconcile()
      await clock.advance(50)
    }
    return sent
  }
  return { clock, moves, orders, servers, written, causes, serve }
}

const lostResult: ServiceMoveRecord = { revision: createRevision(1, 50), startedAtMs: createManualClock().wallMs() - 20_000, state: 'running' }

test('a restarted node whose old version has stopped sends all requests to the new one, and completes the move instead of taking it back', async t => {
  for (const record of [lostResult, undefined]) {
    const { written, serve } = createRestarted(record)
    await serve(6_000, () => true)
    const later = await serve(30_000, () => true)
    t.is(later.toOld, 0)
    t.deepEqual(written, ['running', 'done'])
  }
})

// Guards against a move that is taken back to stopped servers, however late their registrations in the older copy expire.
for (const registeredForMs of [4_000, 7_000, 30_000]) {
  test(`does not take a move back to servers that are only registered in the older copy for ${registeredForMs} ms`, async t => {
    const { servers, written, causes, serve } = createRestarted(lostResult)
    Object.assign(servers, { old: 'registered', answersOld: false })
    await serve(registeredForMs, () => true)
    servers.old = 'absent'
    await serve(30_000, () => true)
    t.deepEqual(written, ['running', 'done'])
    t.deepEqual(causes, ['ordered', 'old-version-gone'])
  })
}

test('takes a move back after its deadline if the old version still has servers after a restore', async t => {
  const { servers, written, serve } = createRestarted(lostResult)
  servers.old = 'running'
  const sent = await serve(10_000, () => true)
  t.is(sent.toNew, 0)
  t.is(written.at(-1), 'taken-back')
})

test('a new version that fails gets nothing more, and is not taken back before the old version has servers', async t => {
  const { moves, servers, written, serve } = createRestarted(lostResult)
  const sent = await serve(40_000, () => false)
  t.true(sent.toNew < 50, String(sent.toNew))
  t.is(moves.canaryShareOf(service), 0)
  t.deepEqual(written, ['running'])
  servers.old = 'running'
  await moves.reconcile()
  t.deepEqual(written, ['running', 'taken-back'])
})

for (const record of [lostResult, { ...lostResult, startedAtMs: createManualClock().wallMs() }]) {
  test(`a new version that fails one request in seven for other reasons is not found bad while nothing can be compared, ${record === lostResult ? 'after' : 'before'} the deadline of its move`, async t => {
    const { servers, written, serve } = createRestarted(record)
    let count = 0
    const isOk = () => (count += 1) % 7 > 0
    // First the servers of the copy, which don't answer.
    Object.assign(servers, { old: 'registered', answersOld: false })
    await serve(4_000, isOk, 10)
    servers.old = 'absent'
    await serve(2_000, isOk, 10)
    const later = await serve(30_000, isOk, 10)
    t.is(later.toOld, 0)
    t.deepEqual(written, ['running', 'done'])
  })
}

test('the old version gets its share again as soon as it has servers', async t => {
  const { moves, servers, serve } = createRestarted(undefined)
  await serve(6_000, () => true)
  t.is(moves.canaryShareOf(service), 1)
  servers.old = 'running'
  t.true(moves.canaryShareOf(service) <= maxShare)
})

test('a recorded result holds for an order that is written again after it, in the copy and over it', async t => {
  const { clock, moves, orders, servers, written } = createRestarted({ ...lostResult, startedAtMs: createManualClock().wallMs(), state: 'taken-back' })
  servers.old = 'running'
  t.is(moves.canaryShareOf(service), 0)
  await moves.reconcile()
  // The copy had the order, and the operator writes it once more.
  orders[0] = { ...orders[0]!, revision: createRevision(2, 80) }
  t.is(moves.canaryShareOf(service), 0)
  await moves.reconcile()
  t.deepEqual(written, ['taken-back', 'taken-back'])
  await clock.advance(60_000)
  await moves.reconcile()
  orders[0] = { ...orders[0]!, revision: createRevision(2, 95) }
  t.true(moves.canaryShareOf(service) > 0, 'a later order is a new one')
})

test('an order that only the copy has is recorded anew, so that the same order later is a new one', async t => {
  const { clock, moves, orders, servers, written } = createRestarted({ ...lostResult, state: 'taken-back' }, { state: 'taken-back', target, revision: createRevision(2, 75) })
  servers.old = 'running'
  await moves.reconcile()
  t.deepEqual(written, [], 'the operator may still write the order again')
  await clock.advance(60_000)
  await moves.reconcile()
  t.deepEqual(written, ['taken-back'])
  await moves.reconcile()
  t.is(written.length, 1)
  orders[0] = { ...orders[0]!, revision: createRevision(2, 95) }
  t.true(moves.canaryShareOf(service) > 0)
})

/** A service with little traffic: two requests a second at the new version, and lookups that often fail by themselves. */
const small = { nodes: 9, requestsPerSecond: 25, durationMs: 30_000, earlierMs: 4_000 }

function smallFailure (route: string): number {
  return route === 'status' ? 0.14 : 0.004
}

/** Whether the old version is in trouble: from shortly after the order until shortly before the deadline. */
function isInTrouble (elapsedRatio: number): boolean {
  return elapsedRatio > 0.03 && elapsedRatio < 0.97
}

test('a failing version is not completed while the old version fails for another reason', async t => {
  for (let seed = 1; seed <= 12; seed += 1) {
    const { states, canaryRequests, total } = await playMove(seed, {
      ...small,
      failure: (isCanary, route, elapsedRatio) => Math.max(isCanary ? 0.6 : smallFailure(route), isInTrouble(elapsedRatio) ? 0.4 : 0)
    })
    t.false(states.includes('done'), `seed ${seed}`)
    t.true(canaryRequests <= maxShare * total + shareSlack, `${canaryRequests} of ${total} with seed ${seed}`)
  }
})

test('a slow version is not completed while most servers of the old version are slow for another reason', async t => {
  for (let seed = 1; seed <= 12; seed += 1) {
    const { states, canaryRequests, total } = await playMove(seed, {
      ...small,
      failure: (_isCanary, route) => smallFailure(route),
      latency: (isCanary, draw, elapsedRatio) => {
        const isServerSlow = isInTrouble(elapsedRatio) && (draw * 10) % 1 < 0.6
        const firstTokenMs = 30 * (0.5 + draw) * (isCanary ? 5 : 1) * (isServerSlow ? 5 : 1)
        return { firstTokenMs, totalMs: firstTokenMs }
      }
    })
    t.false(states.includes('done'), `seed ${seed}`)
    t.true(canaryRequests <= maxShare * total + shareSlack, `${canaryRequests} of ${total} with seed ${seed}`)
  }
})

test('a version that fails three requests in ten is not completed on the strength of a few attempts', async t => {
  for (let seed = 1; seed <= 24; seed += 1) {
    const { states } = await playMove(seed, { ...small, requestsPerSecond: 5, durationMs: 15_000, failure: isCanary => isCanary ? 0.3 : 0 })
    t.false(states.includes('done'), `seed ${seed}`)
  }
})

test('a good version is not completed after its deadline, if the key-value service was away until then', async t => {
  const { states } = await playMove(4, { ...small, requestsPerSecond: 60, failure: () => 0, isStoreDown: elapsedRatio => elapsedRatio > 0.5 && elapsedRatio < 1.1, untilRatio: 1.2 })
  t.deepEqual(states, ['running', 'taken-back'])
})
