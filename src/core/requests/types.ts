/** Types of drafts. A draft is a streamed answer of a model engine, from its admission to its end. */
import type { AttemptId, BackendId, IdempotencyKey, NodeId, RequestId, TeamId, VersionId } from '../ids/index.ts'
import type { Backend, EngineClient } from '../backends/types.ts'
import type { Priority } from '../teams/types.ts'
import type { Refusal, RetryReason } from '../outcomes/index.ts'
import type { Result } from 'true-myth'

/** A caller's request for a draft. */
export interface DraftRequest {
  request: RequestId
  team: TeamId
  route: string
  key: IdempotencyKey
  prompt: string
  maxTokens: number
  priority: Priority
  /** Wall time after which the answer is of no use. */
  deadlineAtMs: number
}

/** One attempt's part of an answer: the events from `startIndex` up to the `startIndex` of the next part. */
export interface AnswerPart {
  attempt: AttemptId
  startIndex: number
}

/** How an answer ended. */
export type DraftEnd =
  | { kind: 'finished', finishReason: string, promptTokens: number, cachedTokens: number }
  | { kind: 'failed', refusal: Refusal }

/**
 * State of a draft. All nodes that have held it agree on every event up to
 * `raws.length`, because each event belongs to exactly one attempt.
 */
export interface Draft {
  readonly request: DraftRequest
  /** Version of the answer; undefined until its first attempt begins. */
  version: VersionId | undefined
  parts: AnswerPart[]
  /** The events as the engine encoded them. */
  raws: string[]
  /** The texts of the events, at the same indexes. */
  texts: string[]
  end: DraftEnd | undefined
  /** Increases with each hand-over, so that the later of two copies can be identified. */
  holderEpoch: number
  /** Set once another node has, or may have, the draft; from then on this node sends nothing more of it. */
  handedOverTo: NodeId | undefined
  /** Backend server that works on the draft, if any. */
  backend: BackendId | undefined
}

/** State of a draft that a hand-over transfers between nodes. */
export interface DraftSnapshot {
  request: DraftRequest
  version: VersionId | undefined
  parts: AnswerPart[]
  raws: string[]
  texts: string[]
  end: DraftEnd | undefined
  holderEpoch: number
  backend: BackendId | undefined
}

/** The backend server that was chosen for one attempt, with callbacks for feedback. */
export interface DraftChoice {
  backend: Backend
  engine: EngineClient
  version: VersionId
  /** Must be called at most once, when the attempt's first event has arrived. */
  onFirstToken: () => void
  /** Must be called exactly once, when the attempt has ended or wasn't made. */
  onEnded: (outcome: AttemptOutcome) => void
}

/** Outcome of one attempt, for routing, concurrency limits and the evaluation of version moves. */
export interface AttemptOutcome {
  ok: boolean
  /** Whether the outcome is the backend server's: true for success and its own failures, false for a cancellation or a reclaim. */
  attributedToBackend: boolean
  /** Why the attempt broke; undefined when it finished or this node stopped it. */
  reason: RetryReason | undefined
  firstTokenMs: number | undefined
  totalMs: number
  generatedTokens: number
  promptTokens: number
  cachedTokens: number
}

/** Input for the choice of a backend server for a draft's next attempt. */
export interface ChoiceRequest {
  draft: DraftRequest
  /** Backend servers where earlier attempts of this draft failed. */
  excluded: ReadonlySet<BackendId>
  /** Version that must continue the answer; undefined when any version may. */
  version: VersionId | undefined
}

/** Chooses the backend server of an attempt, or returns the refusal when there is none. */
export type ChooseBackend = (request: ChoiceRequest) => Promise<Result<DraftChoice, Refusal>>
