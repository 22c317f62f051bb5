/** What the end of an attempt says about the version that the backend server runs. */
import type { AttemptEnd } from './attempt.ts'

/** Why an attempt was aborted, if it was. */
export interface AbortCircumstances {
  /** Whether the request's deadline passed. */
  isTimedOut: boolean
  /** Whether the response had begun, and nothing more had come for longer than the route's target. */
  isStalled: boolean
}

/**
 * Whether an attempt succeeded; undefined when its end says nothing about the
 * version, such as when another server has the address, or when the caller left
 * before the response began, which is recorded as a latency.
 * A version that hangs or turns requests away fails them as much as one that
 * responds with an error.
 */
export function isAttemptOk (end: AttemptEnd, { isTimedOut, isStalled }: AbortCircumstances): boolean | undefined {
  if (end.kind === 'passed-on') return true
  if (end.kind === 'complete') return end.response.status < 500
  if (end.kind === 'not-continued') return end.status >= 300 && end.status < 500
  if (end.kind === 'aborted') return isTimedOut || isStalled ? false : undefined
  return end.kind === 'not-run' && end.isMisdirected ? undefined : false
}
