/**
 * Plans how many backend servers of a service to order in each failure domain,
 * for a cloud that takes wanted counts. Designed for a steady load while the cloud
 * reclaims all reclaimable backend servers of a domain at once, several times in a
 * row, and may have no replacements.
 */
import type { DomainId } from '../ids/index.ts'
import type { Purchase } from './types.ts'

/** Failure domain and purchase option of an order. */
export interface CountKey {
  domain: DomainId
  purchase: Purchase
}

/** A number of backend servers of one purchase option in one failure domain. */
export interface DomainCount extends CountKey {
  count: number
}

/** Input of a plan of counts. */
export interface CountPlanInput {
  domains: Array<{ domain: DomainId, price: number }>
  /** Domains whose backend servers get no load, such as evacuated ones: they count as without capacity, and nothing is planned there. None by default. */
  isWithoutCapacity?: (domain: DomainId) => boolean
  /** Bounds for the backend servers of both purchase options in each domain. */
  minPerDomain: number
  maxPerDomain: number
  /** Whether reclaimable backend servers are offered. */
  offersReclaimable: boolean
  /** Backend servers needed for the load, including headroom for bursts. */
  needed: number
  /** Backend servers needed for the load alone. */
  neededWithoutHeadroom: number
  /** Backend servers that serve and are not leaving. */
  serving: DomainCount[]
  /** Reclaimable backend servers that the cloud accepted an order for and that are booting. */
  starting: DomainCount[]
  /** Whether the cloud recently refused such an order because it had none left. */
  isRefused: (key: CountKey) => boolean
}

function countIn (counts: readonly DomainCount[], { domain, purchase }: CountKey): number {
  return counts.filter(other => other.domain === domain && other.purchase === purchase).reduce((sum, { count }) => sum + count, 0)
}

/** Reclaims, each of another domain, that may follow so closely that nothing ordered after the first one serves in time. */
const survivedReclaims = 2

/** Number of reclaimable backend servers that remain after the reclaims of the domains that have most of them. */
function countAfterReclaims (reclaimable: readonly number[]): number {
  return [...reclaimable].sort((a, b) => b - a).slice(survivedReclaims).reduce((sum, count) => sum + count, 0)
}

/** Reclaimable backend servers in each of `domainCount` domains. With up to two domains on-demand ones carry the load, because nothing remains of two reclaims. */
function reclaimablePerDomainOf (domainCount: number, { needed, neededWithoutHeadroom }: CountPlanInput): number {
  if (domainCount <= survivedReclaims) return Math.max(0, needed - neededWithoutHeadroom)
  return Math.ceil(needed / (domainCount - 1))
}

/** The plan's input without the domains that get no load. */
function withoutUnusable (input: CountPlanInput): CountPlanInput {
  const { isWithoutCapacity } = input
  if (isWithoutCapacity === undefined) return input
  const isUsable = ({ domain }: { domain: DomainId }): boolean => !isWithoutCapacity(domain)
  return { ...input, domains: input.domains.filter(isUsable), serving: input.serving.filter(isUsable), starting: input.starting.filter(isUsable) }
}

/**
 * Plans reclaimable backend servers for the whole load with its headroom, so many
 * in each domain that the loss of one domain leaves enough, and on-demand ones for
 * the part of the load that the loss of two domains would leave without a server.
 * With five domains that is almost nothing, with three less than half of the load.
 * After a reclaim without replacements, on-demand ones take over before the next one.
 * Returns no counts for domains without capacity, so that no order is sent for them.
 */
export function planCounts (all: CountPlanInput): DomainCount[] {
  const input = withoutUnusable(all)
  const { domains, neededWithoutHeadroom, maxPerDomain, minPerDomain, serving, starting } = input
  const reclaimablePerDomain = input.offersReclaimable
    // The others keep at least what they have with all domains, as their reclaimable ones serve while more start.
    ? Math.max(reclaimablePerDomainOf(all.domains.length, all), reclaimablePerDomainOf(domains.length, all))
    : 0
  const servingOf = (domain: DomainId, purchase: Purchase): number => countIn(serving, { domain, purchase })
  const servingReclaimable = domains.map(({ domain }) => Math.min(reclaimablePerDomain, servingOf(domain, 'reclaimable')))
  const expectedReclaimable = domains.map(({ domain }, index) => Math.min(reclaimablePerDomain, (servingReclaimable[index] ?? 0) + countIn(starting, { domain, purchase: 'reclaimable' })))
  // Starting servers are a reason to order no more, but not to give up those that serve.
  const fewestOnDemand = Math.max(0, neededWithoutHeadroom - countAfterReclaims(expectedReclaimable))
  const mostOnDemand = Math.max(0, neededWithoutHeadroom - countAfterReclaims(servingReclaimable))
  const servingOnDemand = domains.reduce((sum, { domain }) => sum + servingOf(domain, 'on-demand'), 0)
  const onDemand = placeOnDemand(input, Math.min(mostOnDemand, Math.max(fewestOnDemand, servingOnDemand)))
  return domains.flatMap(({ domain }) => {
    const count = onDemand.get(domain) ?? 0
    // Both purchase options share the bound of a domain, and those that are given up still count until they have left.
    const reclaimable = Math.max(0, Math.min(reclaimablePerDomain, maxPerDomain - Math.max(count, servingOf(domain, 'on-demand'))))
    return [
      { domain, purchase: 'on-demand' as const, count: Math.max(count, minPerDomain - reclaimable) },
      { domain, purchase: 'reclaimable' as const, count: reclaimable }
    ]
  })
}

/** Places on-demand backend servers: running ones stay where they are, new ones go to the cheapest domains, but to several of them. */
function placeOnDemand ({ domains, maxPerDomain, serving, isRefused }: CountPlanInput, wanted: number): Map<DomainId, number> {
  const countByDomain = new Map<DomainId, number>()
  const byPrice = [...domains].sort((a, b) => a.price - b.price)
  const maxNewPerDomain = Math.ceil(wanted / Math.max(1, domains.length - 1))
  let missing = wanted

  function place (domain: DomainId, limit: number): void {
    const placed = countByDomain.get(domain) ?? 0
    const reclaimable = countIn(serving, { domain, purchase: 'reclaimable' })
    const count = Math.max(0, Math.min(missing, limit - placed, maxPerDomain - reclaimable - placed))
    countByDomain.set(domain, placed + count)
    missing -= count
  }

  for (const { domain } of byPrice) place(domain, countIn(serving, { domain, purchase: 'on-demand' }))
  for (const { domain } of byPrice) {
    if (!isRefused({ domain, purchase: 'on-demand' })) place(domain, maxNewPerDomain)
  }
  return countByDomain
}
