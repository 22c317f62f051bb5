/**
 * The backend servers that this node may send to, as they registered
 * themselves, with the connections to each and its observed health.
 */
import { createBackendConnections } from './backend-connections.ts'
import { toId } from '../ids/index.ts'
import type { Backend } from '../backends/types.ts'
import type { Clock } from '../clock/index.ts'
import type { BackendId, InstanceId, NodeId, TeamId, VersionId } from '../ids/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { BackendConnections } from './backend-connections.ts'
import type { SuspectCounts } from '../node-reports/types.ts'
import type { BackendEntry } from './types.ts'

/** Version label of all backend servers that don't run the canary version. */
export const servingLabel = toId<VersionId>('serving')
/** Version label of the backend servers that run the canary version of a move. */
export const canaryLabel = toId<VersionId>('trial')

/** Longest time for which an unreachable backend server gets no requests. */
const maxSuspectMs = 4_000
/** That time after the first failure; doubles with each consecutive failure. */
const minSuspectMs = 250

/** Number of other nodes that must suspect a backend server before this node does; the connection of a single node may be the cause. */
const minSuspectingNodes = 2
/** Time after a failure for which this node reports its suspicion, unless it hears from the backend server; a suspicion itself may end before the next report. */
const reportSuspicionMs = 5_000
/** Share of the choices for which a backend server that only others suspect stays usable, so that its recovery is found. */
const retrySuspectRatio = 1 / 16
/** Age up to which the suspicions of other nodes count; several of their report intervals. */
const maxPeerSuspectAgeMs = 1_500
/** Time after the last sign of life for which this node trusts its own connection more than the suspicions of others. */
const ownActivityMs = 1_000

/** Options of the table. */
export interface BackendTableOptions {
  clock: Clock
  log: Log
  metrics: Metrics
  /** Canary version of a service; undefined when no move is running. */
  canaryVersionOf: (service: string) => VersionId | undefined
  /** Random number in [0, 1). */
  random: () => number
  /** Called when a backend server is removed from the table. */
  onRemoved: (backend: BackendId) => void
}

/** A registered backend server with its connections and health. */
export interface KnownBackend {
  entry: BackendEntry
  backend: Backend
  connections: BackendConnections
  /** Monotonic time until which it gets no new requests. */
  suspectUntilMs: number
  /** Consecutive failures to reach it, and the monotonic time of the last one. */
  consecutiveFailures: number
  lastFailureAtMs: number
  /** Monotonic time at which this node last received anything from it. */
  lastActivityAtMs: number
  /** Set when another backend server was found at its address. */
  isMisdirected: boolean
}

/** The registered backend servers by id. */
export interface BackendTable {
  /** Adds or updates an entry. An entry with another start time, service or address replaces the old one. */
  put: (entry: BackendEntry) => void
  /** Removes an entry; requests in flight may finish. */
  remove: (id: BackendId, cause: string) => void
  /** Backend servers of a service that may be chosen now; suspected ones only if no other is live. */
  usable: (service: string) => Backend[]
  /** All entries of a service. */
  entries: (service: string) => BackendEntry[]
  get: (id: BackendId) => KnownBackend | undefined
  list: () => KnownBackend[]
  /** Reports that it could not be reached or stopped responding. */
  markSuspect: (id: BackendId, cause: string) => void
  /** The backend servers that this node's own recent attempts could not reach, and those that others suspect and this node hears from. */
  suspects: () => Map<BackendId, SuspectCounts>
  /** Replaces what another node, or a collector for several, reports of suspected backend servers. */
  setPeerSuspects: (source: NodeId, suspects: ReadonlyMap<BackendId, SuspectCounts>) => void
  /** Reports that something was received from it; clears a suspicion. */
  recordActivity: (id: BackendId) => void
  /** Reports that another backend server uses its address now; it gets no more requests. */
  markMisdirected: (id: BackendId) => void
  close: () => void
}

