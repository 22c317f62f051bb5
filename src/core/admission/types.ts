/** Types of admission control, concurrency limits and the retry budget. */
import type { Result } from 'true-myth'
import type { Clock } from '../clock/index.ts'
import type { BackendId, TeamId } from '../ids/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { Refusal, RetryReason } from '../outcomes/index.ts'
import type { Priority } from '../teams/types.ts'

/** A request that asks for admission. */
export interface AdmissionRequest {
  team: TeamId
  route: string
  priority: Priority
  /** Wall time by which the answer must be complete. */
  deadlineAtMs: number
  /**
   * Wall time by which the request must start, for example to meet the latency target of the
   * first token. A request that would wait longer is refused instead of queued.
   */
  startDeadlineAtMs?: number
  /** The team's relative weight when teams compete for slots; a larger weight gets a larger share. */
  weight: number
  /** Limit of the team's requests in flight at this node. */
  maxConcurrent: number
  /** Limit of the team's waiting requests at this node. */
  maxQueued: number
  /** Expected time from the permit to its release; estimated per team and route when absent. */
  expectedMs?: number
  /** Sum of the learned concurrency limits of the team's live backend servers; unlimited when absent. */
  backendCapacity?: number
  /** Aborted when the caller disconnects; a waiting request is then refused and removed from its queue. */
  signal?: AbortSignal
}

/** How a request with a permit ended. Only `done` updates the duration estimate. */
export type PermitOutcome = 'done' | 'failed' | 'abandoned'

/** The right to run one request. It must be released once; further releases do nothing. */
export interface Permit {
  readonly team: TeamId
  /** Time spent in the queue. */
  readonly waitedMs: number
  release: (outcome: PermitOutcome) => void
}

/** Admission control of one node. */
export interface Admission {
  /** Resolves to a permit, or to a refusal as soon as it is clear that the request can't be served in time. */
  admit: (request: AdmissionRequest) => Promise<Result<Permit, Refusal>>
  /** Counts the requests in flight and waiting, of one team or of all teams. */
  load: (team?: TeamId) => { inFlight: number, waiting: number }
  /** Refuses new and waiting requests with `draining`; requests in flight keep their permits. */
  drain: () => void
  close: () => void
}

/** Options of a node's admission control. */
export interface AdmissionOptions {
  clock: Clock
  metrics: Metrics
  /** Returns an evenly distributed number from 0 (inclusive) to 1 (exclusive), for the jitter of retry times. */
  random: () => number
  /** Limit of the requests in flight at this node. */
  maxConcurrent: number
  /** Sum of the learned concurrency limits of all backend servers; unlimited when absent. */
  capacity?: () => number
}

/** Latency sample of one finished attempt, as input of its backend server's concurrency limit. */
export interface LatencySample {
  latencyMs: number
  targetMs: number
  /** Requests in flight at the backend server when the attempt began, including the attempt itself. */
  inFlight: number
  /** Whether the backend server refused the attempt because of its load or timed out. */
  overloaded: boolean
}

/** Concurrency limit of one backend server, adjusted to its measured latency. */
export interface ConcurrencyLimit {
  readonly current: () => number
  record: (sample: LatencySample) => void
}

/** Concurrency limits of all backend servers. */
export interface ConcurrencyLimits {
  limitOf: (backend: BackendId) => number
  record: (backend: BackendId, sample: LatencySample) => void
  removeBackend: (backend: BackendId) => void
}

/** Limits retries to a ratio of the requests, for each backend server and overall. */
export interface RetryBudget {
  /** Counts a first attempt at a backend server, which deposits a fraction of a retry. */
  deposit: (backend: BackendId) => void
  /**
   * Takes one retry for an attempt at `backend` that broke; returns false when the budget is
   * exhausted. Retries after a leaving backend server, a withdrawn version or a moved owner
   * are always allowed and take nothing.
   */
  take: (backend: BackendId, reason: RetryReason) => boolean
  removeBackend: (backend: BackendId) => void
}
