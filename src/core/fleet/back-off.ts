/** Exponential back-off of refused starts, separately for each failure domain, class and purchase option. */
import type { OfferEvent, OfferKey } from './types.ts'

const firstBackOffMs = 5000
const maxBackOffMs = 5 * 60_000

/** Whether two offers have the same failure domain, class and purchase option. */
export function isSameOffer (a: OfferKey, b: OfferKey): boolean {
  return a.domain === b.domain && a.machineClass === b.machineClass && a.purchase === b.purchase
}

/** Wall time from which an offer may be tried again; the wait doubles with each consecutive refusal. */
export function offerRetryAtMs (offer: OfferKey, refusals: readonly OfferEvent[]): number {
  const refusalsOfOffer = refusals.filter(refusal => isSameOffer(refusal, offer))
  const last = refusalsOfOffer.at(-1)
  if (last === undefined) return 0
  return last.atMs + Math.min(maxBackOffMs, firstBackOffMs * 2 ** (refusalsOfOffer.length - 1))
}
