/** Types of the callers' connections. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Clock } from '../clock/index.ts'

/** Why the connection of an answer ended before the answer was delivered. */
export type UndeliveredReason = 'caller-closed' | 'stop-deadline'

/** How the connection of an undelivered answer ended, and how many bytes of the answer the caller had not taken. */
export interface AnswerEnd {
  reason: UndeliveredReason
  waitingBytes: number
}

export type AnswerClosedListener = (end: AnswerEnd | undefined) => void

/** Options of the callers' connections. */
export interface CallerConnectionsOptions {
  /** The server whose connections these are, created with `requireHostHeader: false`, as a missing host is answered here, in turn. */
  server: Server
  clock: Clock
  /** Whether answers that begin now tell their callers to use another connection. */
  isDraining: () => boolean
  /** Called for a request that was read after the node had announced or made the end of its connection; it must not run. */
  onLateRequest: (request: IncomingMessage) => void
  /** Called for a request that the HTTP parser rejects; returns the answer's bytes, which must say `Connection: close`. */
  onParserError: (error: NodeJS.ErrnoException) => string
}

/** The connections of callers. A connection ends by an answer that said so and was delivered, or while it is idle. */
export interface CallerConnections {
  /** Takes over a request and its response. Calls `handle` in its turn: once the answers before it are delivered, and never if no answer can be sent. */
  take: (request: IncomingMessage, response: ServerResponse, handle: () => void) => void
  /** Number of requests in progress whose answers are not delivered. */
  openRequestCount: () => number
  /**
   * Calls the listener once, when the answer was delivered (its last byte was taken by
   * the connection, `end` is undefined) or its connection has ended before that.
   */
  onAnswerClosed: (response: ServerResponse, listener: AnswerClosedListener) => void
  /** Accepts the connections that wait, until the monotonic time `deadlineAtMs` at most, then stops listening; open connections stay. */
  stopListening: (deadlineAtMs: number) => Promise<void>
  /** Resolves once all connections have ended, or no request has been open for `quietMs` from this call on and no caller is still reading its last answer; at the monotonic time `deadlineAtMs` at the latest. */
  whenQuiet: (quietMs: number, deadlineAtMs: number) => Promise<void>
  /** Resolves once all answers are delivered, or at the monotonic time `deadlineAtMs`, when what had arrived by then has been read. */
  whenAnswered: (deadlineAtMs: number) => Promise<void>
  /** Resolves once what has arrived has been read. After a stall of the event loop, timers run before that. */
  whenRead: () => Promise<void>
  /** Ends idle connections regularly and aborts all others, whose answers are then visibly incomplete. */
  close: () => void
}
