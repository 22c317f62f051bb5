/**
 * The backend servers that this node may send to, as they registered
 * themselves, with the connections to each and its observed health.
 */
import { createBackendConnections } from './backend-connections.ts'
import { ineligibleReason, isLastResort } from './eligibility.ts'
import { toId } from '../ids/index.ts'
import type { Backend } from '../backends/types.ts'
import type { Clock } from '../clock/index.ts'
import type { BackendId, InstanceId, NodeId, TeamId, VersionId } from '../ids/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { VersionRole } from '../moves/types.ts'
import type { BackendConnections } from './backend-connections.ts'
import type { IneligibleReason } from './eligibility.ts'
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

/** Time after a restore of the key-value service within which removed registrations that reappeared expire, unless their backend servers write them again: three of their heartbeats. */
const restoreConfirmationMs = 4_000
/** Number of departed backend servers that are remembered. */
const maxDeparted = 5_000

/** Options of the table. */
export interface BackendTableOptions {
  clock: Clock
  log: Log
  metrics: Metrics
  /** The roles of a service's versions. */
  versionRolesOf: (service: string) => (version: VersionId) => VersionRole
  /** Random number in [0, 1). */
  random: () => number
  /** Longest pause that a backend server may ask for. */
  maxPauseMs: number
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
  /** Monotonic time since which it is known to be leaving from responses; undefined if it isn't. */
  leavingSinceMs: number | undefined
  /** Whether this node itself got such a response. */
  isLeavingHeard: boolean
  /** Monotonic time until which it wants no requests from this node. */
  pausedUntilMs: number
  /** Monotonic time until which its registration, restored from an older copy, isn't trusted. */
  unconfirmedUntilMs: number
}

/** A backend server that left: one start of its process. */
export interface Departure {
  backend: BackendId
  /** Wall time of the start of its process, if it reported one. */
  startedAtMs: number | undefined
}

/** The registered backend servers by id. */
export interface BackendTable {
  /** Adds or updates an entry. An entry with another start time, service or address replaces the old one. `isByRestore` marks one from an older copy of the key-value service. */
  put: (entry: BackendEntry, isByRestore?: boolean) => void
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
  /** Reports a response that says that it is leaving. Only a new start of its process ends that. */
  markLeaving: (id: BackendId) => void
  /** Backend servers that said so to this node. */
  heardLeaving: () => Departure[]
  /** Records those that said so to other nodes. */
  setPeerLeaving: (departures: readonly Departure[]) => void
  /** Reports that it wants no requests from this node for a time. */
  pause: (id: BackendId, forMs: number) => void
  /** Time until the first of a service's paused backend servers resumes; undefined unless all that are live are paused. */
  allPausedForMs: (service: string) => number | undefined
  /** How many backend servers of each service get no requests, by reason. */
  ineligibleCounts: () => Map<string, Map<IneligibleReason, number>>
  close: () => void
}

