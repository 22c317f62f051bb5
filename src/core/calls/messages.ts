/** Messages between nodes about calls. The kinds and the field names are part of the wire protocol. */
import { toId } from '../ids/index.ts'
import type { IdempotencyKey, NodeId, RequestId, TeamId } from '../ids/index.ts'
import type { CallRecord, CallRequest, ServeResult } from './types.ts'

/** Runs a call at the owner of its shard; the response is a `ServeResult`. */
export const runKind = 'calls/run'
/** Notifies the previous owner that its shard was taken; the response is a `TakenResponse`. */
export const takenKind = 'calls/taken'
/** Asks whether a node has taken a shard; the response is an `OwnershipQueryResponse`. */
export const ownershipQueryKind = 'calls/vouch'
/** Hands the outcome of a previous owner's claim over to the current owner; the response is whether it was accepted. */
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

/** Response of the previous owner, which no longer acts as the owner. */
export interface TakenResponse {
  /** Time for which the previous owner would itself still have delayed its attempts; the new owner must wait as long. */
  quietMs: number
}

/** Body of `calls/vouch`. */
export interface OwnershipQueryMessage {
  shard: number
}

/** What a node knows about the ownership of a shard. */
export interface OwnershipQueryResponse {
  /** The highest epoch in which the shard was taken, as far as the node knows; 0 if none. */
  epoch: number
  /** The nodes that it considers live, itself included. */
  nodes: string[]
}

/** Body of `calls/outcome`. */
export interface OutcomeMessage {
  shard: number
  record: CallRecord
}

export function encodeRun ({ call, key, forwardId, unreachable }: CallRequest): RunMessage {
  const { team, route, contentType, body, deadlineAtMs } = call
  return { team, route, key, contentType, body, deadlineAtMs, forward: forwardId, unreachable }
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
    forwardId: toId<RequestId>(message.forward),
    unreachable: message.unreachable.map(node => toId<NodeId>(node))
  }
}

/** Converts the response body, which CBOR decodes to a plain byte array, to a `Buffer`. */
export function decodeResult (result: ServeResult): ServeResult {
  if (result.kind !== 'answer') return result
  return { ...result, answer: { ...result.answer, body: Buffer.from(result.answer.body) } }
}
