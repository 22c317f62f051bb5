/** Types of the client for callers. */
import type { Result } from 'true-myth'
import type { Clock } from '../clock/index.ts'
import type { CyclamenError } from '../errors/index.ts'
import type { RunState } from '../outcomes/index.ts'

/** Options of a client for callers. */
export interface CallerClientOptions {
  /** Base URLs of nodes or load balancers; when one fails, the next one is used. */
  urls: string[]
  /** The team's token. */
  token: string
  clock: Clock
  /** Random numbers from 0 to 1, for the choice of the first URL and the jitter of retries; set by tests. */
  random?: () => number
  /** Time without data on an open connection after which it is considered broken, in milliseconds. */
  idleTimeoutMs?: number
  /** Called before each retry of a request. */
  onRetry?: (retry: Retry) => void
}

/** A retry of a request. */
export interface Retry {
  url: string
  cause: string
  /** Wall time at which the request is sent again. */
  retryAtMs: number
}

/** A caller's request for a draft. */
export interface ClientDraftRequest {
  team: string
  route: string
  prompt: string
  maxTokens: number
  /** Idempotency key of the draft, with which a broken stream can be resumed. */
  key: string
  /** Id of the last event that the caller has received, to resume a stream that an earlier client started. */
  afterEventId?: string
  /** Deadline of the request, as wall time in milliseconds. It is sent to the node. */
  deadlineAtMs: number
}

/** A caller's request for a call. */
export interface ClientCallRequest {
  team: string
  route: string
  /** Idempotency key: requests with the same key and body run at most once. */
  key: string
  contentType: string
  body: Buffer
  /** Deadline of the request, as wall time in milliseconds. It is sent to the node. */
  deadlineAtMs: number
}

/** Why a request failed: it was refused, or no node responded. */
export type CallerError = CyclamenError<'AnswerRefused'> | CyclamenError<'NodesUnreachable'>

/** The problem details of a refusal. */
export interface ProblemDetails {
  status: number
  title: string
  detail: string
  reason: string
  run: RunState
  retryAtMs: number | undefined
}

/** Summary of a completed draft. */
export interface DraftSummary {
  finishReason: string
  events: number
  promptTokens: number
  cachedTokens: number
  version: string | undefined
}

/** One event of a draft. After `restart`, all previous tokens are invalid and the draft starts again from the first token. */
export type DraftEvent =
  | { kind: 'token', id: string, text: string }
  | { kind: 'restart' }
  | { kind: 'end', summary: DraftSummary }
  | { kind: 'failed', error: CallerError }

/** Response of a plain service. */
export interface CallResponse {
  status: number
  contentType: string
  body: Buffer
}

/** A client for callers of one team. */
export interface CallerClient {
  /** Streams the events of a draft, each once and in order. The last one is `end` or `failed`. */
  draft: (request: ClientDraftRequest, signal?: AbortSignal) => AsyncGenerator<DraftEvent>
  /** Makes a call and retries it under the same key until there is a response, a final refusal, or no time for a retry. */
  call: (request: ClientCallRequest, signal?: AbortSignal) => Promise<Result<CallResponse, CallerError>>
  close: () => Promise<void>
}
