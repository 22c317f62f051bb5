/**
 * Outcomes of requests: the three states that a caller is told, and the reasons
 * that are counted for refusals, retries and recomputed tokens.
 */

/** Whether a backend server has run a request. `not-run` is reported only when it is certain. */
export type RunState = 'done' | 'not-run' | 'unknown'

export const refusalReasons = [
  'bad-request', 'body-missing', 'body-too-large', 'body-truncated', 'unauthorized', 'forbidden',
  'unknown-team', 'unknown-route', 'deadline-past', 'deadline-unreachable', 'queue-full', 'team-limit',
  'no-backend', 'backend-failed', 'retry-budget', 'attempts-exhausted', 'draining', 'not-ready', 'store-unavailable',
  'owner-unreachable', 'key-reused', 'key-expired', 'key-missing', 'running-elsewhere', 'answer-not-kept', 'caller-left', 'prompt-quarantined', 'prompt-suspected',
  'request-quarantined', 'request-suspected', 'backends-limited'
] as const

/** Why a request was refused or ended without a complete response. Each reason has a counter. */
export type RefusalReason = typeof refusalReasons[number]

export const retryReasons = [
  'connect-failed', 'backend-refused', 'backend-failed', 'backend-leaving', 'stream-broken', 'stream-silent',
  'answer-incomplete', 'version-withdrawn', 'overloaded', 'owner-moved'
] as const

/** Why an attempt was followed by another one. Each reason has a counter. */
export type RetryReason = typeof retryReasons[number]

export const recomputeCauses = ['backend-reclaimed', 'backend-failed', 'node-lost', 'prefix-missed', 'version-changed'] as const

/** Why tokens were recomputed. Each cause has a counter of tokens. */
export type RecomputeCause = typeof recomputeCauses[number]

/** A refusal as reported to the caller. */
export interface Refusal {
  reason: RefusalReason
  run: RunState
  /** Wall time from which a retry may succeed; undefined when a retry cannot help. */
  retryAtMs?: number
  /** Explanation of what happened. */
  detail: string
}
