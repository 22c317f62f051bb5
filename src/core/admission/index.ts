/**
 * Admission control of one node: concurrency limits for the node and for each team,
 * a queue for each team, and fair queueing between the teams when the node is full.
 */
import type { Result } from 'true-myth'
import { err, ok } from 'true-myth/result'
import type { TeamId } from '../ids/index.ts'
import type { Refusal, RefusalReason } from '../outcomes/index.ts'
import { createDurationEstimates } from './duration-estimates.ts'
import { chargeTeam, createTeamState, nextTeamToServe, updateLimits } from './team-state.ts'
import type { TeamState, Waiter } from './team-state.ts'
import type { Admission, AdmissionOptions, AdmissionRequest, Permit } from './types.ts'
import { expectedWaitMs, mustWait } from './waiting-time.ts'

export type * from './types.ts'
export { createConcurrencyLimit, createConcurrencyLimits } from './concurrency-limit.ts'
export { createRetryBudget } from './retry-budget.ts'

/** Shortest retry delay of a refused caller. */
const minRetryDelayMs = 250
/** Largest jitter, as a ratio of the retry delay, so that refused callers don't retry at the same time. */
const retryJitterRatio = 0.5
/** Cost of a request without a duration estimate. */
const defaultRequestCostMs = 1000

const refusalDetails: Partial<Record<RefusalReason, string>> = {
  'deadline-past': 'The deadline had passed when the request arrived.',
  'deadline-unreachable': 'The request can\'t finish by its deadline.',
  'queue-full': 'The queue of the team is full because the node is busy.',
  'team-limit': 'The team has reached its limits of requests in flight and waiting.',
  draining: 'The node is about to stop and accepts no new requests.',
  'caller-left': 'The caller disconnected while the request waited.'
}

/** Wall time after which a permit would come too late for the request. */
function latestStartAtMs (request: AdmissionRequest, expectedMs: number): number {
  return Math.min(request.startDeadlineAtMs ?? Infinity, request.deadlineAtMs - expectedMs)
}

