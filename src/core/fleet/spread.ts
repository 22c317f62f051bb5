/**
 * Computes the cheapest spread of instances over failure domains that
 * still serves the demand after the loss of any one domain.
 */
import type { DomainId } from '../ids/index.ts'
import type { PricedOffer } from './offers.ts'

/** Slots by failure domain. */
export type DomainSlots = Map<DomainId, number>

/** A number of instances of one offer. */
export interface OfferCount {
  priced: PricedOffer
  count: number
}

/** Slots that remain after the loss of the domain with the most slots. */
export function slotsAfterLoss (slots: DomainSlots): number {
  const all = [...slots.values()]
  const total = all.reduce((sum, each) => sum + each, 0)
  return all.length === 0 ? 0 : total - Math.max(...all)
}

function slotsOf (shares: readonly OfferCount[]): DomainSlots {
  return new Map(shares.map(({ priced, count }) => [priced.offer.domain, priced.slots * count]))
}

/** Fills the cheapest domains first, each up to `capSlots`, until the demand plus one full domain is covered. */
function fill (offers: readonly PricedOffer[], demandSlots: number, capSlots: number): OfferCount[] {
  const shares: OfferCount[] = []
  let missing = demandSlots + capSlots
  for (const priced of offers) {
    const maxCount = Math.floor(capSlots / priced.slots)
    const count = Math.min(maxCount, Math.ceil(Math.max(0, missing) / priced.slots))
    if (count === 0) continue
    shares.push({ priced, count })
    missing -= count * priced.slots
  }
  return shares
}

function costOf (shares: readonly OfferCount[]): number {
  return shares.reduce((sum, { priced, count }) => sum + priced.slotPriceMilliEuro * priced.slots * count, 0)
}

/** Candidates for the cap: multiples of each offer's slots, up to the whole demand in one domain. */
function capsOf (offers: readonly PricedOffer[], demandSlots: number): number[] {
  const caps = new Set<number>()
  for (const { slots } of offers) {
    for (let count = 1; (count - 1) * slots < demandSlots; count += 1) caps.add(count * slots)
  }
  return [...caps]
}

/** The cheapest spread, with one offer per domain; undefined when none survives the loss of a domain. */
export function cheapestSpread (offers: readonly PricedOffer[], demandSlots: number): OfferCount[] | undefined {
  const ordered = [...offers].sort((a, b) => a.slotPriceMilliEuro - b.slotPriceMilliEuro)
  let best: OfferCount[] | undefined
  for (const cap of capsOf(ordered, demandSlots)) {
    const shares = fill(ordered, demandSlots, cap)
    if (slotsAfterLoss(slotsOf(shares)) < demandSlots) continue
    if (best === undefined || costOf(shares) < costOf(best)) best = shares
  }
  return best
}
