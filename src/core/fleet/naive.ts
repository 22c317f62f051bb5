/** Naive baseline of the fleet plan for tests: as many of the cheapest instance as the demand needs, in any domain. */
import type { FleetPlanInput, FleetPlan, OfferKey } from './types.ts'

/** Ignores failure domains, refusals and reclaims, and never drains. */
export function planNaiveFleet (input: FleetPlanInput): FleetPlan {
  const staying = input.instances.filter(({ state }) => state !== 'leaving')
  const presentSlots = staying.reduce((sum, { machineClass }) => sum + input.slotsOf(machineClass), 0)
  const [cheapest] = [...input.offers].sort((a, b) => a.priceMilliEuroPerHour - b.priceMilliEuroPerHour)
  const starts: OfferKey[] = []
  if (cheapest !== undefined) {
    const { domain, machineClass, purchase } = cheapest
    const slots = Math.max(1, input.slotsOf(machineClass))
    for (let missing = input.demandSlots - presentSlots; missing > 0; missing -= slots) starts.push({ domain, machineClass, purchase })
  }
  return { wanted: starts.map(start => ({ ...start, count: 1 })), starts, drains: [], shortSlots: 0 }
}
