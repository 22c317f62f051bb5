/**
 * Types for messages between nodes. Each feature defines its own message kinds and
 * registers a handler for each; the network carries any CBOR value.
 */
import type { Result } from 'true-myth'
import type { CyclamenError } from '../errors/index.ts'
import type { DomainId, NodeId } from '../ids/index.ts'

/** The address at which a node listens for its peers. */
export interface PeerAddress {
  node: NodeId
  domain: DomainId
  host: string
  port: number
}

/**
 * The error of one message to one peer. `PeerUnreachable` and `PeerRejected`: the
 * message was not handled. `PeerSilent`: it may have been handled or may still be.
 * `PeerFailed`: the handler ran and threw.
 */
export type PeerError =
  | CyclamenError<'PeerUnreachable'>
  | CyclamenError<'PeerSilent'>
  | CyclamenError<'PeerRejected'>
  | CyclamenError<'PeerFailed'>

/** Handles the messages of one kind. The result is the response to a request and is ignored for a one-way message. */
export type PeerHandler = (from: NodeId, body: unknown) => Promise<unknown> | unknown

/** The connections of one node to its peers; opened when needed, closed when idle or silent. */
export interface PeerNetwork {
  /** The address at which this node listens. */
  readonly address: PeerAddress
  /** Sends a one-way message, which is lost if the peer can't be reached. */
  send: (to: PeerAddress, kind: string, body: unknown) => void
  /** Sends a request and waits for the response until the deadline (wall time). */
  request: (to: PeerAddress, kind: string, body: unknown, deadlineAtMs: number) => Promise<Result<unknown, PeerError>>
  /** Registers the handler of a message kind such as `calls/run`; one handler per kind. */
  handle: (kind: string, handler: PeerHandler) => void
  /** Bytes sent and received since the start, and messages initiated by kind; measured against the budget for control traffic. */
  traffic: () => { sentBytes: number, receivedBytes: number, messages: Record<string, number> }
  close: () => Promise<void>
}

/** The live nodes of the cluster, as this node sees them. */
export interface Membership {
  readonly self: PeerAddress
  /** The live nodes without this one and without leaving ones. */
  peers: () => PeerAddress[]
  /** The address of a node that isn't dead; also finds leaving nodes. */
  find: (node: NodeId) => PeerAddress | undefined
  /** Calls the listener after every change; returns a function that removes it. */
  onChange: (listener: () => void) => () => void
  close: () => Promise<void>
}