/** Creates the admission control of one node. */
export function createAdmission (options: AdmissionOptions): Admission {
  const { clock, metrics, random, capacity = () => Infinity } = options
  const durationEstimates = createDurationEstimates()
  const teams = new Map<TeamId, TeamState>()
  let inFlight = 0
  let virtualTimeMs = 0
  let isDraining = false

  function createRefusal (reason: RefusalReason, waitMs?: number): Refusal {
    metrics.countRefusal(reason)
    const detail = refusalDetails[reason] ?? reason
    if (waitMs === undefined) return { reason, run: 'not-run', detail }
    const retryDelayMs = Math.max(minRetryDelayMs, waitMs) * (1 + retryJitterRatio * random())
    return { reason, run: 'not-run', retryAtMs: clock.wallMs() + Math.ceil(retryDelayMs), detail }
  }

  function stateOf (request: AdmissionRequest): TeamState {
    const existing = teams.get(request.team)
    if (existing !== undefined) return existing
    const created = createTeamState(request.team, virtualTimeMs)
    teams.set(request.team, created)
    return created
  }

  // Keeps an idle team's state until virtual time has reached its finish tag, so that a team can't escape what it was charged by pausing.
  function deleteIfIdle (state: TeamState): void {
    const isIdle = state.inFlight === 0 && state.queue.size() === 0
    const hasCaughtUp = state.finishTagMs <= virtualTimeMs || inFlight === 0
    if (isIdle && hasCaughtUp) teams.delete(state.team)
  }

  function activeWeight (): number {
    let sum = 0
    for (const state of teams.values()) {
      if (state.inFlight > 0 || state.queue.size() > 0) sum += state.weight
    }
    return sum
  }

  function createPermit (state: TeamState, request: AdmissionRequest, expectedMs: number, waitedMs: number): Permit {
    virtualTimeMs = chargeTeam(state, expectedMs > 0 ? expectedMs : defaultRequestCostMs, virtualTimeMs)
    state.inFlight += 1
    inFlight += 1
    metrics.observe('admission_wait_ms', waitedMs)
    const grantedAtMs = clock.monotonicMs()
    let released = false
    return {
      team: request.team,
      waitedMs,
      release: outcome => {
        if (released) return
        released = true
        state.inFlight -= 1
        inFlight -= 1
        if (outcome === 'done') durationEstimates.record(request.team, request.route, clock.monotonicMs() - grantedAtMs)
        grantAll()
        deleteIfIdle(state)
      }
    }
  }

  function nodeLimit (): number {
    return Math.max(1, Math.min(options.maxConcurrent, capacity()))
  }

  function grantNext (): boolean {
    if (inFlight >= nodeLimit()) return false
    const state = nextTeamToServe(teams.values(), virtualTimeMs)
    const waiter = state?.queue.peek()
    if (state === undefined || waiter === undefined) return false
    state.queue.remove(waiter)
    waiter.grant()
    return true
  }

  function grantAll (): void {
    let granted = true
    while (granted) granted = grantNext()
  }

  function enqueue (state: TeamState, request: AdmissionRequest, expectedMs: number): Promise<Result<Permit, Refusal>> {
    return new Promise(resolve => {
      const settled = new AbortController()
      const enqueuedAtMs = clock.monotonicMs()
      const settle = (result: Result<Permit, Refusal>): void => {
        state.queue.remove(waiter)
        settled.abort()
        resolve(result)
      }
      const waiter: Waiter = {
        grant: () => settle(ok(createPermit(state, request, expectedMs, clock.monotonicMs() - enqueuedAtMs))),
        drain: () => settle(err(createRefusal('draining', minRetryDelayMs)))
      }
      state.queue.push(request.priority, waiter)
      clock.sleep(latestStartAtMs(request, expectedMs) - clock.wallMs(), settled.signal).then(() => {
        if (!settled.signal.aborted) settle(err(createRefusal('deadline-unreachable', expectedMs)))
      })
      request.signal?.addEventListener('abort', () => {
        if (!settled.signal.aborted) settle(err(createRefusal('caller-left')))
      }, { once: true, signal: settled.signal })
    })
  }

  function immediateRefusal (state: TeamState, request: AdmissionRequest, expectedMs: number): Refusal | undefined {
    const remainingMs = request.deadlineAtMs - clock.wallMs()
    if (request.signal?.aborted === true) return createRefusal('caller-left')
    if (remainingMs <= 0) return createRefusal('deadline-past')
    const node = { maxConcurrent: nodeLimit(), inFlight, activeWeight: activeWeight() }
    const waitMs = expectedWaitMs(state, request, expectedMs, node)
    if (isDraining) return createRefusal('draining', waitMs)
    if (mustWait(state, request, node) && state.queue.size() >= request.maxQueued) {
      const reason = state.inFlight >= state.maxInFlight ? 'team-limit' : 'queue-full'
      return createRefusal(reason, waitMs)
    }
    if (waitMs > latestStartAtMs(request, expectedMs) - clock.wallMs()) return createRefusal('deadline-unreachable', waitMs)
    return undefined
  }

  async function admit (request: AdmissionRequest): Promise<Result<Permit, Refusal>> {
    const state = stateOf(request)
    updateLimits(state, request)
    const estimatedMs = request.expectedMs ?? durationEstimates.expectedMs(request.team, request.route)
    const expectedMs = estimatedMs ?? 0
    const refused = immediateRefusal(state, request, expectedMs)
    if (refused !== undefined) {
      deleteIfIdle(state)
      return err(refused)
    }
    const waiting = enqueue(state, request, expectedMs)
    grantAll()
    return await waiting
  }

  function drain (): void {
    isDraining = true
    for (const state of teams.values()) {
      for (const waiter of state.queue.all()) waiter.drain()
    }
  }

  function load (team?: TeamId): { inFlight: number, waiting: number } {
    if (team !== undefined) {
      const state = teams.get(team)
      return { inFlight: state?.inFlight ?? 0, waiting: state?.queue.size() ?? 0 }
    }
    let waiting = 0
    for (const state of teams.values()) waiting += state.queue.size()
    return { inFlight, waiting }
  }

  return { admit, load, drain, close: drain }
}
