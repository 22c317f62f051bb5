/**
 * Cold backend servers: those that started, or whose failure domain returned, a short time ago.
 * They are known from their registrations and from the moments at which this node sees them
 * appear, not from responses, so that the first request already keeps to the limit.
 */
import { createColdShares } from './cold-shares.ts'
import { createPermitBucket } from './permits.ts'
import type { BackendId } from '../ids/index.ts'
import type { PermitBucket } from './permits.ts'
import type { BackendLimits, BackendLimitsOptions, ColdLimit, ColdOptions, LimitedBackend, RegisteredBackend } from './types.ts'

/** Why a backend server is cold. */
type ColdCause = 'appeared' | 'domain-returned' | 'registered'

/** The time for which a backend server is cold without a break. */
export interface ColdPeriod {
  perSecond: number
  bucket: PermitBucket
  /** Requests that this node sent there, and that it sent elsewhere. */
  sentCount: number
  skippedCount: number
}

/** Options of the cold backend servers of one node. */
export type ColdServersOptions = Pick<BackendLimitsOptions, 'clock' | 'log' | 'metrics' | 'random' | 'node' | 'draw' | 'otherNodes'> & { cold: ColdOptions }

/** The cold backend servers as one node knows them. */
export interface ColdServers {
  recordRegistration: BackendLimits['recordRegistration']
  remove: (id: BackendId) => void
  /** The present cold time of a backend server, with this node's share; undefined if it isn't cold. */
  find: (backend: Pick<LimitedBackend, 'id' | 'service'>) => ColdPeriod | undefined
  /** Notes changes of the registered nodes, and cold times that have ended. Must be called several times a second. */
  update: () => void
}

/** Longest time for which a registration may call a backend server cold, unless the configuration names a longer one; bounds absurd values. */
const maxRegisteredMs = 30_000
const noPermits = { perSecond: 0, burst: 1 }

interface KnownServer {
  backend: RegisteredBackend
  /** Monotonic time at which it appeared; -Infinity if it was there when this node started. */
  appearedAtMs: number
  /** Monotonic time until which its registration calls it cold. */
  registeredUntilMs: number
  period: OwnColdPeriod | undefined
}

interface OwnColdPeriod extends ColdPeriod {
  sinceMs: number
  ownPerSecond: number
  /** What the bucket's rate was computed from. */
  shareVersion: number
}

/** Creates an empty set. */
export function createColdServers (options: ColdServersOptions): ColdServers {
  const { clock, log, metrics, random, cold } = options
  const servers = new Map<BackendId, KnownServer>()
  const inColdPeriod = new Set<KnownServer>()
  const shares = createColdShares({ ...options, ...cold })

  /** Monotonic time until which a backend server is cold. */
  function coldUntilMs ({ backend, appearedAtMs, registeredUntilMs }: KnownServer, { startMs }: ColdLimit): number {
    return Math.max(appearedAtMs + startMs, cold.domainReturnedAtMs(backend.domain) + startMs, registeredUntilMs)
  }

  function begin (server: KnownServer, { startMs, perSecond }: ColdLimit, untilMs: number, nowMs: number): OwnColdPeriod {
    const period: OwnColdPeriod = { perSecond, bucket: createPermitBucket(random()), sentCount: 0, skippedCount: 0, sinceMs: nowMs, ownPerSecond: 0, shareVersion: -1 }
    const { id, service, domain } = server.backend
    const cause: ColdCause = untilMs === server.appearedAtMs + startMs ? 'appeared' : untilMs === cold.domainReturnedAtMs(domain) + startMs ? 'domain-returned' : 'registered'
    server.period = period
    inColdPeriod.add(server)
    metrics.count('backends_cold_total', { service, cause })
    log('backendCold', { backend: id, service, cause, perSecond, forMs: Math.round(untilMs - nowMs) })
    return period
  }

  function end (server: KnownServer, nowMs: number): void {
    const { backend, period } = server
    if (period === undefined) return
    server.period = undefined
    inColdPeriod.delete(server)
    log('backendColdEnded', { backend: backend.id, service: backend.service, forMs: Math.round(nowMs - period.sinceMs), sent: period.sentCount, skipped: period.skippedCount, ownPerSecond: period.ownPerSecond })
  }

  function refreshShare (period: OwnColdPeriod, id: BackendId, limit: ColdLimit, nowMs: number): void {
    shares.update()
    if (period.shareVersion === shares.version() && period.perSecond === limit.perSecond) return
    const share = shares.shareOf(id, limit) ?? noPermits
    period.perSecond = limit.perSecond
    period.shareVersion = shares.version()
    period.ownPerSecond = Math.round(share.perSecond * 100) / 100
    period.bucket.setRate(share, nowMs)
  }

  function find ({ id, service }: Pick<LimitedBackend, 'id' | 'service'>): ColdPeriod | undefined {
    const limit = cold.limitOf(service)
    const server = limit === undefined ? undefined : servers.get(id)
    if (limit === undefined || server === undefined) return undefined
    const nowMs = clock.monotonicMs()
    const untilMs = coldUntilMs(server, limit)
    if (nowMs >= untilMs) {
      end(server, nowMs)
      return undefined
    }
    const period = server.period ?? begin(server, limit, untilMs, nowMs)
    refreshShare(period, id, limit, nowMs)
    return period
  }

  return {
    recordRegistration: (backend, { hasAppeared, isByRestore }) => {
      const nowMs = clock.monotonicMs()
      const startMs = cold.limitOf(backend.service)?.startMs ?? 0
      const untilMs = backend.warmUpMs > 0 ? nowMs + Math.min(backend.warmUpMs, Math.max(maxRegisteredMs, startMs)) : -Infinity
      const known = servers.get(backend.id) ?? { backend, appearedAtMs: -Infinity, registeredUntilMs: -Infinity, period: undefined }
      servers.set(backend.id, known)
      known.backend = backend
      if (hasAppeared) known.appearedAtMs = nowMs
      // A registration from an older copy may say less than the latest one.
      known.registeredUntilMs = isByRestore ? Math.max(known.registeredUntilMs, untilMs) : untilMs
    },
    remove: id => {
      const server = servers.get(id)
      if (server !== undefined) end(server, clock.monotonicMs())
      servers.delete(id)
    },
    find,
    update: () => {
      if (cold.isEnabled()) shares.update()
      for (const server of inColdPeriod) {
        // Also ends it if its service has no such limit any more.
        if (find(server.backend) === undefined) end(server, clock.monotonicMs())
      }
    }
  }
}
