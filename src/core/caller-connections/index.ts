/**
 * Owns the ends of callers' connections. Node.js ends a connection once its last
 * answer was handed over, and resets it when bytes of the caller are unread; a
 * request that is read meanwhile is handled although its answer can't be sent.
 * Here a connection ends only after an answer that said so was delivered, or
 * while it is idle, and nothing that is read after that is handled.
 */
import { Server as NetServer } from 'node:net'
import { setImmediate } from 'node:timers/promises'
import { cutAnswer } from './cut-answer.ts'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { AnswerClosedListener, AnswerEnd, CallerConnections, CallerConnectionsOptions } from './types.ts'

export { cutAnswer } from './cut-answer.ts'
export type * from './types.ts'

/** Time after the end of this side for which bytes of the caller are read and discarded, so that they don't reset the connection before the caller has read its answer. */
const lingerMs = 2_000
const pollIntervalMs = 20
/** Turns of the event loop without a new connection after which none waits to be accepted, and the request of the last one has been read if it had arrived. */
const quietTurns = 2
/** Limit of the turns, for connections that come without end. */
const maxTurns = 1_024

interface OpenRequest {
  request: IncomingMessage
  listeners: AnswerClosedListener[]
}

interface Connection {
  socket: Socket
  /** Requests that were taken and whose answers are not delivered, in the order of arrival. */
  open: Map<ServerResponse, OpenRequest>
  /** Whether no further request is taken: an answer says that the connection ends, or its bytes can't be parsed. */
  isLast: boolean
  /** Whether this side has ended. */
  hasEnded: boolean
}

