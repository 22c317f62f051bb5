/** Loads and reclaims to play: the fleets of the users' sheets, on calm days and on days with several reclaims in a row. */
import type { DomainCount } from '../../../src/core/fleet/index.ts'
import type { CountPlanInput } from '../../../src/core/fleet/index.ts'
import type { OrderingCase } from './play.ts'

const scarceMs = 13_000
const noticeMs = 2_500
const seconds = 60
const firstReclaimAtMs = 20_000

/** Reclaims of one domain after the other, at these times after the first one. */
function reclaimsAt (...afterMs: number[]): OrderingCase['reclaims'] {
  return afterMs.map((ms, domain) => ({ atMs: firstReclaimAtMs + ms, domain, noticeMs, scarceMs, isEverywhere: true }))
}

const fleets = [
  { name: 'three domains, small', domainPrices: [0.85, 1.2, 1], busy: 4, initialPerDomain: 2, maxPerDomain: 8 },
  { name: 'three domains', domainPrices: [0.85, 1.2, 1], busy: 6, initialPerDomain: 5, maxPerDomain: 8 },
  { name: 'five domains', domainPrices: [0.85, 1.2, 1, 1.1, 0.85], busy: 30, initialPerDomain: 11, maxPerDomain: 32 },
  { name: 'five domains, busy', domainPrices: [0.85, 1.2, 1, 1.1, 0.85], busy: 45, initialPerDomain: 11, maxPerDomain: 32 }
] as const

const days = [
  { name: 'no reclaim', reclaims: [] },
  { name: 'one reclaim', reclaims: reclaimsAt(0) },
  { name: 'two reclaims 6 s apart', reclaims: reclaimsAt(0, 6_000) },
  { name: 'three reclaims, two of them 1.2 s apart', reclaims: reclaimsAt(0, 6_000, 7_200) }
] as const

/** All cases: each fleet on each day. */
export const orderingCases: OrderingCase[] = fleets.flatMap(fleet => days.map(day => ({
  name: `${fleet.name}: ${day.name}`,
  domainPrices: fleet.domainPrices,
  reclaimablePriceRatio: 0.22,
  bootMs: 4_000,
  initialPerDomain: fleet.initialPerDomain,
  maxPerDomain: fleet.maxPerDomain,
  busyAt: () => fleet.busy,
  reclaims: day.reclaims,
  seconds
})))

/** A move to a new version that half as many servers as at the start run. */
export const moveCases: OrderingCase[] = fleets.map(fleet => ({
  ...orderingCases.find(({ name }) => name === `${fleet.name}: no reclaim`) as OrderingCase,
  name: `${fleet.name}: version move`,
  move: { atMs: 20_000, doneAtMs: 31_000, newPerDomain: Math.ceil(fleet.initialPerDomain / 2) }
}))

/** The naive plan: on-demand backend servers for the whole load with its headroom, spread evenly. */
export function planOnDemand ({ domains, needed, maxPerDomain }: CountPlanInput): DomainCount[] {
  const perDomain = Math.min(maxPerDomain, Math.ceil(needed / domains.length))
  return domains.map(({ domain }) => ({ domain, purchase: 'on-demand' as const, count: perDomain }))
}

/** The other naive plan: as few reclaimable backend servers as carry the load with its headroom, spread evenly, and no others. */
export function planReclaimable ({ domains, needed, maxPerDomain }: CountPlanInput): DomainCount[] {
  const perDomain = Math.min(maxPerDomain, Math.ceil(needed / domains.length))
  return domains.flatMap(({ domain }) => [
    { domain, purchase: 'on-demand' as const, count: 0 },
    { domain, purchase: 'reclaimable' as const, count: perDomain }
  ])
}
