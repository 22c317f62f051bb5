/** Types of the quarantine for prompts that crash backend servers. */
import type { Clock } from '../clock/index.ts'
import type { AttemptId, BackendId, NodeId, RequestFeature } from '../ids/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'

/** An attempt that had no answer yet when its backend server crashed. */
export interface CrashedAttempt {
  attempt: AttemptId
  service: string
  backend: BackendId
  /** Wall time of the start of the backend server's process, if it reported one. */
  backendStartedAtMs: number | undefined
  /** The parts of its prompt that other requests may share. */
  features: readonly RequestFeature[]
  /** Whether the head of the response had arrived, which means that its prompt was being answered. */
  hasStarted: boolean
  /** Wall time of the crash. */
  crashedAtMs: number
}

/** Whether requests with a certain combination of parts are refused. Of two records with the same parts, the later change holds. */
export interface QuarantineRecord {
  service: string
  /** Requests whose prompts have all of these parts are refused; in ascending order. */
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
}

/** Attempts that were answered and whose prompts have a certain part. */
export interface AnswerCounts {
  /** Since the first crash of a prompt with the part that is remembered. */
  since: number
  /** Shortly before that crash. */
  before: number
}

/** What nodes tell one another about prompts that may crash backend servers. */
export interface QuarantineReport {
  crashed: readonly CrashedAttempt[]
  /** How often parts of crashed prompts were answered. */
  answered: ReadonlyMap<RequestFeature, AnswerCounts>
  /** Suspected combinations of parts of which a request is under way. */
  trials: readonly string[]
  records: readonly QuarantineRecord[]
}

/** Why a request is not sent. */
export type QuarantineReason = 'prompt-quarantined' | 'prompt-suspected'

/** Whether a request may be sent. */
export type Admittance =
  | { kind: 'admitted', /** Called when the attempt has ended. */ release: () => void }
  | { kind: 'refused', reason: QuarantineReason, detail: string, retryAtMs: number }

/** A request that asks to be sent. */
export interface QuarantineRequest {
  service: string
  features: readonly RequestFeature[]
  /** Whether a backend server crashed under an earlier attempt of the request; then it is only sent once its parts are no longer suspected. */
  isRetryAfterCrash: boolean
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
  /** Whether this node gets the evidence of all others, so that it may quarantine prompts; the others take its records over. */
  isDeciding: () => boolean
  /** Claims the trial of a record over all nodes; false if another node has it or nobody can tell. */
  claimTrial: (record: QuarantineRecord) => Promise<boolean>
}

/** The quarantine as one node sees it. */
export interface Quarantine {
  /** Decides whether a request may be sent now. Waits a moment for the outcome of others with the same parts. */
  admit: (request: QuarantineRequest) => Promise<Admittance>
  /** The record under which requests with these parts are refused, if any; of several, the one with the latest deadline. */
  find: (service: string, features: readonly RequestFeature[]) => QuarantineRecord | undefined
  recordCrash: (crashed: CrashedAttempt) => void
  /** Records the first event of a stream, or another complete answer. */
  recordAnswer: (service: string, features: readonly RequestFeature[]) => void
  /** What this node has to tell. */
  report: () => QuarantineReport
  /** What a collector tells a node of all others. */
  digestFor: (node: NodeId) => QuarantineReport
  /** Adds what another node, or a collector for several, tells. */
  merge: (source: NodeId, report: QuarantineReport) => void
  /** Calls the listener whenever prompts were quarantined, so that their open attempts can be aborted. */
  onQuarantined: (listener: () => void) => void
  /** All records that haven't expired, for the key-value service and for operators. */
  records: () => QuarantineRecord[]
  mergeRecords: (records: readonly QuarantineRecord[]) => void
}
