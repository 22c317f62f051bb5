/**
 * Decides whether a stopping node takes a request, and whether it sends one again:
 * only if it expects to finish before it ends its connections. All others are
 * refused at once, so that their callers can go to another node.
 */
import { createAnswerTimes } from './answer-times.ts'
import type { Clock } from '../clock/index.ts'
import type { AnswerTimes, OpenAttempt } from './answer-times.ts'

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

/** Options of the gate. */
export interface StopGateOptions {
  clock: Clock
  /** Monotonic time at which open requests are ended; undefined while the node isn't stopping. */
  endsAtMs: () => number | undefined
}

/** The gate of a node. */
export interface StopGate {
  recordAnswer: (route: string, times: AnswerTimes) => void
  /** Called when an attempt is sent; its progress shows the present pace of its route. */
  openAttempt: (route: string) => OpenAttempt
  admits: (request: GateRequest) => boolean
}

/** Creates the gate of a node. */
export function createStopGate ({ clock, endsAtMs }: StopGateOptions): StopGate {
  const times = createAnswerTimes(clock)

  /** Longest time that the request is expected to take. The caller of an at-most-once call that is cut can't find out whether it ran, so nothing but its deadline bounds it. */
  function longestMs ({ route, isAtMostOnce, answerTokens, deadlineAtMs }: GateRequest): number {
    const untilDeadlineMs = deadlineAtMs - clock.wallMs()
    return isAtMostOnce ? untilDeadlineMs : Math.min(times.expectedMs(route, answerTokens), untilDeadlineMs)
  }

  return {
    recordAnswer: times.record,
    openAttempt: times.openAttempt,
    admits: request => {
      const endAtMs = endsAtMs()
      return endAtMs === undefined || clock.monotonicMs() + longestMs(request) <= endAtMs
    }
  }
}