/** Creates an empty table. */
export function createBackendTable (options: BackendTableOptions): BackendTable {
  const { clock, log, metrics } = options
  const known = new Map<BackendId, KnownBackend>()
  /** Backend servers that other nodes suspect, as last logged. */
  const avoided = new Set<BackendId>()
  /** Backend servers that were removed, the latest last. */
  const departed = new Map<BackendId, { startedAtMs: number | undefined, wasLeaving: boolean }>()
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

  /** The entry with what is known beyond it: one that left before the key-value service was restored is still leaving. */
  function withKnownState (entry: BackendEntry, isByRestore: boolean): BackendEntry {
    const before = departed.get(entry.id)
    const hasLeft = isByRestore && before?.wasLeaving === true && before.startedAtMs === entry.startedAtMs
    return hasLeft ? { ...entry, isLeaving: true } : entry
  }

  function rememberDeparture ({ entry, leavingSinceMs }: KnownBackend): void {
    departed.delete(entry.id)
    departed.set(entry.id, { startedAtMs: entry.startedAtMs, wasLeaving: entry.isLeaving || leavingSinceMs !== undefined })
    const oldest = departed.keys().next().value
    if (departed.size > maxDeparted && oldest !== undefined) departed.delete(oldest)
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

  function put (registered: BackendEntry, isByRestore = false): void {
    const before = known.get(registered.id)
    if (before !== undefined && isSameRegistration(before.entry, registered)) {
      const entry = isByRestore && before.entry.isLeaving ? { ...registered, isLeaving: true } : registered
      if (before.entry.isLeaving !== entry.isLeaving) log('backendChanged', { backend: entry.id, service: entry.service, leaving: entry.isLeaving, leavesInMs: entry.leavesInMs })
      before.entry = entry
      before.backend = before.leavingSinceMs === undefined ? toBackend(entry) : { ...toBackend(entry), state: 'leaving' }
      return
    }
    const entry = withKnownState(registered, isByRestore)
    const reappeared = isByRestore && departed.get(entry.id)?.startedAtMs === entry.startedAtMs && departed.has(entry.id)
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
      isMisdirected: false,
      leavingSinceMs: undefined,
      isLeavingHeard: false,
      pausedUntilMs: -Infinity,
      unconfirmedUntilMs: reappeared ? clock.monotonicMs() + restoreConfirmationMs : -Infinity
    })
  }

  function remove (id: BackendId, cause: string): void {
    const gone = known.get(id)
    if (gone === undefined) return
    known.delete(id)
    rememberDeparture(gone)
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
    const roleOf = options.versionRolesOf(service)
    const eligible: Backend[] = []
    const lastResorts: Backend[] = []
    for (const candidate of known.values()) {
      const { entry, backend } = candidate
      if (entry.service !== service) continue
      const role = roleOf(entry.version)
      const reason = role === 'replaced' ? 'replaced' : reasonOf(candidate, nowMs, peerCounts, retriesSuspects)
      if (reason !== undefined && !isLastResort(reason)) continue
      const labelled = role === 'evaluated' ? { ...backend, version: canaryLabel } : backend
      if (reason === undefined) eligible.push(labelled)
      else lastResorts.push(labelled)
    }
    return eligible.length > 0 ? eligible : lastResorts
  }

  function reasonOf (candidate: KnownBackend, nowMs: number, peerCounts: ReadonlyMap<BackendId, SuspectCounts>, retriesSuspects: boolean): IneligibleReason | undefined {
    const { entry, leavingSinceMs, consecutiveFailures, lastActivityAtMs, pausedUntilMs } = candidate
    return ineligibleReason({
      ...candidate,
      isLeaving: entry.isLeaving || leavingSinceMs !== undefined,
      // A node that found out by itself goes on to try; the others wait until it succeeds.
      isAvoided: isSuspectedByPeers(peerCounts.get(entry.id)) && consecutiveFailures === 0 && lastActivityAtMs < nowMs - ownActivityMs && !retriesSuspects
    }, nowMs, pausedUntilMs === -Infinity ? 0 : options.random())
  }

  function setLeaving (candidate: KnownBackend, source: 'response' | 'other-node'): void {
    if (source === 'response') candidate.isLeavingHeard = true
    if (candidate.leavingSinceMs !== undefined) return
    candidate.leavingSinceMs = clock.monotonicMs()
    candidate.backend = { ...candidate.backend, state: 'leaving' }
    metrics.count('backends_leaving_total', { service: candidate.entry.service, source })
    log('backendLeaving', { backend: candidate.entry.id, service: candidate.entry.service, source })
  }

  function pause (id: BackendId, forMs: number): void {
    const paused = known.get(id)
    if (paused === undefined) return
    const { service } = paused.entry
    const boundedMs = Math.min(forMs, options.maxPauseMs)
    const untilMs = clock.monotonicMs() + boundedMs
    if (untilMs <= paused.pausedUntilMs) return
    paused.pausedUntilMs = untilMs
    metrics.count('backend_pauses_total', { service })
    log('backendPaused', { backend: id, service, forMs: boundedMs, ...(boundedMs < forMs ? { askedMs: forMs } : {}) })
  }

  function allPausedForMs (service: string): number | undefined {
    const nowMs = clock.monotonicMs()
    const live = [...known.values()].filter(({ entry, leavingSinceMs, isMisdirected }) => entry.service === service && !entry.isLeaving && leavingSinceMs === undefined && !isMisdirected)
    if (live.length === 0 || live.some(({ pausedUntilMs }) => pausedUntilMs <= nowMs)) return undefined
    return Math.min(...live.map(({ pausedUntilMs }) => pausedUntilMs)) - nowMs
  }

  function ineligibleCounts (): Map<string, Map<IneligibleReason, number>> {
    const nowMs = clock.monotonicMs()
    const peerCounts = countPeerSuspects(nowMs)
    const counts = new Map<string, Map<IneligibleReason, number>>()
    for (const candidate of known.values()) {
      const { service } = candidate.entry
      const reason = reasonOf(candidate, nowMs, peerCounts, false)
      const byReason = counts.get(service) ?? new Map<IneligibleReason, number>()
      counts.set(service, byReason)
      if (reason !== undefined) byReason.set(reason, (byReason.get(reason) ?? 0) + 1)
    }
    return counts
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
    entries: service => [...known.values()].filter(({ entry }) => entry.service === service).map(({ entry, leavingSinceMs }) => leavingSinceMs === undefined ? entry : { ...entry, isLeaving: true }),
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
    markLeaving: id => {
      const leaving = known.get(id)
      if (leaving !== undefined) setLeaving(leaving, 'response')
    },
    heardLeaving: () => [...known.values()].flatMap(({ entry, isLeavingHeard }) => isLeavingHeard ? [{ backend: entry.id, startedAtMs: entry.startedAtMs }] : []),
    setPeerLeaving: departures => {
      for (const { backend, startedAtMs } of departures) {
        const leaving = known.get(backend)
        if (leaving !== undefined && leaving.entry.startedAtMs === startedAtMs) setLeaving(leaving, 'other-node')
      }
    },
    pause,
    allPausedForMs,
    ineligibleCounts,
    close: () => {
      for (const { connections } of known.values()) connections.close()
    }
  }
}
