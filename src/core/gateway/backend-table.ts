/**
 * The backend servers that this node may send to, as they registered
 * themselves, with the connections to each and what was noticed of each.
 */
import { createBackendConnections } from './backend-connections.ts'
import { toId } from '../ids/index.ts'
import type { Backend } from '../backends/types.ts'
import type { Clock } from '../clock/index.ts'
import type { BackendId, InstanceId, TeamId, VersionId } from '../ids/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { BackendConnections } from './backend-connections.ts'
import type { BackendEntry } from './types.ts'

/** Label of the version that serves, whatever its name. */
export const servingVersion = toId<VersionId>('serving')
/** Label of a version that a running move brings in. */
export const trialVersion = toId<VersionId>('trial')

/** Longest time that a backend server is left alone after it failed to be reached. */
const maxSuspectMs = 4_000
/** First time for which it is left alone; doubles with each further failure in a row. */
const firstSuspectMs = 250

/** Options of the table. */
export interface BackendTableOptions {
  clock: Clock
  log: Log
  metrics: Metrics
  /** Version on trial of a service; undefined when no move is running. */
  trialOf: (service: string) => VersionId | undefined
  /** Called when a backend server is gone for good. */
  onGone: (backend: BackendId) => void
}

/** One known backend server. */
export interface KnownBackend {
  entry: BackendEntry
  backend: Backend
  connections: BackendConnections
  /** Monotonic time until which no new request is sent there. */
  suspectUntilMs: number
  /** Failures to reach it in a row. */
  unreached: number
  /** Monotonic time at which it last answered anything here. */
  heardAtMs: number
  /** Set when the address turned out to be another's. */
  isMistaken: boolean
}

/** The table. */
export interface BackendTable {
  /** Puts in an entry or its change. */
  put: (entry: BackendEntry) => void
  /** Takes out an entry; a request on its way is left to its end. */
  remove: (id: BackendId, cause: string) => void
  /** Backend servers of a service that may be chosen now. */
  usable: (service: string) => Backend[]
  /** All entries of a service. */
  entries: (service: string) => BackendEntry[]
  get: (id: BackendId) => KnownBackend | undefined
  all: () => KnownBackend[]
  /** It could not be reached, or fell silent. */
  suspect: (id: BackendId, cause: string) => void
  /** It answered. */
  heard: (id: BackendId) => void
  /** Another backend server has its address now. */
  mistaken: (id: BackendId) => void
  close: () => void
}

/** Creates an empty table. */
export function createBackendTable (options: BackendTableOptions): BackendTable {
  const { clock, log, metrics } = options
  const known = new Map<BackendId, KnownBackend>()

  function toBackend (entry: BackendEntry): Backend {
    return {
      id: entry.id,
      instance: toId<InstanceId>(entry.id),
      team: toId<TeamId>(entry.service),
      kind: 'model-engine',
      version: servingVersion,
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

  function isSameLife (before: BackendEntry, after: BackendEntry): boolean {
    return before.bornAtMs === after.bornAtMs && before.service === after.service &&
      before.address.host === after.address.host && before.address.port === after.address.port
  }

  function put (entry: BackendEntry): void {
    const before = known.get(entry.id)
    if (before !== undefined && isSameLife(before.entry, entry)) {
      if (before.entry.isLeaving !== entry.isLeaving) log('backendChanged', { backend: entry.id, service: entry.service, leaving: entry.isLeaving, leavesInMs: entry.leavesInMs })
      before.entry = entry
      before.backend = toBackend(entry)
      return
    }
    if (before !== undefined) remove(entry.id, 'started anew')
    log('backendChanged', { backend: entry.id, service: entry.service, domain: entry.domain, version: entry.version, leaving: entry.isLeaving })
    known.set(entry.id, {
      entry,
      backend: toBackend(entry),
      connections: connect(entry),
      suspectUntilMs: -Infinity,
      unreached: 0,
      heardAtMs: clock.monotonicMs(),
      isMistaken: false
    })
  }

  function remove (id: BackendId, cause: string): void {
    const gone = known.get(id)
    if (gone === undefined) return
    known.delete(id)
    gone.connections.close()
    options.onGone(id)
    log('backendRemoved', { backend: id, service: gone.entry.service, cause })
  }

  function usable (service: string): Backend[] {
    const nowMs = clock.monotonicMs()
    const trial = options.trialOf(service)
    const sound: Backend[] = []
    const suspected: Backend[] = []
    for (const { entry, backend, suspectUntilMs, isMistaken } of known.values()) {
      if (entry.service !== service || isMistaken) continue
      const labelled = trial !== undefined && entry.version === trial ? { ...backend, version: trialVersion } : backend
      if (suspectUntilMs > nowMs) suspected.push(labelled)
      else sound.push(labelled)
    }
    // A suspicion is a guess; with nothing else to send to, it is tried all the same.
    return sound.some(({ state }) => state === 'live') ? sound : [...sound, ...suspected]
  }

  function suspect (id: BackendId, cause: string): void {
    const backend = known.get(id)
    if (backend === undefined) return
    const nowMs = clock.monotonicMs()
    if (backend.suspectUntilMs > nowMs) return
    backend.unreached += 1
    const forMs = Math.min(maxSuspectMs, firstSuspectMs * 2 ** (backend.unreached - 1))
    backend.suspectUntilMs = nowMs + forMs
    log('backendSuspected', { backend: id, service: backend.entry.service, cause, forMs, silentMs: Math.round(nowMs - backend.heardAtMs) })
  }

  function heard (id: BackendId): void {
    const backend = known.get(id)
    if (backend === undefined) return
    backend.heardAtMs = clock.monotonicMs()
    backend.suspectUntilMs = -Infinity
    backend.unreached = 0
  }

  return {
    put,
    remove,
    usable,
    entries: service => [...known.values()].filter(({ entry }) => entry.service === service).map(({ entry }) => entry),
    get: id => known.get(id),
    all: () => [...known.values()],
    suspect,
    heard,
    mistaken: id => {
      const backend = known.get(id)
      if (backend === undefined || backend.isMistaken) return
      backend.isMistaken = true
      log('backendSuspected', { backend: id, service: backend.entry.service, cause: 'another backend server has its address' })
    },
    close: () => {
      for (const { connections } of known.values()) connections.close()
    }
  }
}
