/**
 * A model of the cloud that takes wanted counts: backend servers boot, reclaimable
 * ones of a domain are taken back all at once on short notice, and for a while none
 * may be had.
 */
import { ok } from 'true-myth/result'
import { toId } from '../../../src/core/ids/index.ts'
import type { Clock } from '../../../src/core/clock/index.ts'
import type { CountedServer, CountKey, CountOrderResult, DomainCount, Purchase } from '../../../src/core/fleet/index.ts'
import type { DomainId, VersionId } from '../../../src/core/ids/index.ts'

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

/** A version move: servers of the new version start beside the others, which are all stopped when it is done. */
export interface ModelMove {
  atMs: number
  doneAtMs: number
  newPerDomain: number
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
  move?: ModelMove
}

/** The cloud with its backend servers. */
export interface ModelCloud {
  order: (wanted: DomainCount) => ReturnType<typeof ok<CountOrderResult, never>>
  /** Backend servers that serve, with those that have been given notice. */
  servers: () => CountedServer[]
  /** Number of backend servers that can serve now, with those that have been given notice. */
  capacity: () => number
  /** Price of what runs now, in on-demand servers of a domain with price 1. */
  pricePerSecond: () => number
  /** Applies the reclaims that are due; called in every step. */
  advance: () => void
}

interface Server extends CountKey {
  version: VersionId
  servesAtMs: number
  /** Infinity without a notice. */
  goneAtMs: number
}

export const oldVersion = toId<VersionId>('v1')
export const newVersion = toId<VersionId>('v2')

/** Creates the cloud at the current time of the clock. */
export function createModelCloud ({ clock, domains, reclaimablePriceRatio, bootMs, initialPerDomain, reclaims, move }: ModelCloudOptions): ModelCloud {
  const startedAtMs = clock.monotonicMs()
  const nowMs = (): number => clock.monotonicMs() - startedAtMs
  const pending = [...reclaims].sort((a, b) => a.atMs - b.atMs)
  const scarceUntilMs = new Map<DomainId, number>()
  let servers: Server[] = domains.flatMap(({ domain }) => Array.from({ length: initialPerDomain }, (): Server => ({ domain, purchase: 'on-demand', version: oldVersion, servesAtMs: 0, goneAtMs: Infinity })))
  let startedVersion = oldVersion
  let isMoveStarted = false

  function runningOf (domain: DomainId, purchase: Purchase): Server[] {
    return servers.filter(server => server.domain === domain && server.purchase === purchase && server.goneAtMs === Infinity)
  }

  function order ({ domain, purchase, count }: DomainCount): ReturnType<typeof ok<CountOrderResult, never>> {
    const running = runningOf(domain, purchase)
    for (const server of running.slice(count)) server.goneAtMs = nowMs()
    const missing = count - running.length
    if (missing <= 0) return ok<CountOrderResult, never>('taken')
    if (purchase === 'reclaimable' && nowMs() < (scarceUntilMs.get(domain) ?? 0)) return ok<CountOrderResult, never>('none-left')
    for (let index = 0; index < missing; index += 1) servers.push({ domain, purchase, version: startedVersion, servesAtMs: nowMs() + bootMs, goneAtMs: Infinity })
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
    if (move !== undefined) advanceMove(move)
    servers = servers.filter(({ goneAtMs }) => goneAtMs > nowMs())
  }

  function advanceMove ({ atMs, doneAtMs, newPerDomain }: ModelMove): void {
    if (!isMoveStarted && nowMs() >= atMs) {
      isMoveStarted = true
      for (const { domain } of domains) {
        for (let index = 0; index < newPerDomain; index += 1) servers.push({ domain, purchase: 'on-demand', version: newVersion, servesAtMs: nowMs(), goneAtMs: Infinity })
      }
    }
    if (nowMs() < doneAtMs || startedVersion === newVersion) return
    startedVersion = newVersion
    for (const server of servers) if (server.version === oldVersion) server.goneAtMs = nowMs()
  }

  return {
    order,
    advance,
    servers: () => servers.filter(({ servesAtMs }) => servesAtMs <= nowMs()).map(({ domain, purchase, version, goneAtMs }) => ({
      domain, version, isReclaimable: purchase === 'reclaimable', isLeaving: goneAtMs !== Infinity
    })),
    capacity: () => servers.filter(({ servesAtMs, goneAtMs }) => servesAtMs <= nowMs() && goneAtMs > nowMs()).length,
    pricePerSecond: () => servers.reduce((sum, { domain, purchase }) => {
      const price = domains.find(other => other.domain === domain)?.price ?? 1
      return sum + price * (purchase === 'reclaimable' ? reclaimablePriceRatio : 1)
    }, 0)
  }
}
