/** Log fields that tell what a stopping node decided on a request, and how the request fared afterwards. */
import type { StopDecision, StoppableRequest } from './types.ts'

function rounded (value: number | undefined): number | undefined {
  return value === undefined || !Number.isFinite(value) ? undefined : Math.round(value)
}

/** The decision with rounded figures; those that are not known are left out. */
export function stopDecisionFields (decision: StopDecision | undefined): Record<string, unknown> | undefined {
  if (decision === undefined) return undefined
  const { isAdmitted, basis, expectedMs, expectedEvents, deadlineInMs, leftMs, sinceStopMs, knownAnswers, recentAnswers, newestAnswerAgeMs, openStreams, pausePerEventMs } = decision
  return {
    isAdmitted,
    basis,
    expectedMs: rounded(expectedMs),
    deadlineInMs: rounded(deadlineInMs),
    leftMs: rounded(leftMs),
    sinceStopMs: rounded(sinceStopMs),
    knownAnswers,
    recentAnswers,
    newestAnswerAgeMs: rounded(newestAnswerAgeMs),
    openStreams,
    pausePerEventMs: rounded(pausePerEventMs),
    expectedEvents: rounded(expectedEvents)
  }
}

/** How far a request had come when a stop ended it: its latest attempt, and its events in all of them. */
export function stoppedFields ({ openAttempt, progress }: Pick<StoppableRequest, 'openAttempt' | 'progress'>): Record<string, unknown> {
  const pace = openAttempt?.pace()
  return {
    sinceSentMs: rounded(pace?.sinceSentMs),
    events: progress.eventBuffer.eventCount(),
    pausePerEventMs: rounded(pace?.pausePerEventMs)
  }
}
