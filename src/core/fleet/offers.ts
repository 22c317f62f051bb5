/** Selects the offers that may be used now, and computes their expected costs. */
import type { DomainId } from '../ids/index.ts'
import { isSameOffer, offerRetryAtMs } from './back-off.ts'
import type { FleetPlanInput, Offer } from './types.ts'

/** Period in which reclaims count against an offer. */
const reclaimPeriodMs = 6 * 60 * 60_000
/** Paid hours that one reclaim wastes: the start, the load of the weights, and the recomputation of cached prefixes. */
const wastedHoursPerReclaim = 0.25
const msPerHour = 60 * 60_000

/** An offer with the values that the plan compares. */
export interface PricedOffer {
  offer: Offer
  slots: number
  /** Price of a slot per hour including the expected waste by reclaims. */
  slotPriceMilliEuro: number
}

/** Recent reclaims per hour of instances of one offer. */
function reclaimsPerHour (offer: Offer, input: FleetPlanInput): number {
  if (offer.purchase === 'on-demand') return 0
  const sinceMs = input.nowMs - reclaimPeriodMs
  const count = input.reclaims.filter(reclaim => reclaim.atMs >= sinceMs && isSameOffer(reclaim, offer)).length
  return count * msPerHour / reclaimPeriodMs
}

/** Adds slots and slot price to an offer. */
export function priceOffer (offer: Offer, input: FleetPlanInput): PricedOffer {
  const slots = Math.max(1, input.slotsOf(offer.machineClass))
  const wastedRatio = reclaimsPerHour(offer, input) * wastedHoursPerReclaim
  return { offer, slots, slotPriceMilliEuro: offer.priceMilliEuroPerHour * (1 + wastedRatio) / slots }
}

function isAllowed (offer: Offer, input: FleetPlanInput): boolean {
  const affordable = offer.priceMilliEuroPerHour <= input.maxPriceMilliEuroPerHour
  return affordable && input.domains.includes(offer.domain)
}

/** Offers that the declaration allows and that are not backing off. */
export function usableOffers (input: FleetPlanInput): PricedOffer[] {
  return input.offers
    .filter(offer => isAllowed(offer, input) && offerRetryAtMs(offer, input.refusals) <= input.nowMs)
    .map(offer => priceOffer(offer, input))
}

/** Earliest wall time at which an offer that is backing off may be tried again; undefined when none is. */
export function nextRetryAtMs (input: FleetPlanInput): number | undefined {
  const times = input.offers
    .filter(offer => isAllowed(offer, input))
    .map(offer => offerRetryAtMs(offer, input.refusals))
    .filter(atMs => atMs > input.nowMs)
  return times.length === 0 ? undefined : Math.min(...times)
}

/** The best offer of each failure domain: reclaimable before on-demand, then the lowest slot price. */
export function bestByDomain (offers: readonly PricedOffer[]): Map<DomainId, PricedOffer> {
  const best = new Map<DomainId, PricedOffer>()
  for (const priced of offers) {
    const known = best.get(priced.offer.domain)
    if (known === undefined || isBetter(priced, known)) best.set(priced.offer.domain, priced)
  }
  return best
}

function isBetter (a: PricedOffer, b: PricedOffer): boolean {
  if (a.offer.purchase !== b.offer.purchase) return a.offer.purchase === 'reclaimable'
  return a.slotPriceMilliEuro < b.slotPriceMilliEuro
}
