/**
 * How many backend servers of a service to order in each failure domain, for a
 * cloud that takes wanted counts. Answers the load of a domain whose
 * reclaimable backend servers all leave at once while no others are to be had.
 */
import type { DomainId } from '../ids/index.ts'
import type { Purchase } from './types.ts'

/** Where and how backend servers are ordered. */
export interface CountKey {
  domain: DomainId
  purchase: Purchase
}

/** A number of backend servers of one kind in one domain. */
export interface DomainCount extends CountKey {
  count: number
}

/** What a plan of counts is made from. */
export interface CountsInput {
  domains: Array<{ domain: DomainId, price: number }>
  minPerDomain: number
  maxPerDomain: number
  /** Whether reclaimable backend servers are offered. */
  offersReclaimable: boolean
  /** Backend servers that carry the load when none is lost. */
  needed: number
  /** Backend servers that serve and aren't about to leave. */
  serving: DomainCount[]
  /** Whether the cloud could not fill such an order lately. */
  isRefused: (key: CountKey) => boolean
}

/** Backend servers that can't be reclaimed and are kept in any case, so that no reclaim takes all. */
const firmBase = 1

function countIn (counts: readonly DomainCount[], { domain, purchase }: CountKey): number {
  return counts.filter(other => other.domain === domain && other.purchase === purchase).reduce((sum, { count }) => sum + count, 0)
}

/** Reclaimable ones in each domain: the other domains carry the load when one loses all of them. */
function reclaimablePerDomain ({ offersReclaimable, needed, domains, maxPerDomain }: CountsInput): number {
  if (!offersReclaimable) return 0
  return Math.min(maxPerDomain, Math.ceil(needed / Math.max(1, domains.length - 1)))
}

/**
 * Plans reclaimable backend servers over all domains, and on demand what they
 * don't carry at the moment: where such run already first, then where they are
 * cheapest.
 */
export function planCounts (input: CountsInput): DomainCount[] {
  const { domains, needed, maxPerDomain, minPerDomain, serving } = input
  const perDomain = reclaimablePerDomain(input)
  const carried = domains.reduce((sum, { domain }) => sum + Math.min(perDomain, countIn(serving, { domain, purchase: 'reclaimable' })), 0)
  let missing = Math.max(firmBase, needed - carried)
  const firm = new Map<DomainId, number>()
  const byPrice = [...domains].sort((a, b) => a.price - b.price)

  function place (domain: DomainId, most: number): void {
    const has = firm.get(domain) ?? 0
    const count = Math.max(0, Math.min(missing, most - has, maxPerDomain - perDomain - has))
    firm.set(domain, has + count)
    missing -= count
  }

  for (const { domain } of byPrice) place(domain, countIn(serving, { domain, purchase: 'on-demand' }))
  for (const { domain } of byPrice) {
    if (!input.isRefused({ domain, purchase: 'on-demand' })) place(domain, maxPerDomain)
  }
  return domains.flatMap(({ domain }) => [
    { domain, purchase: 'reclaimable' as const, count: perDomain },
    { domain, purchase: 'on-demand' as const, count: Math.max(firm.get(domain) ?? 0, minPerDomain - perDomain) }
  ])
}
