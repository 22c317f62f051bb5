/** Types of backend servers (model engines and plain services) and of their clients. */
import type { Result } from 'true-myth'
import type { NamedLimit } from '../backend-limits/index.ts'
import type { CyclamenError } from '../errors/index.ts'
import type { AttemptId, BackendId, DomainId, InstanceId, TeamId, VersionId } from '../ids/index.ts'
import type { Priority } from '../teams/types.ts'
import type { RefusalReason, RetryReason } from '../outcomes/index.ts'

/** A backend server according to the instance list and reclaim notices. */
export interface Backend {
  id: BackendId
  instance: InstanceId
  team: TeamId
  kind: 'model-engine' | 'plain-service'
  version: VersionId
  domain: DomainId
  machineClass: string
  reclaimable: boolean
  /** Base address, such as `http://127.0.0.1:9000`. */
  url: string
  state: 'starting' | 'live' | 'leaving'
  /** Wall time at which a leaving instance will be gone, if announced. */
  goneAtMs?: number
}

/** Request to a model engine to generate the answer of a draft, or the rest of it. */
export interface GenerateRequest {
  attempt: AttemptId
  model: string
  prompt: string
  /** Text that earlier attempts generated; the engine continues after it. */
  generatedText: string
  maxTokens: number
  priority: Priority
  deadlineAtMs: number
  /** Route of the request, passed on to the engine for its own statistics. */
  route?: string
  /** Handle of the KV cache that was imported for this request, if any. */
  cacheHandle?: string
}

/** Event of an engine's answer. */
export type GenerateEvent =
  /** `raw` is the unmodified JSON of the engine's event; it is forwarded to the caller. */
  | { kind: 'token', index: number, text: string, raw: string }
  | { kind: 'end', finishReason: string, promptTokens: number, cachedTokens: number, generatedTokens: number }

/** Called with what the head of a response says of the backend server's request limit, and the monotonic time at which its request was sent. */
export type OnNamedLimit = (named: NamedLimit, sentAtMs: number) => void

/** Why an attempt at a backend server failed, and whether it may have run. */
export interface AttemptFailure {
  reason: RetryReason
  /** Whether the backend server may have worked on the attempt. */
  mayHaveRun: boolean
  detail: string
  /** Earliest wall time for a retry at this backend server, if it sent one. */
  retryAtMs?: number
  /** Set when this node sent nothing and no further attempt can help now. */
  refusal?: RefusalReason
}

/** Load report of an engine. It reflects the time `reportedAtMs`, not the time of its arrival. */
export interface LoadReport {
  backend: BackendId
  reportedAtMs: number
  running: number
  waiting: number
  /** Ratio of the KV cache in use, 0 to 1. */
  cacheUsage: number
}

/** A change of an engine's prefix cache. A gap in `sequence` means that events were lost. */
export interface CacheEvent {
  sequence: number
  kind: 'stored' | 'removed' | 'cleared'
  /** Hashes of the prompt blocks, first to last. */
  blocks: string[]
}

/** An order that changes what an engine or service runs. It states the wanted state, so it is idempotent. */
export interface BackendOrder {
  fencingNumber: number
  wanted: {
    versions: VersionId[]
    adapters: string[]
    role: 'serve' | 'drain'
  }
}

/** What a backend server runs, as it reports it. */
export interface BackendState {
  versions: VersionId[]
  loading: VersionId[]
  adapters: string[]
  role: 'serve' | 'drain'
  highestFencingNumber: number
}

/** Client of one model engine. */
export interface EngineClient {
  /** Generates an answer. The iteration throws an `AttemptError` when the attempt fails. */
  generate: (request: GenerateRequest, signal: AbortSignal) => AsyncIterable<GenerateEvent>
  /** Resumes the stream of an attempt that was started on another connection, from the given event index on. */
  resume: (attempt: AttemptId, fromIndex: number, signal: AbortSignal) => AsyncIterable<GenerateEvent>
  cancel: (attempt: AttemptId) => Promise<void>
  /** Exports the KV cache of an attempt; resolves to a handle that another engine can import. */
  exportCache: (attempt: AttemptId, deadlineAtMs: number) => Promise<Result<string, CyclamenError>>
  importCache: (handle: string, deadlineAtMs: number) => Promise<Result<void, CyclamenError>>
  load: (deadlineAtMs: number) => Promise<Result<LoadReport, CyclamenError>>
  cacheEvents: (afterSequence: number, deadlineAtMs: number) => Promise<Result<CacheEvent[], CyclamenError>>
  order: (order: BackendOrder, deadlineAtMs: number) => Promise<Result<BackendState, CyclamenError>>
  state: (deadlineAtMs: number) => Promise<Result<BackendState, CyclamenError>>
  close: () => Promise<void>
}

/** Error that the iteration of `generate` or `resume` throws. */
export class AttemptError extends Error {
  readonly failure: AttemptFailure
  constructor (failure: AttemptFailure) {
    super(failure.detail)
    this.name = 'AttemptError'
    this.failure = failure
  }
}

/** A call to a plain service. */
export interface ServiceRequest {
  attempt: AttemptId
  route: string
  /** Version that must run the call, for servers that run several; absent when any may. */
  version?: VersionId
  idempotencyKey: string | undefined
  contentType: string
  body: Buffer
  deadlineAtMs: number
}

/** Response of a plain service. */
export interface ServiceResponse {
  status: number
  contentType: string
  body: Buffer
}

/** Client of one plain service. */
export interface ServiceClient {
  /** Makes a call once, on a new connection or one that carried a response recently. Never retries. */
  call: (request: ServiceRequest, signal: AbortSignal) => Promise<Result<ServiceResponse, AttemptFailure>>
  /**
   * Looks up the response of an earlier call with the request's idempotency key, by
   * `GET /calls/:key`. Only a response whose `run-state` header is `done` is accepted. Resolves to
   * undefined when the service has none, doesn't support look-ups or doesn't respond in time.
   */
  lookUp?: (request: ServiceRequest, signal: AbortSignal) => Promise<ServiceResponse | undefined>
  order: (order: BackendOrder, deadlineAtMs: number) => Promise<Result<BackendState, CyclamenError>>
  state: (deadlineAtMs: number) => Promise<Result<BackendState, CyclamenError>>
  close: () => Promise<void>
}
