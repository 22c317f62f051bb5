/** Refusals of calls, with one fixed detail message for each case. */
import type { Refusal, RefusalReason, RunState } from '../outcomes/index.ts'

const details = {
  'key-missing': 'A call that is not repeatable requires an Idempotency-Key.',
  'key-ahead': 'The timestamp in the idempotency key is in the future; correct the caller\'s clock.',
  'key-expired': 'The idempotency key is older than the retention time; only the service can report its outcome.',
  'key-reused': 'The idempotency key was used before with a different request; use a new key for a new call.',
  'deadline-past': 'The deadline passed before the call was sent.',
  'queue-full': 'Too many calls are pending or stored; retry later.',
  'store-unavailable': 'The key-value service is unavailable, so the call was not sent; retry with the same key.',
  'store-unavailable-unknown': 'The state of this key can\'t be read at the moment; retry with the same key to get its outcome.',
  'owner-unreachable': 'No node that owns the key responded; retry with the same key to get its outcome.',
  'running-elsewhere': 'The call had no response by its deadline and may still be running; retry with the same key to get its response.',
  'unknown-outcome': 'It is not known whether the call ran, and it is never sent again; look it up at the service.',
  'answer-not-kept': 'The call ran; its response was too large to be stored for repeated requests.',
  withdrawn: 'The previous owner of the key did not send the call; retry with the same key.',
  draining: 'This node is shutting down; retry with the same key.'
} as const

/** Keys of the detail messages. */
export type RefusalDetail = keyof typeof details

/** Creates a refusal with the given detail message. `retryAtMs` is a wall time. */
export function refuse (reason: RefusalReason, run: RunState, detail: RefusalDetail, retryAtMs?: number): Refusal {
  return { reason, run, detail: details[detail], ...(retryAtMs === undefined ? {} : { retryAtMs }) }
}

/** Returns the refusal with the run state `unknown` in place of `not-run`. */
export function withUnknownRun (refusal: Refusal): Refusal {
  return refusal.run === 'not-run' ? { ...refusal, run: 'unknown' } : refusal
}
