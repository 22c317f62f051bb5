/** Types of the request limits of backend servers, which they name for all nodes together or which hold while they are cold. */
import type { Clock } from '../clock/index.ts'
import type { BackendId, DomainId, NodeId } from '../ids/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { NamedLimit } from './parse.ts'

/** One start of a backend server's process. */
export interface LimitedBackend {
  id: BackendId
  service: string
  /** Wall time of its start, if it reported one. */
  startedAtMs?: number | undefined
}

/** A backend server as it registered itself. */
export interface RegisteredBackend extends LimitedBackend {
  domain: DomainId
  /** Remaining time for which it calls itself cold. */
  warmUpMs: number
}

/** Limit of each cold backend server of a service. */
export interface ColdLimit {
  /** Time for which a backend server is cold after it appears, starts again or its failure domain returns. */
  startMs: number
  /** Requests a second that it takes from all nodes together. */
  perSecond: number
}

/** Limits of cold backend servers. */
export interface ColdOptions {
  /** Whether any service has such a limit. */
  isEnabled: () => boolean
  /** Undefined for a service without one. */
  limitOf: (service: string) => ColdLimit | undefined
  /** In any second, a cold backend server may get `perSecond` times this ratio, and `slackCount` requests in addition. */
  overrunRatio: number
  slackCount: number
  /** Monotonic time at which the evacuation of a failure domain ended; -Infinity if it never did. */
  domainReturnedAtMs: (domain: DomainId) => number
}

/** Part of a limit that one node may use. */
export interface LimitShare {
  /** Part of the limit, 0 to 1. */
  ratio: number
  /** Requests that may be sent at once, at least 1. */
  burst: number
}

/** A response with or without a limit, as nodes tell one another. Ages are in ms. */
export interface ReportedLimit {
  backend: BackendId
  startedAtMs: number | undefined
  /** Undefined if the response named no limit. */
  perSecond: number | undefined
  /** Age of the request and of the response's head: the backend server wrote the head in between. */
  sentAgeMs: number
  readAgeMs: number
}

/** A share as a collector gives it to a node. */
export interface ReportedShare extends LimitShare {
  backend: BackendId
  startedAtMs: number | undefined
}

/** What nodes tell one another about limits. */
export interface LimitReport {
  limits: readonly ReportedLimit[]
  /** Requests a second that the sender is asked for, by service; the highest ones. */
  demands: ReadonlyMap<string, number>
  /** The receiver's shares; only in a collector's digests. */
  shares: readonly ReportedShare[] | undefined
}

/** The request that wants a permit. */
export interface PermitClaim {
  /** Its priority; 0 is the highest. */
  rank: number
  isRetry: boolean
}

/** Permission to send one request. */
export interface Permit {
  /** Must be called when certainly no byte of the request was sent. */
  giveBack: () => void
}

/** Options of the limits of one node. */
export interface BackendLimitsOptions {
  clock: Clock
  log: Log
  metrics: Metrics
  /** Random number in [0, 1). */
  random: () => number
  node: NodeId
  /** Maps a text to a number in [0, 1), equal on every node. */
  draw: (text: string) => number
  /** All other registered nodes; the same array until they change. */
  otherNodes: () => ReadonlyArray<{ node: NodeId }>
  /** The demands by service of the other nodes whose recent reports this node has, and that don't use another node's digests. */
  reportedDemands: () => ReadonlyMap<NodeId, ReadonlyMap<string, number>>
  /** Whether this node gets the reports of all others; otherwise its shares come from a collector. */
  getsAllReports: () => boolean
  /** The registered backend server with an id. */
  backendOf: (id: BackendId) => LimitedBackend | undefined
  /** Without it, no backend server counts as cold. */
  cold?: ColdOptions
}

/** When a limited backend server takes requests from this node. */
export interface LimitState {
  perSecond: number
  /** Time in ms since this node knows of a limit. */
  forMs: number
  /** Requests a second that this node may send; 0 if it may send none. */
  ownPerSecond: number
  /** Time in ms until this node may send the next request; Infinity if it may send none. */
  nextPermitInMs: number
}

/** The limits of backend servers, as one node knows and keeps them. */
export interface BackendLimits {
  /**
   * Records a registration. `hasAppeared` says that this start of the backend server wasn't known before, so that
   * it is assumed to be cold; `isByRestore` that the registration comes from an older copy of the key-value service.
   */
  recordRegistration: (backend: RegisteredBackend, source: { hasAppeared: boolean, isByRestore: boolean }) => void
  /** Records that a backend server is no longer registered. */
  removeRegistration: (id: BackendId) => void
  /** Records what the head of a response said; `sentAtMs` is the monotonic time at which its request was sent. */
  recordResponse: (backend: LimitedBackend, named: NamedLimit, sentAtMs: number) => void
  /** Counts a request that a caller asks a service for. */
  recordDemand: (service: string) => void
  /** Requests a second that this node is asked for. */
  demandPerSecond: (service: string) => number
  /** Whether a request may be sent now. Without a limit always true. */
  hasPermit: (backend: LimitedBackend, claim: PermitClaim) => boolean
  /** Records that a request was not sent there for want of a permit. */
  recordSkipped: (backend: LimitedBackend) => void
  /** Takes the permit to send one request now; undefined if there is none. */
  take: (backend: LimitedBackend, claim: PermitClaim) => Permit | undefined
  /** Whether it takes a permit to send a request there, because the backend server named a limit or is cold. */
  isLimited: (backend: LimitedBackend) => boolean
  /** The limit in force that it named; undefined without one. */
  stateOf: (backend: LimitedBackend) => LimitState | undefined
  /** Monotonic time at which a limit ended; -Infinity if there was none lately. */
  endedAtMs: (backend: LimitedBackend) => number
  /**
   * Called when a request is refused because all of these backend servers are at their limits.
   * Keeps the next permit of each for this request's priority, and returns the time in ms after which to retry.
   */
  onRefused: (service: string, backends: readonly LimitedBackend[], claim: PermitClaim) => number
  /** What this node tells the others. */
  report: () => LimitReport
  /** What this node, as a collector, tells another node; all limits if that node may not know them yet. */
  digestFor: (node: NodeId, isNewReceiver: boolean) => LimitReport
  /** Records what another node reported of limits. */
  mergeLimits: (limits: readonly ReportedLimit[]) => void
  /** Replaces the shares that a collector gave to this node; undefined when the collector is no longer used. */
  setShares: (shares: readonly ReportedShare[] | undefined) => void
  /** All limits in force. */
  list: () => Array<LimitState & { backend: BackendId, sent: number, skipped: number }>
}
