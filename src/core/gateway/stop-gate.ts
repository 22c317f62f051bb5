/**
 * Decides whether a stopping node takes a request, and whether it sends one again:
 * only if it expects to finish before it ends its connections. All others are
 * refused at once, so that their callers can go to another node.
 */
import { createAnswerTimes } from './answer-times.ts'
import type { Clock } from '../clock/index.ts'
import type { AnswerEstimate, AnswerTimes, OpenAttempt } from './answer-times.ts'

export type { AnswerTimes, OpenAttempt } from './answer-times.ts'

/** A request at the gate. */
export interface GateRequest {
  route: string
  /** Whether it must not run twice, and its answer comes whole or not at all. */
  isAtMostOnce: boolean
  /** Maximum tokens of the answer; undefined if the request doesn't say. */
  answerTokens: number | undefined
  /** Wall time. */
  deadlineAtMs: number
}

/** Monotonic times of a planned stop. */
export interface PlannedStop {
  requestedAtMs: number
  /** When open requests are ended. */
  endsAtMs: number
}

/** What bounded the time that a request is expected to take; with `nothing-known`, its deadline did. */
export type DecisionBasis = 'deadline' | 'estimate' | 'nothing-known'

/** What the gate decided on a request, and by what. */
export interface StopDecision extends AnswerEstimate {
  isAdmitted: boolean
  basis: DecisionBasis
  deadlineInMs: number
  /** Time to the end of the stop. */
  leftMs: number
  sinceStopMs: number
}

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

function basisOf (isAtMostOnce: boolean, expectedMs: number, deadlineInMs: number): DecisionBasis {
  if (isAtMostOnce) return 'deadline'
  if (expectedMs === Infinity) return 'nothing-known'
  return expectedMs <= deadlineInMs ? 'estimate' : 'deadline'
}

/** Creates the gate of a node. */
export function createStopGate ({ clock, stop }: StopGateOptions): StopGate {
  const times = createAnswerTimes(clock)

  function decide ({ route, isAtMostOnce, answerTokens, deadlineAtMs }: GateRequest, { requestedAtMs, endsAtMs }: PlannedStop): StopDecision {
    const nowMs = clock.monotonicMs()
    const deadlineInMs = deadlineAtMs - clock.wallMs()
    const estimate = times.estimate(route, answerTokens)
    // The caller of an at-most-once call that is cut can't find out whether it ran, so nothing but its deadline bounds it.
    const longestMs = isAtMostOnce ? deadlineInMs : Math.min(estimate.expectedMs, deadlineInMs)
    return {
      isAdmitted: nowMs + longestMs <= endsAtMs,
      basis: basisOf(isAtMostOnce, estimate.expectedMs, deadlineInMs),
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
