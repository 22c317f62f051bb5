/** Nodes that move a service to a new version on a manual clock, while the old version may be in trouble, too. */
import { createManualClock } from '../../../src/core/clock/index.ts'
import { toId } from '../../../src/core/ids/index.ts'
import { createServiceMoves } from '../../../src/core/moves/index.ts'
import { createMemoryKeyValue } from '../../../src/core/platform/key-value/index.ts'
import { createRegistrationTimes } from '../../../src/core/registrations/index.ts'
import { createRandom } from '../../../src/core/random/index.ts'
import type { BackendId, NodeId, RequestId, VersionId } from '../../../src/core/ids/index.ts'
import type { Duty } from '../../../src/core/leases/index.ts'
import type { AttemptResult, ServiceMoveOrder, ServiceMoves, ServiceMoveState, ServiceMoveStatus } from '../../../src/core/moves/service-moves.ts'

export const service = 'registry'
export const target = toId<VersionId>('v2')
export const maxShare = 0.1
/** Requests that the canary version may get beyond its share, as set in the platform's deployments. */
export const shareSlack = 50
export const dutyKey = 'duties/moves'
const tickMs = 100

/** A move and the traffic during it. */
export interface MoveScenario {
  nodes: number
  requestsPerSecond: number
  durationMs: number
  /** Probability that an attempt fails, by version, route and elapsed fraction of the move's time. */
  failure: (isCanary: boolean, route: string, elapsedRatio: number) => number
  /** Times to the first token and to the end of an attempt; `draw` is a random number in [0, 1). 60 ms for both by default. */
  latency?: (isCanary: boolean, draw: number, elapsedRatio: number) => { firstTokenMs: number, totalMs: number }
  /** Load as a multiple of `requestsPerSecond`; 1 by default. */
  loadFactor?: (elapsedRatio: number) => number
  /** Traffic before the order, which only the old version serves. */
  earlierMs?: number
  /** Whether the key-value service can't be reached, by the elapsed fraction of the move's time. */
  isStoreDown?: (elapsedRatio: number) => boolean
  /** Fraction of the move's time at which the play ends; 1 by default. */
  untilRatio?: number
}

/** Time after which callers that got no token leave. */
const patienceMs = 2_000

/** What became of a move. */
export interface MoveResult {
  states: ServiceMoveState[]
  /** Requests until the move ended, and requests to the canary version. */
  total: number
  canaryRequests: number
  /** Failed requests to the canary version. */
  failed: number
  endedAtRatio: number | undefined
}

/** Plays one move until its deadline. */
export async function playMove (seed: number, { nodes: count, requestsPerSecond, durationMs, failure, latency = () => ({ firstTokenMs: 60, totalMs: 60 }), earlierMs = 0, isStoreDown = () => false, untilRatio = 1, loadFactor = () => 1 }: MoveScenario): Promise<MoveResult> {
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
      record: ({ revision }) => startedAtMs === undefined ? undefined : { revision, startedAtMs, state: states.at(-1) },
      oldVersionPresence: () => 'running',
      areRegistrationsSettled: () => true,
      registrationTimes: createRegistrationTimes(1_200),
      encode: (_order, state, atMs) => {
        startedAtMs = atMs
        return { compares: [], puts: [{ key: `moves/${service}`, value: state }] }
      },
      routes: () => 2,
      nodes: () => count,
      hasCurrentView: () => true,
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
  function scheduleAttempt (moves: ServiceMoves, isCanary: boolean, elapsedRatio: number, result: AttemptResult): void {
    const nowMs = clock.wallMs()
    const { route } = result
    const { firstTokenMs, totalMs } = latency(isCanary, random(), elapsedRatio)
    const observation = { route, kind: 'first-token-slow' as const }
    if (firstTokenMs > patienceMs) {
      due.push({ atMs: nowMs + patienceMs, run: () => moves.recordLatency(service, isCanary, { ...observation, latencyMs: patienceMs, isLowerBound: true }) })
      return
    }
    due.push({ atMs: nowMs + firstTokenMs, run: () => moves.recordLatency(service, isCanary, { ...observation, latencyMs: firstTokenMs, isLowerBound: false }) })
    due.push({ atMs: nowMs + totalMs, run: () => moves.recordAttempt(service, isCanary, result) })
  }

  for (let elapsedRatio = -earlierMs / durationMs; elapsedRatio < untilRatio; elapsedRatio = (clock.wallMs() - startAtMs) / durationMs) {
    isOrdered = elapsedRatio >= 0
    store.setFaults(isStoreDown(elapsedRatio) ? { down: true } : undefined)
    const arrivals = Math.floor(requestsPerSecond * loadFactor(elapsedRatio) * tickMs / 1_000 + random())
    for (let arrival = 0; arrival < arrivals; arrival += 1) {
      const { moves } = nodes[Math.floor(random() * count)]!
      const isCanary = moves.versionRolesOf(service)(target) === 'evaluated' && random() < moves.canaryShareOf(service)
      const route = random() < 0.8 ? 'register' : 'status'
      const ok = random() >= failure(isCanary, route, elapsedRatio)
      if (endedAtRatio === undefined && isOrdered) total += 1
      if (isCanary) canaryRequests += 1
      if (isCanary && !ok) failed += 1
      moves.recordSent(service, isCanary)
      scheduleAttempt(moves, isCanary, elapsedRatio, { request: toId<RequestId>(`r-${clock.wallMs()}-${arrival}`), route, backend: toId<BackendId>('i-1'), ok })
    }
    for (const { run } of due.filter(({ atMs }) => atMs <= clock.wallMs())) run()
    due.splice(0, due.length, ...due.filter(({ atMs }) => atMs > clock.wallMs()))
    // In a large cluster only the holder of the duty, the first node, gets the reports.
    for (const from of nodes) for (const to of count > 16 ? nodes.slice(0, 1) : nodes) if (from !== to) to.moves.mergeReports(from.id, 'boot-1', JSON.parse(JSON.stringify(from.moves.reports())))
    await nodes[0]!.moves.reconcile()
    if (endedAtRatio === undefined && (states.includes('done') || states.includes('taken-back'))) endedAtRatio = elapsedRatio
    await clock.advance(tickMs)
  }
  return { states, total, canaryRequests, failed, endedAtRatio }
}