/** Creates an empty table. */
export function createBackendTable (options: BackendTableOptions): BackendTable {
  const { clock, log, metrics } = options
  const known = new Map<BackendId, KnownBackend>()
  /** Backend servers that other nodes suspect, as last logged. */
  const avoided = new Set<BackendId>()
  const peerSuspects = new Map<NodeId, { suspects: ReadonlyMap<BackendId, SuspectCounts>, receivedAtMs: number }>()

  function toBackend (entry: BackendEntry): Backend {
    return {
      id: entry.id,
      instance: toId<InstanceId>(entry.id),
      team: toId<TeamId>(entry.service),
      kind: 'model-engine',
      version: servingLabel,
      domain: entry.domain,
      machineClass: entry.service,
      reclaimable: entry.isReclaimable,
      url: `http://${entry.address.host}:${entry.address.port}`,
      state: entry.isLeaving ? 'leaving' : 'live'
    }
  }

  function connect ({ address, service }: BackendEntry): BackendConnections {
    return createBackendConnections({
      ...address,
      onOpened: () => metrics.count('backend_connections_total', { service })
    })
  }

  function isSameRegistration (before: BackendEntry, after: BackendEntry): boolean {
    return before.startedAtMs === after.startedAtMs && before.service === after.service &&
      before.address.host === after.address.host && before.address.port === after.address.port
  }

  function put (entry: BackendEntry): void {
    const before = known.get(entry.id)
    if (before !== undefined && isSameRegistration(before.entry, entry)) {
      if (before.entry.isLeaving !== entry.isLeaving) log('backendChanged', { backend: entry.id, service: entry.service, leaving: entry.isLeaving, leavesInMs: entry.leavesInMs })
      before.entry = entry
      before.backend = toBackend(entry)
      return
    }
    if (before !== undefined) remove(entry.id, 'replaced by a new registration')
    log('backendChanged', { backend: entry.id, service: entry.service, domain: entry.domain, version: entry.version, leaving: entry.isLeaving })
    known.set(entry.id, {
      entry,
      backend: toBackend(entry),
      connections: connect(entry),
      suspectUntilMs: -Infinity,
      consecutiveFailures: 0,
      lastFailureAtMs: -Infinity,
      lastActivityAtMs: clock.monotonicMs(),
      isMisdirected: false
    })
  }

  function remove (id: BackendId, cause: string): void {
    const gone = known.get(id)
    if (gone === undefined) return
    known.delete(id)
    gone.connections.close()
    options.onRemoved(id)
    log('backendRemoved', { backend: id, service: gone.entry.service, cause })
  }

  /** The backend servers that other nodes suspect. */
  function countPeerSuspects (nowMs: number): Map<BackendId, SuspectCounts> {
    const counts = new Map<BackendId, SuspectCounts>()
    for (const { suspects, receivedAtMs } of peerSuspects.values()) {
      if (receivedAtMs < nowMs - maxPeerSuspectAgeMs) continue
      for (const [id, { suspecting, hearing }] of suspects) {
        const sum = counts.get(id) ?? { suspecting: 0, hearing: 0 }
        counts.set(id, { suspecting: sum.suspecting + suspecting, hearing: sum.hearing + hearing })
      }
    }
    return counts
  }

  function isSuspectedByPeers (counts: SuspectCounts | undefined): boolean {
    return counts !== undefined && counts.suspecting >= minSuspectingNodes && counts.hearing === 0
  }

  function logAvoidedChanges (): void {
    const counts = countPeerSuspects(clock.monotonicMs())
    for (const [id, count] of counts) {
      const service = known.get(id)?.entry.service
      if (service === undefined || avoided.has(id) || !isSuspectedByPeers(count)) continue
      avoided.add(id)
      log('backendAvoided', { backend: id, service, avoided: true, ...count })
    }
    for (const id of avoided) {
      const count = counts.get(id)
      if (isSuspectedByPeers(count)) continue
      avoided.delete(id)
      log('backendAvoided', { backend: id, service: known.get(id)?.entry.service, avoided: false, ...count })
    }
  }

  function usable (service: string): Backend[] {
    const nowMs = clock.monotonicMs()
    const peerCounts = countPeerSuspects(nowMs)
    const retriesSuspects = peerCounts.size > 0 && options.random() < retrySuspectRatio
    const canary = options.canaryVersionOf(service)
    const healthy: Backend[] = []
    const suspected: Backend[] = []
    for (const { entry, backend, suspectUntilMs, isMisdirected, lastActivityAtMs, consecutiveFailures } of known.values()) {
      if (entry.service !== service || isMisdirected) continue
      // A node that found out by itself goes on to try; the others wait until it succeeds.
      const isAvoided = isSuspectedByPeers(peerCounts.get(entry.id)) && consecutiveFailures === 0 && lastActivityAtMs < nowMs - ownActivityMs && !retriesSuspects
      const labelled = canary !== undefined && entry.version === canary ? { ...backend, version: canaryLabel } : backend
      if (suspectUntilMs > nowMs || isAvoided) suspected.push(labelled)
      else healthy.push(labelled)
    }
    // A suspicion may be wrong, so suspected backend servers are used when no other is live.
    return healthy.some(({ state }) => state === 'live') ? healthy : [...healthy, ...suspected]
  }

  function markSuspect (id: BackendId, cause: string): void {
    const backend = known.get(id)
    if (backend === undefined) return
    const nowMs = clock.monotonicMs()
    if (backend.suspectUntilMs > nowMs) return
    backend.consecutiveFailures += 1
    backend.lastFailureAtMs = nowMs
    const forMs = Math.min(maxSuspectMs, minSuspectMs * 2 ** (backend.consecutiveFailures - 1))
    backend.suspectUntilMs = nowMs + forMs
    log('backendSuspected', { backend: id, service: backend.entry.service, cause, forMs, silentMs: Math.round(nowMs - backend.lastActivityAtMs) })
  }

  function recordActivity (id: BackendId): void {
    const backend = known.get(id)
    if (backend === undefined) return
    backend.lastActivityAtMs = clock.monotonicMs()
    backend.suspectUntilMs = -Infinity
    backend.consecutiveFailures = 0
  }

  return {
    put,
    remove,
    usable,
    entries: service => [...known.values()].filter(({ entry }) => entry.service === service).map(({ entry }) => entry),
    get: id => known.get(id),
    list: () => [...known.values()],
    markSuspect,
    suspects: () => {
      const nowMs = clock.monotonicMs()
      const peerCounts = countPeerSuspects(nowMs)
      return new Map([...known.values()].flatMap(({ entry: { id }, consecutiveFailures, lastFailureAtMs, lastActivityAtMs }): Array<[BackendId, SuspectCounts]> => {
        if (consecutiveFailures > 0) return lastFailureAtMs >= nowMs - reportSuspicionMs ? [[id, { suspecting: 1, hearing: 0 }]] : []
        return peerCounts.has(id) && lastActivityAtMs >= nowMs - ownActivityMs ? [[id, { suspecting: 0, hearing: 1 }]] : []
      }))
    },
    setPeerSuspects: (source, suspects) => {
      if (suspects.size === 0) peerSuspects.delete(source)
      else peerSuspects.set(source, { suspects, receivedAtMs: clock.monotonicMs() })
      logAvoidedChanges()
    },
    recordActivity,
    markMisdirected: id => {
      const backend = known.get(id)
      if (backend === undefined || backend.isMisdirected) return
      backend.isMisdirected = true
      log('backendSuspected', { backend: id, service: backend.entry.service, cause: 'another backend server uses its address' })
    },
    close: () => {
      for (const { connections } of known.values()) connections.close()
    }
  }
}
