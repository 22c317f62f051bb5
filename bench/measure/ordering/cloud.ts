/**
 * A model of the cloud that takes wanted counts: backend servers boot, reclaimable
 * ones of a domain are taken back all at once on short notice, and for a while none
 * may be had.
 */
import { ok } from 'true-myth/result'
import type { Clock } from '../../../src/core/clock/index.ts'
import type { CountKey, CountOrderResult, DomainCount, Purchase } from '../../../src/core/fleet/index.ts'
import type { DomainId } from '../../../src/core/ids/index.ts'

/** The reclaim of all reclaimable backend servers of a domain. */
export interface Reclaim {
  atMs: number
  /** Index of the domain. */
  domain: number
  /** Time from the notice until the servers are gone. */
  noticeMs: number
  /** Time from the notice for which the domain, or with `isEverywhere` every domain, has no reclaimable ones. */
  scarceMs: number
  isEverywhere: boolean
}

/** Options of the cloud. */
export interface ModelCloudOptions {
  clock: Clock
  domains: ReadonlyArray<{ domain: DomainId, price: number }>
  /** Price of a reclaimable backend server relative to an on-demand one. */
  reclaimablePriceRatio: number
  bootMs: number
  /** On-demand backend servers that run at the start, in each domain. */
  initialPerDomain: number
  reclaims: readonly Reclaim[]
}

/** The cloud with its backend servers. */
export interface ModelCloud {
  order: (wanted: DomainCount) => ReturnType<typeof ok<CountOrderResult, never>>
  /** Backend servers that serve and have no notice. */
  serving: () => DomainCount[]
  /** Number of backend servers that can serve now, with those that have been given notice. */
  capacity: () => number
  /** Price of what runs now, in on-demand servers of a domain with price 1. */
  pricePerSecond: () => number
  /** Applies the reclaims that are due; called in every step. */
  advance: () => void
}

interface Server extends CountKey {
  servesAtMs: number
  /** Infinity without a notice. */
  goneAtMs: number
}

/** Creates the cloud at the current time of the clock. */
export function createModelCloud ({ clock, domains, reclaimablePriceRatio, bootMs, initialPerDomain, reclaims }: ModelCloudOptions): ModelCloud {
  const startedAtMs = clock.monotonicMs()
  const nowMs = (): number => clock.monotonicMs() - startedAtMs
  const pending = [...reclaims].sort((a, b) => a.atMs - b.atMs)
  const scarceUntilMs = new Map<DomainId, number>()
  let servers: Server[] = domains.flatMap(({ domain }) => Array.from({ length: initialPerDomain }, (): Server => ({ domain, purchase: 'on-demand', servesAtMs: 0, goneAtMs: Infinity })))

  function runningOf (domain: DomainId, purchase: Purchase): Server[] {
    return servers.filter(server => server.domain === domain && server.purchase === purchase && server.goneAtMs === Infinity)
  }

  function order ({ domain, purchase, count }: DomainCount): ReturnType<typeof ok<CountOrderResult, never>> {
    const running = runningOf(domain, purchase)
    for (const server of running.slice(count)) server.goneAtMs = nowMs()
    const missing = count - running.length
    if (missing <= 0) return ok<CountOrderResult, never>('taken')
    if (purchase === 'reclaimable' && nowMs() < (scarceUntilMs.get(domain) ?? 0)) return ok<CountOrderResult, never>('none-left')
    for (let index = 0; index < missing; index += 1) servers.push({ domain, purchase, servesAtMs: nowMs() + bootMs, goneAtMs: Infinity })
    return ok<CountOrderResult, never>('taken')
  }

  function advance (): void {
    while (pending[0] !== undefined && pending[0].atMs <= nowMs()) {
      const { atMs, domain: index, noticeMs, scarceMs, isEverywhere } = pending.shift() as Reclaim
      const reclaimed = domains[index]?.domain
      if (reclaimed === undefined) continue
      for (const server of runningOf(reclaimed, 'reclaimable')) server.goneAtMs = atMs + noticeMs
      for (const { domain } of isEverywhere ? domains : domains.filter(({ domain }) => domain === reclaimed)) {
        scarceUntilMs.set(domain, Math.max(scarceUntilMs.get(domain) ?? 0, atMs + scarceMs))
      }
    }
    servers = servers.filter(({ goneAtMs }) => goneAtMs > nowMs())
  }

  return {
    order,
    advance,
    serving: () => domains.flatMap(({ domain }) => (['on-demand', 'reclaimable'] as const).map(purchase => ({
      domain, purchase, count: runningOf(domain, purchase).filter(({ servesAtMs }) => servesAtMs <= nowMs()).length
    }))),
    capacity: () => servers.filter(({ servesAtMs, goneAtMs }) => servesAtMs <= nowMs() && goneAtMs > nowMs()).length,
    pricePerSecond: () => servers.reduce((sum, { domain, purchase }) => {
      const price = domains.find(other => other.domain === domain)?.price ?? 1
      return sum + price * (purchase === 'reclaimable' ? reclaimablePriceRatio : 1)
    }, 0)
  }
}
