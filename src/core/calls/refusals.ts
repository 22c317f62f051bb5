/** Refusals of calls, made in one place so that each is worded alike. */
import type { Refusal, RefusalReason, RunState } from '../outcomes/index.ts'

const details = {
  'key-missing': 'A call that may not be repeated needs an Idempotency-Key.',
  'key-ahead': 'The time in the idempotency key lies ahead of this system\'s clocks; correct the caller\'s clock.',
  'key-expired': 'The idempotency key is older than keys are remembered; what became of it can be asked only at the service.',
  'key-reused': 'The idempotency key was used before with another body; use a new key for a new call.',
  'deadline-past': 'The deadline passed before the call was sent.',
  'queue-full': 'Too many calls wait for their claims or are remembered; send it again later.',
  'store-unavailable': 'The key-value service does not take claims, so the call was not sent; send it again with the same key.',
  'store-unavailable-unknown': 'What became of this key can\'t be read at the moment; send it again with the same key to be told.',
  'owner-unreachable': 'No owner of the key answered; send it again with the same key to be told what became of it.',
  'running-elsewhere': 'The call had no answer by its deadline and may still run; send it again with the same key to get its answer.',
  'unknown-outcome': 'It is not known whether the call ran, and it is never sent again; look it up at the service.',
  'answer-not-kept': 'The call ran; its answer was too long to be kept for repeats.',
  withdrawn: 'The former owner of the key did not send the call; send it again with the same key.',
  draining: 'This node stops; send it again with the same key.'
} as const

/** Names of the sentences above. */
export type RefusalDetail = keyof typeof details

/** Makes a refusal with its sentence. */
export function refuse (reason: RefusalReason, run: RunState, detail: RefusalDetail, retryAtMs?: number): Refusal {
  return { reason, run, detail: details[detail], ...(retryAtMs === undefined ? {} : { retryAtMs }) }
}

/** The same refusal without its claim that nothing ran. */
export function withoutCertainty (refusal: Refusal): Refusal {
  return refusal.run === 'not-run' ? { ...refusal, run: 'unknown' } : refusal
}
