/** Types of the quarantine for requests that crash backend servers. */
import type { Clock } from '../clock/index.ts'
import type { AttemptId, BackendId, NodeId, RequestFeature, TeamId } from '../ids/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'

/** Where a request came from, for operators. */
export interface RequestOrigin {
  /** Undefined for an anonymous caller. */
  team?: TeamId
  route: string
}

/** An attempt that had no complete answer yet when its backend server crashed. */
export interface CrashedAttempt {
  attempt: AttemptId
  service: string
  backend: BackendId
  /** Wall time of the start of the backend server's process, if it reported one. */
  backendStartedAtMs: number | undefined
  /** The digest of the request, and the parts of its prompt that other requests may share if no event of its answer had come. */
  features: readonly RequestFeature[]
  /** Whether the backend server may have been running it: of a stream, the head had arrived; other responses give no sign before they are complete. */
  hasStarted: boolean
  /** Requests that this node knew to be in progress at the backend server, this one included. */
  inProgress: number
  /** Wall time of the crash. */
  crashedAtMs: number
  origin?: RequestOrigin
}

/** Whether requests with certain features are refused. Of two records with the same features, the later change holds. */
export interface QuarantineRecord {
  service: string
  /** Requests with all of these are refused: the digest of a whole request, or parts of prompts; in ascending order. */
  features: readonly RequestFeature[]
  state: 'quarantined' | 'lifted'
  /** Wall time of the latest change of the record. */
  changedAtMs: number
  /** Wall time of the first crash. */
  sinceMs: number
  /** Wall time from which one request over all nodes is let through as a trial; for a lifted one, from which the record is deleted. */
  untilMs: number
  /** Number of crashed backend servers. */
  crashes: number
  /** The crashed backend servers, at most as many as `maxRecordedBackends`. */
  backends: readonly BackendId[]
  /** Set for a whole request. */
  origin?: RequestOrigin
}

/** Attempts with a certain feature that were answered. */
export interface AnswerCounts {
  /** Since the first crash of an attempt with the feature that is remembered. */
  since: number
  /** Shortly before that crash. */
  before: number
}

/** What nodes tell one another about requests that may crash backend servers. */
export interface QuarantineReport {
  crashed: readonly CrashedAttempt[]
  /** How often features of crashed attempts were answered. */
  answered: ReadonlyMap<RequestFeature, AnswerCounts>
  /** Suspected features of which a request is under way. */
  trials: readonly string[]
  records: readonly QuarantineRecord[]
}

/** Why a request is not sent. */
export type QuarantineReason = 'prompt-quarantined' | 'prompt-suspected' | 'request-quarantined' | 'request-suspected'

/** Whether a request may be sent. */
export type Admittance =
  | { kind: 'admitted', /** Called when the attempt has ended. */ release: () => void }
  | { kind: 'refused', reason: QuarantineReason, detail: string, retryAtMs: number }

/** One start of a backend server's process. */
export interface LiveBackend {
  id: BackendId
  startedAtMs?: number
}

/** A request that asks to be sent. */
export interface QuarantineRequest {
  service: string
  features: readonly RequestFeature[]
  /** Whether a backend server crashed under an earlier attempt of the request; then it is only sent once the parts of its prompt are no longer suspected. */
  isRetryAfterCrash: boolean
  /** The backend servers of the service that may be chosen. */
  liveBackends: () => readonly LiveBackend[]
  /** Aborts a wait. */
  signal: AbortSignal
}

/** Options of a quarantine. */
export interface QuarantineOptions {
  clock: Clock
  log: Log
  metrics: Metrics
  /** Random number in [0, 1). */
  random: () => number
  /** Number of nodes that send to the same backend servers, this one included. */
  nodeCount: () => number
  /** Time within which all nodes' evidence of a crash has arrived. */
  reportDelayMs: () => number
  /** Whether this node gets the evidence of all others, so that it may quarantine requests; the others take its records over. */
  isDeciding: () => boolean
  /** Processor time that the process has used, in ms. */
  processorMs?: () => number
  /** Called when the other nodes should soon know what this node has to report: a crash, or a suspected request that is under way. */
  onUrgent?: () => void
  /** Claims the trial of a record over all nodes; false if another node has it or nobody can tell. */
  claimTrial: (record: QuarantineRecord) => Promise<boolean>
}

/** The quarantine as one node sees it. */
export interface Quarantine {
  /** Decides whether a request may be sent now. Waits a moment for the outcome of others with the same features. */
  admit: (request: QuarantineRequest) => Promise<Admittance>
  /** Whether nothing is known against any request of a service, so that its requests needn't be told apart. */
  isQuiet: (service: string) => boolean
  /** The record under which requests with these features are refused, if any; of several, the one with the latest deadline. */
  find: (service: string, features: readonly RequestFeature[]) => QuarantineRecord | undefined
  recordCrash: (crashed: CrashedAttempt) => void
  /** Records a complete answer with its features, or the first event of a stream with the parts of its prompt. */
  recordAnswer: (service: string, features: readonly RequestFeature[]) => void
  /** What this node has to tell. */
  report: () => QuarantineReport
  /** What a collector tells a node of all others. */
  digestFor: (node: NodeId) => QuarantineReport
  /** Adds what another node, or a collector for several, tells. */
  merge: (source: NodeId, report: QuarantineReport) => void
  /** Calls the listener whenever requests were quarantined, so that their open attempts can be aborted. */
  onQuarantined: (listener: () => void) => void
  /** All records that haven't expired, for the key-value service and for operators. */
  records: () => QuarantineRecord[]
  mergeRecords: (records: readonly QuarantineRecord[]) => void
}
