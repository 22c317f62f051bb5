/** Messages between nodes about calls. */
import { toId } from '../ids/index.ts'
import type { IdempotencyKey, NodeId, RequestId, TeamId } from '../ids/index.ts'
import type { CallRecord, CallRequest, ServeResult } from './types.ts'

/** Runs a call at the owner of its shard; answered by a `ServeResult`. */
export const runKind = 'calls/run'
/** Tells a former owner that its shard was taken; answered by a `TakenAnswer`. */
export const takenKind = 'calls/taken'
/** Asks whether a node has taken a shard; answered by a `VouchAnswer`. */
export const vouchKind = 'calls/vouch'
/** Tells the present owner what became of a claim of a former one. */
export const outcomeKind = 'calls/outcome'

/** Body of `calls/run`. */
export interface RunMessage {
  team: string
  route: string
  key: string
  contentType: string
  body: Uint8Array
  deadlineAtMs: number
  forward: string
  unreachable: string[]
}

/** Body of `calls/taken`. */
export interface TakenMessage {
  shard: number
  epoch: number
}

/** What a former owner answers: it no longer acts as the owner. */
export interface TakenAnswer {
  /** How long it would itself still have held back its attempts. */
  quietMs: number
}

/** Body of `calls/vouch`. */
export interface VouchMessage {
  shard: number
}

/** What a node answers about a shard. */
export interface VouchAnswer {
  /** The highest epoch in which it knows the shard taken; 0 for none. */
  epoch: number
  /** The nodes that it knows to live. */
  nodes: string[]
}

/** Body of `calls/outcome`. */
export interface OutcomeMessage {
  shard: number
  record: CallRecord
}

export function encodeRun ({ call, key, forward, unreachable }: CallRequest): RunMessage {
  const { team, route, contentType, body, deadlineAtMs } = call
  return { team, route, key, contentType, body, deadlineAtMs, forward, unreachable }
}

export function decodeRun (message: RunMessage): CallRequest {
  const key = toId<IdempotencyKey>(message.key)
  return {
    call: {
      team: toId<TeamId>(message.team),
      route: message.route,
      key,
      repeatable: false,
      contentType: message.contentType,
      body: Buffer.from(message.body),
      deadlineAtMs: message.deadlineAtMs
    },
    key,
    forward: toId<RequestId>(message.forward),
    unreachable: message.unreachable.map(node => toId<NodeId>(node))
  }
}

/** The answer's body comes as plain bytes from the wire. */
export function decodeResult (result: ServeResult): ServeResult {
  if (result.kind !== 'answer') return result
  return { ...result, answer: { ...result.answer, body: Buffer.from(result.answer.body) } }
}
