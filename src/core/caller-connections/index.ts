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
/** Maximum pipelined requests that wait on one connection; bounds the node's memory. */
const maxWaiting = 64
/** Turns of the event loop without a new connection after which none waits to be accepted, and the request of the last one has been read if it had arrived. */
const quietTurns = 2
/** Turns of the event loop in which bytes that have arrived are read, and what follows from them is handled. */
const readTurns = 2

interface TakenRequest {
  request: IncomingMessage
  response: ServerResponse
  handle: () => void
  listeners: AnswerClosedListener[]
}

interface Connection {
  socket: Socket
  /** The request in progress, until its answer is delivered. */
  current: TakenRequest | undefined
  /** Requests that were read behind it. They start in turn, so that none runs whose answer can't be sent. */
  waiting: TakenRequest[]
  /** Whether the bytes that follow can't be parsed, so that no further request comes. */
  isBroken: boolean
  /** Whether as many requests wait as may; the connection ends after their answers. */
  isFull: boolean
  /** Whether an answer says that the connection ends after it. */
  isLast: boolean
  /** Whether this side has ended. */
  hasEnded: boolean
}

const methodNotAllowed = 'HTTP/1.1 405 Method Not Allowed\r\nallow: GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS\r\ncontent-length: 0\r\nconnection: close\r\n\r\n'

function isHostMissing ({ headers, httpVersion }: IncomingMessage): boolean {
  return httpVersion === '1.1' && headers.host === undefined
}

