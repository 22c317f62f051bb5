/** Types of the table of backend servers. */
import type { BackendLimits, PermitClaim } from '../backend-limits/index.ts'
import type { Backend } from '../backends/types.ts'
import type { Clock } from '../clock/index.ts'
import type { Evacuations } from '../evacuations/index.ts'
import type { BackendId, NodeId, VersionId } from '../ids/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { VersionRole } from '../moves/types.ts'
import type { SuspectCounts } from '../node-reports/types.ts'
import type { RegistrationTimes, VersionPresence } from '../registrations/index.ts'
import type { MayUseDomain } from './allowed-domains.ts'
import type { BackendConnections } from './backend-connections.ts'
import type { IneligibleReason } from './eligibility.ts'
import type { BackendEntry } from './types.ts'

/** Options of the table. */
export interface BackendTableOptions {
  clock: Clock
  log: Log
  metrics: Metrics
  /** The roles of a service's versions. */
  versionRolesOf: (service: string) => (version: VersionId) => VersionRole
  /** The limits that backend servers name for their requests, and those of cold ones. */
  limits: Pick<BackendLimits, 'recordRegistration' | 'removeRegistration' | 'hasPermit' | 'recordSkipped' | 'isLimited' | 'endedAtMs' | 'onRefused'>
  /** The evacuated failure domains; none by default. */
  evacuations?: Pick<Evacuations, 'isEvacuated' | 'endedAtMs'>
  /** Whether a backend server that appears may have run before, as this node has just started; it isn't assumed to be cold then. */
  hasJustStarted?: () => boolean
  /** Random number in [0, 1). */
  random: () => number
  registrationTimes: RegistrationTimes
  /** Revision at which this node's copy of the key-value service has a registration; undefined if it has none. */
  registrationRevision: (backend: BackendId) => number | undefined
  /** Whether that copy gets the renewals of registrations, too, or only other changes. */
  seesRenewals: () => boolean
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

/** Why a service has no backend server for a request until an operator or the registrations change that. */
export type Unavailability =
  /** All that the request may be sent to are in evacuated failure domains. */
  | 'evacuated'
  /** The request may be sent to none of them. */
  | 'not-allowed'

/** The registered backend servers by id. Where `mayUse` is given, only those of the domains for which it returns true count. */
export interface BackendTable {
  /** Adds or updates an entry. An entry with another start time, service or address replaces the old one. `isByRestore` marks one from an older copy of the key-value service. */
  put: (entry: BackendEntry, isByRestore?: boolean) => void
  /** Removes an entry; requests in flight may finish. */
  remove: (id: BackendId, cause: string) => void
  /** Backend servers of a service that may be chosen now for a request, by default a first attempt of the highest priority; suspected ones only if no other is live, and replaced ones only if none takes requests again soon. Those of an evacuated failure domain are never among them. Calls `onLimited` for those that it may not be sent to because of their limits. */
  usable: (service: string, claim?: PermitClaim, onLimited?: (backend: BackendId) => void, mayUse?: MayUseDomain) => Backend[]
  /** The entries of a service whose servers take requests, as far as this node knows. */
  live: (service: string, mayUse?: MayUseDomain) => BackendEntry[]
  /** All entries of a service. */
  entries: (service: string) => BackendEntry[]
  /** What is known of the servers of a service that have another version than this one, without those that are leaving. */
  otherVersionPresence: (service: string, version: VersionId) => VersionPresence
  /** Discards what proves that servers run; for the first content of the key-value service, and after each restore. */
  resetProofs: () => void
  /** Whether running servers have had the time to register since then, and to prove that they run. */
  areRegistrationsSettled: () => boolean
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
  allPausedForMs: (service: string, mayUse?: MayUseDomain) => number | undefined
  /** Returns undefined if a service has no backend servers that could be chosen, or some for which no such reason holds. */
  unavailability: (service: string, mayUse: MayUseDomain) => Unavailability | undefined
  /** Time after which to retry, for a request that is refused because of limits; undefined unless all live backend servers that are neither paused nor excluded limit their requests. */
  allLimitedForMs: (service: string, claim: PermitClaim, excluded: ReadonlySet<BackendId>, mayUse?: MayUseDomain) => number | undefined
  /** Whether a version of a service is being stopped after a move. */
  isReplaced: (service: string, version: VersionId) => boolean
  /** How many backend servers of each service get no requests, by reason. */
  ineligibleCounts: () => Map<string, Map<IneligibleReason, number>>
  close: () => void
}
