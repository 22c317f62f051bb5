/**
 * The cheapest spread of instances over failure domains that still carries the
 * demand when any one domain is lost.
 */
import type { DomainId } from '../ids/index.ts'
import type { PricedOffer } from './offers.ts'

/** Slots by failure domain. */
export type DomainSlots = Map<DomainId, number>

/** Instances of one offer. */
export interface SpreadShare {
  priced: PricedOffer
  count: number
}

/** Slots that are left when the domain with the most of them is lost. */
export function slotsAfterLoss (slots: DomainSlots): number {
  const all = [...slots.values()]
  const total = all.reduce((sum, each) => sum + each, 0)
  return all.length === 0 ? 0 : total - Math.max(...all)
}

function slotsOf (shares: readonly SpreadShare[]): DomainSlots {
  return new Map(shares.map(({ priced, count }) => [priced.offer.domain, priced.slots * count]))
}

/** Fills the cheapest domains first, none beyond `capSlots`, until the demand outlives a loss. */
function fill (offers: readonly PricedOffer[], demandSlots: number, capSlots: number): SpreadShare[] {
  const shares: SpreadShare[] = []
  let missing = demandSlots + capSlots
  for (const priced of offers) {
    const most = Math.floor(capSlots / priced.slots)
    const count = Math.min(most, Math.ceil(Math.max(0, missing) / priced.slots))
    if (count === 0) continue
    shares.push({ priced, count })
    missing -= count * priced.slots
  }
  return shares
}

function costOf (shares: readonly SpreadShare[]): number {
  return shares.reduce((sum, { priced, count }) => sum + priced.slotPrice * priced.slots * count, 0)
}

/** Caps worth trying: whole instances of each offer, up to all of the demand in one domain. */
function capsOf (offers: readonly PricedOffer[], demandSlots: number): number[] {
  const caps = new Set<number>()
  for (const { slots } of offers) {
    for (let count = 1; (count - 1) * slots < demandSlots; count += 1) caps.add(count * slots)
  }
  return [...caps]
}

/** The cheapest spread of one offer for each domain, or undefined when no spread outlives the loss of a domain. */
export function cheapestSpread (offers: readonly PricedOffer[], demandSlots: number): SpreadShare[] | undefined {
  const ordered = [...offers].sort((a, b) => a.slotPrice - b.slotPrice)
  let best: SpreadShare[] | undefined
  for (const cap of capsOf(ordered, demandSlots)) {
    const shares = fill(ordered, demandSlots, cap)
    if (slotsAfterLoss(slotsOf(shares)) < demandSlots) continue
    if (best === undefined || costOf(shares) < costOf(best)) best = shares
  }
  return best
}
