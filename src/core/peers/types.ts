/**
 * Messages between nodes. A capability names its own message kinds and
 * registers a handler for each; the network carries any CBOR value.
 */
import type { Result } from 'true-myth'
import type { CyclamenError } from '../errors/index.ts'
import type { DomainId, NodeId } from '../ids/index.ts'

/** Where a node listens for its peers. */
export interface PeerAddress {
  node: NodeId
  domain: DomainId
  host: string
  port: number
}

/**
 * An error of one message to one peer. `PeerUnreachable` and `PeerRejected`:
 * provably not handled. `PeerSilent`: it may have been handled, or still be.
 * `PeerFailed`: the handler ran and threw.
 */
export type PeerError =
  | CyclamenError<'PeerUnreachable'>
  | CyclamenError<'PeerSilent'>
  | CyclamenError<'PeerRejected'>
  | CyclamenError<'PeerFailed'>

/** Handles a message of one kind; its result answers a request and is dropped for a one-way message. */
export type PeerHandler = (from: NodeId, body: unknown) => Promise<unknown> | unknown

/** The links of one node to its peers; opened when needed, closed when idle or silent. */
export interface PeerNetwork {
  /** Address that this node listens at. */
  readonly address: PeerAddress
  /** Sends without an answer; lost when the peer can't be reached. Counted per kind. */
  send: (to: PeerAddress, kind: string, body: unknown) => void
  /** Sends and waits for the answer until the deadline (wall time). */
  request: (to: PeerAddress, kind: string, body: unknown, deadlineAtMs: number) => Promise<Result<unknown, PeerError>>
  /** Registers the handler of a message kind such as `calls/run`; one handler a kind. */
  handle: (kind: string, handler: PeerHandler) => void
  /** Bytes sent and received since the start, for the control budget. */
  traffic: () => { sentBytes: number, receivedBytes: number, messages: Record<string, number> }
  close: () => Promise<void>
}

/** The nodes known to be alive, as this node sees them. */
export interface Membership {
  readonly self: PeerAddress
  /** Live nodes without this one. */
  peers: () => PeerAddress[]
  find: (node: NodeId) => PeerAddress | undefined
  /** Calls the listener after every change; returns a function that stops it. */
  onChange: (listener: () => void) => () => void
  close: () => Promise<void>
}
