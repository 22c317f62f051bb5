/** Decides which instances to start and which to drain. A pure function of its input. */
import type { InstanceId } from '../ids/index.ts'
import { isSameOffer } from './back-off.ts'
import { bestByDomain, nextRetryAtMs, usableOffers } from './offers.ts'
import type { PricedOffer } from './offers.ts'
import { cheapestSpread, slotsAfterLoss } from './spread.ts'
import type { DomainSlots } from './spread.ts'
import type { FleetPlanInput, FleetInstance, FleetPlan, OfferKey } from './types.ts'

/** Multiple of the demand that the remaining instances must serve before one is drained; prevents oscillation. */
const drainDemandRatio = 1.15
/** Slot price of an offer relative to a running instance's up to which a replacement is worth the load of the weights. */
const replacementPriceRatio = 0.6

/** Instances that are starting or live. */
function startingOrLive (input: FleetPlanInput): FleetInstance[] {
  return input.instances.filter(({ state }) => state !== 'leaving')
}

function domainSlots (instances: readonly OfferKey[], input: FleetPlanInput): DomainSlots {
  const slots: DomainSlots = new Map()
  for (const { domain, machineClass } of instances) {
    slots.set(domain, (slots.get(domain) ?? 0) + input.slotsOf(machineClass))
  }
  return slots
}

function servesDemandAfterLoss (instances: readonly OfferKey[], demandSlots: number, input: FleetPlanInput): boolean {
  return slotsAfterLoss(domainSlots(instances, input)) >= demandSlots
}

/** Starts that are missing for the cheapest spread. */
function startsForCheapestSpread (input: FleetPlanInput, best: readonly PricedOffer[]): OfferKey[] {
  const presentSlots = domainSlots(startingOrLive(input), input)
  const starts: OfferKey[] = []
  for (const { priced, count } of cheapestSpread(best, input.demandSlots) ?? []) {
    const missing = priced.slots * count - (presentSlots.get(priced.offer.domain) ?? 0)
    for (let slots = missing; slots > 0; slots -= priced.slots) starts.push(offerKeyOf(priced))
  }
  return starts
}

/** The offer in the domain with the fewest slots; among equals the cheapest one. */
function offerInSmallestDomain (instances: readonly OfferKey[], best: readonly PricedOffer[], input: FleetPlanInput): PricedOffer | undefined {
  const slots = domainSlots(instances, input)
  const slotsIn = (priced: PricedOffer): number => slots.get(priced.offer.domain) ?? 0
  return [...best].sort((a, b) => slotsIn(a) - slotsIn(b) || a.slotPriceMilliEuro - b.slotPriceMilliEuro)[0]
}

function offerKeyOf ({ offer }: PricedOffer): OfferKey {
  return { domain: offer.domain, machineClass: offer.machineClass, purchase: offer.purchase }
}

/** Starts needed to serve the demand after the loss of a domain, as far as the offers and bounds allow. */
function planStarts (input: FleetPlanInput): OfferKey[] {
  const best = [...bestByDomain(usableOffers(input)).values()]
  const activeInstances = startingOrLive(input)
  const maxStarts = Math.max(0, input.maxInstances - activeInstances.length)
  const servesDemand = (starts: readonly OfferKey[]): boolean => servesDemandAfterLoss([...activeInstances, ...starts], input.demandSlots, input)
  const starts: OfferKey[] = []
  const missesTarget = (): boolean => !servesDemand(starts) || activeInstances.length + starts.length < input.minInstances
  for (const start of startsForCheapestSpread(input, best)) {
    if (missesTarget()) starts.push(start)
  }
  while (starts.length < maxStarts && missesTarget()) {
    const next = offerInSmallestDomain([...activeInstances, ...starts], best, input)
    if (next === undefined) break
    starts.push(offerKeyOf(next))
  }
  return starts.slice(0, maxStarts)
}

/** A start that replaces an expensive instance; one at a time, and only while nothing else starts. */
function planReplacement (input: FleetPlanInput): OfferKey[] {
  const activeInstances = startingOrLive(input)
  const busy = activeInstances.some(({ state }) => state === 'starting') || activeInstances.length >= input.maxInstances
  if (busy) return []
  const offers = usableOffers(input)
  const byPrice = [...activeInstances].sort((a, b) => b.priceMilliEuroPerHour - a.priceMilliEuroPerHour)
  for (const instance of byPrice) {
    const maxSlotPrice = replacementPriceRatio * slotPriceOf(instance, input)
    const cheaper = offers
      .filter(({ offer, slotPriceMilliEuro }) => offer.domain === instance.domain && slotPriceMilliEuro <= maxSlotPrice)
      .sort((a, b) => a.slotPriceMilliEuro - b.slotPriceMilliEuro)[0]
    if (cheaper !== undefined) return [offerKeyOf(cheaper)]
  }
  return []
}

function slotPriceOf (instance: FleetInstance, input: FleetPlanInput): number {
  return instance.priceMilliEuroPerHour / Math.max(1, input.slotsOf(instance.machineClass))
}

/** Whether a much cheaper instance in the same domain replaces this one. */
function isReplaced (instance: FleetInstance, others: readonly FleetInstance[], input: FleetPlanInput): boolean {
  const maxSlotPrice = replacementPriceRatio * slotPriceOf(instance, input)
  return others.some(other => other.domain === instance.domain && slotPriceOf(other, input) <= maxSlotPrice)
}

/** Live instances that the demand does not need, highest slot price first; none while an instance is starting. */
function planDrains (input: FleetPlanInput): InstanceId[] {
  const activeInstances = startingOrLive(input)
  if (activeInstances.some(({ state }) => state === 'starting')) return []
  const drains: InstanceId[] = []
  let remaining = activeInstances
  for (const instance of [...activeInstances].sort((a, b) => slotPriceOf(b, input) - slotPriceOf(a, input))) {
    const others = remaining.filter(other => other !== instance)
    const demandRatio = isReplaced(instance, others, input) ? 1 : drainDemandRatio
    const servesDemand = servesDemandAfterLoss(others, input.demandSlots * demandRatio, input)
    if (!servesDemand || others.length < input.minInstances) continue
    drains.push(instance.id)
    remaining = others
  }
  return drains
}

function countsOf (keys: readonly OfferKey[]): FleetPlan['wanted'] {
  const counts: FleetPlan['wanted'] = []
  for (const { domain, machineClass, purchase } of keys) {
    const known = counts.find(count => isSameOffer(count, { domain, machineClass, purchase }))
    if (known === undefined) counts.push({ domain, machineClass, purchase, count: 1 })
    else known.count += 1
  }
  return counts
}

/** Plans the instances of one team and version. */
export function planFleet (input: FleetPlanInput): FleetPlan {
  const needed = planStarts(input)
  const drains = needed.length > 0 ? [] : planDrains(input)
  const replacement = needed.length > 0 || drains.length > 0 ? [] : planReplacement(input)
  const starts = [...needed, ...replacement]
  const wanted = [...startingOrLive(input).filter(({ id }) => !drains.includes(id)), ...starts]
  const shortSlots = Math.max(0, input.demandSlots - slotsAfterLoss(domainSlots(wanted, input)))
  const retryAtMs = shortSlots > 0 ? nextRetryAtMs(input) : undefined
  const plan = { wanted: countsOf(wanted), starts, drains, shortSlots }
  return retryAtMs === undefined ? plan : { ...plan, retryAtMs }
}
