/** Incoming connections of peers, each run by one task from authentication to closing. */
import { createServer } from 'node:net'
import { once } from 'node:events'
import { createChannel } from './channel.ts'
import { encodeFrame, messageType } from './codec.ts'
import { authenticateAsListener, maxHandshakeFrameBytes } from './handshake.ts'
import { isErrorOf } from '../errors/index.ts'
import type { Socket } from 'node:net'
import type { Clock } from '../clock/index.ts'
import type { NodeId } from '../ids/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { PeerBounds } from './bounds.ts'
import type { Channel } from './channel.ts'
import type { WireMessage } from './codec.ts'
import type { HandshakeOptions } from './handshake.ts'
import type { PeerHandler } from './types.ts'

/** Options of the listening side. */
export interface PeerListenerOptions {
  host: string
  /** Port to listen at; 0 chooses a free one. */
  port: number
  handshake: HandshakeOptions
  bounds: PeerBounds
  clock: Clock
  log: Log
  metrics: Metrics
  handlerOf: (kind: string) => PeerHandler | undefined
  onReceived: (bytes: number) => void
  onWritten: (bytes: number) => void
}

/** The listening side of a peer network. */
export interface PeerListener {
  port: number
  close: () => Promise<void>
}

interface Connection {
  from: NodeId
  channel: Channel
  lastReceivedAtMs: number
  inFlight: number
}

const pongBytes = encodeFrame([messageType.pong])

/** Listens for peers. Rejects if the address can't be bound. */
export async function createPeerListener (options: PeerListenerOptions): Promise<PeerListener> {
  const { bounds, clock, log, metrics } = options
  const stop = new AbortController()
  const sockets = new Set<Socket>()
  let unauthenticated = 0

  function respond (connection: Connection, value: WireMessage): void {
    const bytes = encodeFrame(value)
    const isQueued = bytes.length <= bounds.maxFrameBytes && connection.channel.write({ bytes, written: false })
    if (isQueued) return
    // The response can't be sent; closing the connection notifies the requester immediately.
    metrics.count('peer_dropped_total', { reason: 'answer-queue-full' })
    connection.channel.close()
  }

  async function handleRequest (connection: Connection, message: Extract<WireMessage, [3, ...unknown[]]>): Promise<void> {
    const [, id, kind, deadlineAtMs, body] = message
    const handler = options.handlerOf(kind)
    if (handler === undefined) return respond(connection, [messageType.failure, id, `it has no handler for messages of kind "${kind}"`, false])
    if (connection.inFlight >= bounds.maxInFlight) return respond(connection, [messageType.failure, id, 'it is handling too many requests', false])
    if (deadlineAtMs <= clock.wallMs()) {
      metrics.count('peer_dropped_total', { reason: 'deadline-past' })
      return respond(connection, [messageType.failure, id, 'the deadline had already passed', false])
    }
    connection.inFlight += 1
    try {
      respond(connection, [messageType.answer, id, await handler(connection.from, body)])
    } catch (thrown) {
      const cause = thrown instanceof Error ? thrown.message : String(thrown)
      log('peerHandlerFailed', { peer: connection.from, kind, cause })
      respond(connection, [messageType.failure, id, cause, true])
    } finally {
      connection.inFlight -= 1
    }
  }

  async function handleSend (connection: Connection, kind: string, body: unknown): Promise<void> {
    const handler = options.handlerOf(kind)
    if (handler === undefined) return metrics.count('peer_dropped_total', { reason: 'no-handler' })
    try {
      await handler(connection.from, body)
    } catch (thrown) {
      log('peerHandlerFailed', { peer: connection.from, kind, cause: String(thrown) })
    }
  }

  function receive (connection: Connection, message: WireMessage): void {
    if (message[0] === messageType.ping) connection.channel.write({ bytes: pongBytes, written: false })
    if (message[0] === messageType.send) handleSend(connection, message[1], message[2])
    if (message[0] === messageType.request) handleRequest(connection, message)
  }

  async function closeWhenSilent (connection: Connection, ended: AbortSignal): Promise<void> {
    while (!ended.aborted) {
      await clock.sleep(bounds.maxSilenceMs, ended)
      if (clock.monotonicMs() - connection.lastReceivedAtMs >= 2 * bounds.maxSilenceMs) return connection.channel.close()
    }
  }

  async function authenticate (channel: Channel): Promise<NodeId> {
    const authenticated = new AbortController()
    unauthenticated += 1
    clock.sleep(bounds.openTimeoutMs, authenticated.signal).then(() => {
      if (!authenticated.signal.aborted) channel.close()
    })
    try {
      return await authenticateAsListener(channel, options.handshake)
    } finally {
      unauthenticated -= 1
      authenticated.abort()
    }
  }

  async function serve (socket: Socket): Promise<void> {
    const ended = new AbortController()
    const channel = createChannel({
      socket,
      peer: `${socket.remoteAddress}:${socket.remotePort}`,
      maxFrameBytes: maxHandshakeFrameBytes,
      maxQueuedBytes: bounds.maxQueuedBytes,
      onReceived: options.onReceived,
      onWritten: options.onWritten
    })
    try {
      const from = await authenticate(channel)
      channel.setMaxFrameBytes(bounds.maxFrameBytes)
      const connection = { from, channel, lastReceivedAtMs: clock.monotonicMs(), inFlight: 0 }
      closeWhenSilent(connection, ended.signal)
      for (let message = await channel.read(); message !== undefined; message = await channel.read()) {
        connection.lastReceivedAtMs = clock.monotonicMs()
        receive(connection, message as WireMessage)
      }
    } catch (thrown) {
      if (isErrorOf(thrown, 'PeerRejected')) {
        metrics.count('peer_rejected_total')
        log('peerRejected', { cause: thrown.params.cause, peer: thrown.params.peer })
      }
    } finally {
      ended.abort()
      // `destroySoon` flushes buffered data first, such as the challenge to a rejected dialer.
      socket.destroySoon()
    }
  }

  const server = createServer(socket => {
    if (stop.signal.aborted || unauthenticated >= bounds.maxUnauthenticated) {
      metrics.count('peer_dropped_total', { reason: 'too-many-unproven' })
      socket.destroy()
      return
    }
    sockets.add(socket)
    socket.once('close', () => sockets.delete(socket))
    serve(socket)
  })
  server.listen({ host: options.host, port: options.port })
  await once(server, 'listening')
  const bound = server.address()

  return {
    port: typeof bound === 'object' && bound !== null ? bound.port : options.port,
    close: async () => {
      stop.abort()
      for (const socket of sockets) socket.destroy()
      await new Promise<void>(resolve => server.close(() => resolve()))
    }
  }
}
