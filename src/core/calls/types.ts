/** Types of at-most-once calls: requests, results, limits and dependencies. */
import type { Result } from 'true-myth'
import type { AttemptFailure, ServiceResponse, ServiceRequest } from '../backends/types.ts'
import type { Clock } from '../clock/index.ts'
import type { AttemptId, IdempotencyKey, NodeId, RequestId, TeamId } from '../ids/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { Refusal, RetryReason } from '../outcomes/index.ts'
import type { Membership, PeerNetwork } from '../peers/types.ts'
import type { KeyValueStore } from '../platform/key-value/types.ts'

/** One call from a caller to a plain (non-model) service. */
export interface Call {
  team: TeamId
  route: string
  /** The caller's idempotency key; required unless the call is repeatable. */
  key: IdempotencyKey | undefined
  /** Whether the route declares that the service may execute the call more than once. */
  repeatable: boolean
  contentType: string
  body: Buffer
  deadlineAtMs: number
}

/** The response of a call that ran. `repeated` is true if an earlier request with the same key executed it. */
export interface CallResponse extends ServiceResponse {
  run: 'done'
  repeated: boolean
}

/** One attempt to execute a call at a backend server of the team. */
export interface AttemptRequest extends ServiceRequest {
  team: TeamId
}

/** Selects a backend server and makes one attempt. A failure may set `mayHaveRun` to false only if no byte was sent. */
export type SendAttempt = (request: AttemptRequest, signal: AbortSignal) => Promise<Result<ServiceResponse, AttemptFailure>>

/** Asks the service for its response to an earlier attempt with the same key; undefined if the service has none. */
export type LookUp = (request: AttemptRequest, signal: AbortSignal) => Promise<Result<ServiceResponse | undefined, AttemptFailure>>

/** Limits for the calls of one node. */
export interface CallLimits {
  /** Number of shards of the key space, each with one owner and one journal; must be the same on every node. */
  callShards: number
  /** Maximum number of writes per second to the key-value service, shared by all journals. */
  journalWritesPerSecond: number
  /** Minimum time for which a key is stored after its claim. */
  retentionMs: number
  /** Maximum difference between two wall clocks (of nodes and callers). */
  clockSkewMs: number
  /** Maximum number of keys that one shard stores. */
  maxKeysPerShard: number
  /** Maximum size of a response body that is stored for repeated requests. */
  maxStoredBodyBytes: number
  /** Maximum size of one journal value, written by a commit or a merge. */
  maxSegmentBytes: number
  /** Maximum number of records that wait for a commit of one shard. */
  maxWaitingRecords: number
  /** Timeout of one request to the key-value service. */
  storeTimeoutMs: number
  /** Maximum time for which a response is held back until its outcome is committed. */
  outcomeWaitMs: number
  /** Maximum time for which a repeated request waits for the live previous owner to hand over the outcome of its claim. */
  handoverWaitMs: number
  /** Initial interval between attempts to resume claims after the key-value service failed; doubles up to 8 times this value. */
  storeRetryMs: number
  /** Minimum time before another node may take a shard from a live owner. */
  minOwnershipMs: number
  /**
   * Time for which a proof of ownership is valid. While it is valid, the owner may
   * report that a key has not run. A new owner makes no attempts for this time
   * unless the previous owner has released the shard.
   */
  ownershipProofMs: number
  /** Interval at which a node checks for shards that it should own and takes them. */
  shardCheckIntervalMs: number
  /** Maximum number of attempts at backend servers for one request. */
  maxAttempts: number
  /** Delay before the second attempt; grows by this value before each further attempt. */
  retryPauseMs: number
  /** Maximum number of times a request is forwarded to an owner of its shard. */
  maxForwards: number
}

/** Dependencies and options of the calls of one node. */
export interface CallsOptions {
  membership: Membership
  network: PeerNetwork
  store: KeyValueStore
  clock: Clock
  metrics: Metrics
  log: Log
  send: SendAttempt
  /** Set if services can report the outcome of a key. */
  lookUp?: LookUp
  /** Whether the team's retry budget allows one more attempt. */
  mayRetry: (team: TeamId, reason: RetryReason) => boolean
  limits?: Partial<CallLimits>
}

/** The calls of one node. */
export interface Calls {
  /** Runs a call at most once for its key, on whichever node owns it. Expected failures are returned, not thrown. */
  run: (call: Call) => Promise<Result<CallResponse, Refusal>>
  /** The shards that this node currently owns. */
  ownedShards: () => number[]
  /** Stops taking shards after this node has left the membership. Shards that it owns are served until another node takes them. */
  leave: () => void
  /** Releases all shards once the running calls have ended or the deadline (wall time) has passed. */
  drain: (deadlineAtMs: number) => Promise<void>
  close: () => Promise<void>
}

/** A request for a call as it reaches the owner of its shard. */
export interface CallRequest {
  call: Call
  key: IdempotencyKey
  /** Id of this forward; identifies a late duplicate of the message. */
  forwardId: RequestId
  /** Candidate owners that the forwarding node could not reach. */
  unreachable: NodeId[]
}

/** The result of a request at one node. `moved`: the node does not own the shard; `holder` is the owner that it knows of. */
export type ServeResult =
  | { kind: 'answer', answer: CallResponse }
  | { kind: 'refused', refusal: Refusal }
  | { kind: 'moved', holder: NodeId | undefined }

/** The state of one key. `unknown`: the call may or may not have run. */
export type CallState = 'claimed' | 'done' | 'unknown' | 'not-run'

/** One journal record: the durable state of one key. A later record of the same key replaces it. */
export interface CallRecord {
  /** Team and idempotency key, see `recordId`. */
  id: string
  /** Id of the claim; a new claim after `not-run` gets a new id. */
  claim: AttemptId
  /** Hash of route, content type and body. */
  digest: string
  state: CallState
  /** Wall time after which the key may be deleted. */
  expiresAtMs: number
  /** The response, if done, with the body in base64. `body` is absent if it exceeded `maxStoredBodyBytes`. */
  answer?: { status: number, contentType: string, body?: string }
}
