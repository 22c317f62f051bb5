/**
 * What became of a request: the three outcomes a caller is told, and the
 * reasons that are counted for refusals, retries and recomputed tokens.
 */

/** Whether the work of a request ran at a backend server. `not-run` is said only where it is provable. */
export type RunState = 'done' | 'not-run' | 'unknown'

export const refusalReasons = [
  'bad-request', 'body-missing', 'body-too-large', 'body-truncated', 'unauthorized', 'forbidden',
  'unknown-team', 'unknown-route', 'deadline-past', 'deadline-unreachable', 'queue-full', 'team-limit',
  'no-backend', 'backend-failed', 'retry-budget', 'attempts-exhausted', 'draining', 'not-ready', 'store-unavailable',
  'owner-unreachable', 'key-reused', 'key-expired', 'key-missing', 'running-elsewhere', 'answer-not-kept', 'caller-left'
] as const

/** Why a request was refused or given up. One counter each. */
export type RefusalReason = typeof refusalReasons[number]

export const retryReasons = [
  'connect-failed', 'backend-refused', 'backend-failed', 'backend-leaving', 'stream-broken', 'stream-silent',
  'answer-incomplete', 'version-withdrawn', 'overloaded', 'owner-moved'
] as const

/** Why an attempt was followed by another. One counter each. */
export type RetryReason = typeof retryReasons[number]

export const recomputeCauses = ['backend-reclaimed', 'backend-failed', 'node-lost', 'prefix-missed', 'version-changed'] as const

/** Why tokens were computed again. One counter each, counted in tokens. */
export type RecomputeCause = typeof recomputeCauses[number]

/** A refusal as a caller sees it. */
export interface Refusal {
  reason: RefusalReason
  run: RunState
  /** Wall time from which a repeat has a chance; undefined when a repeat can't help. */
  retryAtMs?: number
  /** What happened, in a sentence for people. */
  detail: string
}