/** Creates the owner of a server's connections, before the server listens. */
export function createCallerConnections (options: CallerConnectionsOptions): CallerConnections {
  const { server, clock } = options
  const connections = new Map<Socket, Connection>()
  const abortedAnswers = new WeakMap<ServerResponse, AnswerEnd>()
  const deliveredAnswers = new WeakSet<ServerResponse>()
  let acceptedCount = 0
  /** Monotonic time at which a request was taken or an answer delivered last, or the wait for quiet began. */
  let lastActiveAtMs = clock.monotonicMs()

  server.on('connection', socket => {
    const connection: Connection = { socket, open: new Map(), isLast: false, hasEnded: false }
    connections.set(socket, connection)
    acceptedCount += 1
    socket.on('close', () => {
      connections.delete(socket)
      for (const response of [...connection.open.keys()]) closeRequest(connection, response)
    })
    // Node.js calls this after the last answer of a connection.
    socket.destroySoon = () => endConnection(connection)
  })

  /** Ends this side after what was written, and reads until the caller has ended its side. */
  function endConnection (connection: Connection): void {
    if (connection.hasEnded) return
    connection.isLast = true
    connection.hasEnded = true
    const { socket } = connection
    socket.end(() => {
      const timer = setTimeout(() => socket.destroy(), lingerMs)
      socket.on('close', () => clearTimeout(timer))
    })
  }

  function endIfDelivered (connection: Connection): void {
    // A request that isn't complete is never answered once its bytes can't be parsed.
    const hasOpen = [...connection.open.values()].some(({ request }) => request.complete)
    if (connection.isLast && !hasOpen) endConnection(connection)
  }

  function take (request: IncomingMessage, response: ServerResponse): boolean {
    const connection = connections.get(request.socket)
    if (connection === undefined || connection.isLast) {
      options.onLateRequest(request)
      request.resume()
      return false
    }
    connection.open.set(response, { request, listeners: [] })
    lastActiveAtMs = clock.monotonicMs()
    // Node.js also emits this when the connection is closed while bytes of the answer wait.
    response.on('finish', () => { if (!connection.socket.destroyed) deliveredAnswers.add(response) })
    response.on('close', () => closeRequest(connection, response))
    announceEnd(connection, response)
    return true
  }

  function closeRequest (connection: Connection, response: ServerResponse): void {
    const closed = connection.open.get(response)
    if (closed === undefined) return
    connection.open.delete(response)
    lastActiveAtMs = clock.monotonicMs()
    for (const listener of closed.listeners) listener(answerEndOf(response))
    if (connection.isLast) endIfDelivered(connection)
  }

  function answerEndOf (response: ServerResponse): AnswerEnd | undefined {
    if (deliveredAnswers.has(response)) return undefined
    return abortedAnswers.get(response) ?? { reason: 'caller-closed', waitingBytes: response.writableLength }
  }

  /** Lets the head of the answer say that the connection ends, if it is the last one. */
  function announceEnd (connection: Connection, response: ServerResponse): void {
    const writeHead = response.writeHead.bind(response) as (...parameters: unknown[]) => ServerResponse
    response.writeHead = (...parameters: unknown[]) => {
      // An earlier answer must not say so: the requests behind it were taken, too.
      const isNewest = [...connection.open.keys()].at(-1) === response
      if (isNewest && (connection.isLast || options.isDraining())) response.setHeader('connection', 'close')
      writeHead(...parameters)
      const saysClose = !response.shouldKeepAlive || String(response.getHeader('connection')).toLowerCase() === 'close'
      if (saysClose) connection.isLast = true
      return response
    }
  }

  server.on('timeout', async socket => {
    const connection = connections.get(socket)
    const { bytesRead } = socket
    // Timers run before bytes that have arrived meanwhile are read.
    await setImmediate()
    const isIdle = connection?.open.size === 0 && socket.bytesRead === bytesRead
    if (isIdle) endConnection(connection)
  })

  server.on('clientError', (error: NodeJS.ErrnoException, stream) => {
    const socket = stream as Socket
    const connection = connections.get(socket)
    if (connection === undefined || !socket.writable || error.code === 'ECONNRESET') {
      socket.destroy()
      return
    }
    if (connection.isLast) return
    connection.isLast = true
    const canAnswer = [...connection.open].every(([response, { request }]) => !request.complete && !response.headersSent)
    if (canAnswer) socket.write(options.onParserError(error))
    endIfDelivered(connection)
  })

  function closeConnection (connection: Connection): void {
    const { socket, open } = connection
    if (open.size === 0) return endConnection(connection)
    for (const response of open.keys()) {
      abortedAnswers.set(response, { reason: 'stop-deadline', waitingBytes: response.writableLength })
      cutAnswer(response)
    }
    socket.destroy()
  }

  /** The event loop accepts one connection in each turn; those that wait when the listener is closed are reset, unread. */
  async function acceptWaiting (): Promise<void> {
    for (let turns = 0, quiet = 0; turns < maxTurns && quiet < quietTurns; turns += 1) {
      const before = acceptedCount
      await setImmediate()
      quiet = acceptedCount === before ? quiet + 1 : 0
    }
  }

  const openRequestCount = (): number => [...connections.values()].reduce((sum, { open }) => sum + open.size, 0)

  /** Whether no answer is open, and none may still be on its way to a caller that hasn't ended its side. */
  function isQuiet (): boolean {
    return [...connections.values()].every(({ open, hasEnded }) => open.size === 0 && !hasEnded)
  }

  async function pollUntil (condition: () => boolean, deadlineAtMs: number): Promise<void> {
    while (!condition() && clock.monotonicMs() < deadlineAtMs) await clock.sleep(pollIntervalMs)
  }

  return {
    take,
    openRequestCount,
    onAnswerClosed: (response, listener) => {
      const open = connections.get(response.req.socket)?.open.get(response)
      if (open === undefined) listener(answerEndOf(response))
      else open.listeners.push(listener)
    },
    stopListening: async () => {
      await acceptWaiting()
      // The close method of an HTTP server also closes connections that only look idle to it.
      NetServer.prototype.close.call(server)
    },
    whenQuiet: (quietMs, deadlineAtMs) => {
      lastActiveAtMs = clock.monotonicMs()
      return pollUntil(() => connections.size === 0 || (isQuiet() && clock.monotonicMs() >= lastActiveAtMs + quietMs), deadlineAtMs)
    },
    whenAnswered: deadlineAtMs => pollUntil(() => openRequestCount() === 0, deadlineAtMs),
    close: () => {
      for (const connection of connections.values()) closeConnection(connection)
    }
  }
}
