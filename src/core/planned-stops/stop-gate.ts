/**
 * Decides whether a stopping node takes a request, and whether it sends one again:
 * only if it expects to finish before it ends its connections. All others are
 * refused at once, so that their callers can go to another node. A backend server
 * may become slower than estimated, so an estimate doesn't decide on what must not
 * be cut.
 */
import { createAnswerTimes } from './answer-times.ts'
import type { Clock } from '../clock/index.ts'
import type { AnswerTimes, DecisionBasis, GateRequest, OpenAttempt, PlannedStop, RequestKind, StopDecision } from './types.ts'

/** Options of the gate. */
export interface StopGateOptions {
  clock: Clock
  /** The stop in progress; undefined while the node isn't stopping. */
  stop: () => PlannedStop | undefined
}

/** The gate of a node. */
export interface StopGate {
  recordAnswer: (route: string, times: AnswerTimes) => void
  /** Called when an attempt is sent; its progress shows the present pace of its route. */
  openAttempt: (route: string) => OpenAttempt
  /** Returns undefined while the node isn't stopping, and takes all requests. */
  decide: (request: GateRequest) => StopDecision | undefined
}

/**
 * Whether nothing but its deadline bounds the time of the request. The caller of an at-most-once call that gets no
 * answer can't find out whether it ran. A repeatable request that isn't finished gets an error, and is sent again.
 */
function needsDeadline (kind: RequestKind, nowMs: number, { streamsCompleteFromMs }: PlannedStop): boolean {
  return kind === 'at-most-once' || (kind === 'stream' && nowMs >= streamsCompleteFromMs)
}

function basisOf (isDeadlineNeeded: boolean, expectedMs: number, deadlineInMs: number): DecisionBasis {
  if (isDeadlineNeeded) return 'deadline'
  if (expectedMs === Infinity) return 'nothing-known'
  return expectedMs <= deadlineInMs ? 'estimate' : 'deadline'
}

/** Creates the gate of a node. */
export function createStopGate ({ clock, stop }: StopGateOptions): StopGate {
  const times = createAnswerTimes(clock)

  function decide ({ route, kind, answerTokens, deadlineAtMs }: GateRequest, planned: PlannedStop): StopDecision {
    const { requestedAtMs, endsAtMs } = planned
    const nowMs = clock.monotonicMs()
    const deadlineInMs = deadlineAtMs - clock.wallMs()
    const estimate = times.estimate(route, answerTokens)
    const isDeadlineNeeded = needsDeadline(kind, nowMs, planned)
    const longestMs = isDeadlineNeeded ? deadlineInMs : Math.min(estimate.expectedMs, deadlineInMs)
    const isAdmitted = nowMs + longestMs <= endsAtMs
    if (isAdmitted && isDeadlineNeeded) planned.holdUntil(nowMs + deadlineInMs)
    return {
      isAdmitted,
      basis: basisOf(isDeadlineNeeded, estimate.expectedMs, deadlineInMs),
      deadlineInMs,
      leftMs: endsAtMs - nowMs,
      sinceStopMs: nowMs - requestedAtMs,
      ...estimate
    }
  }

  return {
    recordAnswer: times.record,
    openAttempt: times.openAttempt,
    decide: request => {
      const planned = stop()
      return planned === undefined ? undefined : decide(request, planned)
    }
  }
}