function answerBadRequest (response: ServerResponse): void {
  response.statusCode = 400
  response.setHeader('content-length', 0)
  response.setHeader('connection', 'close')
  response.end()
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
    const connection: Connection = { socket, current: undefined, waiting: [], isBroken: false, isFull: false, isLast: false, hasEnded: false }
    connections.set(socket, connection)
    acceptedCount += 1
    socket.on('close', () => {
      connections.delete(socket)
      const waiting = connection.waiting.splice(0)
      // Without an end or an error of the caller's side, it is this side that aborted the connection.
      if (!socket.readableEnded && !socket.errored) waiting.forEach(discard)
      if (connection.current !== undefined) closeRequest(connection, connection.current)
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
    const { current, waiting, isBroken, isFull, isLast } = connection
    // A request that isn't complete is never answered once its bytes can't be parsed.
    const isAnswerDue = current !== undefined && (current.request.complete || !isBroken)
    if ((isLast || isBroken || isFull) && !isAnswerDue && waiting.length === 0) endConnection(connection)
  }

  function take (request: IncomingMessage, response: ServerResponse, handle: () => void): void {
    const taken: TakenRequest = { request, response, handle, listeners: [] }
    const connection = connections.get(request.socket)
    if (connection === undefined || connection.isLast || connection.isFull) return discard(taken)
    if (connection.current === undefined) return start(connection, taken)
    connection.waiting.push(taken)
    if (connection.waiting.length === maxWaiting) connection.isFull = true
  }

  /** Leaves a request without an answer, and unhandled. */
  function discard ({ request }: TakenRequest): void {
    options.onLateRequest(request)
    request.resume()
  }

  function start (connection: Connection, taken: TakenRequest): void {
    const { response } = taken
    connection.current = taken
    lastActiveAtMs = clock.monotonicMs()
    // Node.js also emits this when the connection is closed while bytes of the answer wait.
    response.on('finish', () => { if (!connection.socket.destroyed) deliveredAnswers.add(response) })
    response.on('close', () => closeRequest(connection, taken))
    announceEnd(connection, taken)
    if (isHostMissing(taken.request)) answerBadRequest(response)
    else taken.handle()
  }

  function closeRequest (connection: Connection, closed: TakenRequest): void {
    if (connection.current !== closed) return
    connection.current = undefined
    lastActiveAtMs = clock.monotonicMs()
    for (const listener of closed.listeners) listener(answerEndOf(closed.response))
    if (connection.isLast) connection.waiting.splice(0).forEach(discard)
    const next = connection.waiting.shift()
    if (next === undefined) endIfDelivered(connection)
    else start(connection, next)
  }

  function answerEndOf (response: ServerResponse): AnswerEnd | undefined {
    if (deliveredAnswers.has(response)) return undefined
    return abortedAnswers.get(response) ?? { reason: 'caller-closed', waitingBytes: response.writableLength }
  }

  /** Lets the head of the answer say that the connection ends, if no other answer has to follow. */
  function announceEnd (connection: Connection, { request, response }: TakenRequest): void {
    const writeHead = response.writeHead.bind(response) as (...parameters: unknown[]) => ServerResponse
    response.writeHead = (...parameters: unknown[]) => {
      // Node.js reads no further request after one that asks for an upgrade.
      const mustEnd = connection.isBroken || connection.isFull || options.isDraining() || request.headers.upgrade !== undefined
      if (mustEnd && connection.waiting.length === 0) response.setHeader('connection', 'close')
      writeHead(...parameters)
      const saysClose = !response.shouldKeepAlive || String(response.getHeader('connection')).toLowerCase() === 'close'
      if (saysClose) connection.isLast = true
      return response
    }
  }

  // Node.js would answer an expectation that it doesn't know by itself, out of turn.
  server.on('checkExpectation', (request, response) => server.emit('request', request, response))

  server.on('connect', (_request, stream) => {
    const socket = stream as Socket
    const connection = connections.get(socket)
    // Node.js has given the connection up by now.
    socket.on('error', () => socket.destroy())
    socket.on('drain', () => connection?.current?.response.emit('drain'))
    socket.resume()
    if (connection === undefined) return socket.destroy()
    connection.isBroken = true
    if (connection.current === undefined) socket.write(methodNotAllowed)
    endIfDelivered(connection)
  })

  server.on('timeout', async socket => {
    const connection = connections.get(socket)
    const { bytesRead } = socket
    // Timers run before bytes that have arrived meanwhile are read.
    await setImmediate()
    const isIdle = connection !== undefined && connection.current === undefined && socket.bytesRead === bytesRead
    if (isIdle) endConnection(connection)
  })

  server.on('clientError', (error: NodeJS.ErrnoException, stream) => {
    const socket = stream as Socket
    const connection = connections.get(socket)
    if (connection === undefined || !socket.writable || error.code === 'ECONNRESET') {
      socket.destroy()
      return
    }
    if (connection.isLast || connection.isBroken) return
    connection.isBroken = true
    // The request whose body is broken off can only be answered if no other answer comes before it.
    const incomplete = connection.waiting.findIndex(({ request }) => !request.complete)
    if (incomplete !== -1) connection.waiting.splice(incomplete).forEach(discard)
    const { current } = connection
    const canAnswer = current === undefined || (!current.request.complete && !current.response.headersSent)
    if (canAnswer) socket.write(options.onParserError(error))
    endIfDelivered(connection)
  })

  function closeConnection (connection: Connection): void {
    const { socket, current, waiting } = connection
    waiting.splice(0).forEach(discard)
    if (current === undefined) return endConnection(connection)
    abortedAnswers.set(current.response, { reason: 'stop-deadline', waitingBytes: current.response.writableLength })
    cutAnswer(current.response)
    socket.destroy()
  }

  /** The event loop accepts one connection in each turn; those that wait when the listener is closed are reset, unread. New ones may come without end, so `deadlineAtMs` bounds the wait. */
  async function acceptWaiting (deadlineAtMs: number): Promise<void> {
    for (let turns = 0, quiet = 0; quiet < quietTurns && (turns < quietTurns || clock.monotonicMs() < deadlineAtMs); turns += 1) {
      const before = acceptedCount
      await setImmediate()
      quiet = acceptedCount === before ? quiet + 1 : 0
    }
  }

  async function whenRead (): Promise<void> {
    for (let turns = 0; turns < readTurns; turns += 1) await setImmediate()
  }

  const openRequestCount = (): number => [...connections.values()].filter(({ current }) => current !== undefined).length

  /** Whether no answer is open, and none may still be on its way to a caller that hasn't ended its side. */
  function isQuiet (): boolean {
    return [...connections.values()].every(({ current, hasEnded }) => current === undefined && !hasEnded)
  }

  async function pollUntil (condition: () => boolean, deadlineAtMs: number): Promise<void> {
    while (!condition() && clock.monotonicMs() < deadlineAtMs) await clock.sleep(pollIntervalMs)
  }

  return {
    take,
    openRequestCount,
    onAnswerClosed: (response, listener) => {
      const current = connections.get(response.req.socket)?.current
      if (current?.response === response) current.listeners.push(listener)
      else listener(answerEndOf(response))
    },
    stopListening: async deadlineAtMs => {
      await acceptWaiting(deadlineAtMs)
      // The close method of an HTTP server also closes connections that only look idle to it.
      NetServer.prototype.close.call(server)
    },
    whenQuiet: (quietMs, deadlineAtMs) => {
      lastActiveAtMs = clock.monotonicMs()
      return pollUntil(() => connections.size === 0 || (isQuiet() && clock.monotonicMs() >= lastActiveAtMs + quietMs), deadlineAtMs)
    },
    whenAnswered: async deadlineAtMs => {
      await pollUntil(() => openRequestCount() === 0, deadlineAtMs)
      if (openRequestCount() > 0) await whenRead()
    },
    whenRead,
    close: () => {
      for (const connection of connections.values()) closeConnection(connection)
    }
  }
}
