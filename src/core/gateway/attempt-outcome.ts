/** What the end of an attempt says about the version that the backend server runs. */
import type { AttemptEnd } from './attempt.ts'

/** Why an attempt was aborted, if it was. */
export interface AbortCircumstances {
  /** Whether the request's deadline passed. */
  isTimedOut: boolean
  /** Whether the caller waited for longer than the route's target, for the response or for the next event. */
  isPastTarget: boolean
}

/**
 * Whether an attempt succeeded; undefined when its end says nothing about the
 * version, such as when another server has the address or the caller left early.
 * A version that hangs or turns requests away fails them as much as one that
 * responds with an error.
 */
export function isAttemptOk (end: AttemptEnd, { isTimedOut, isPastTarget }: AbortCircumstances): boolean | undefined {
  if (end.kind === 'passed-on') return true
  if (end.kind === 'complete') return end.response.status < 500
  if (end.kind === 'aborted') return isTimedOut || isPastTarget ? false : undefined
  return end.kind === 'not-run' && end.isMisdirected ? undefined : false
}
