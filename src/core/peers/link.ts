/**
 * An outgoing connection to one peer, run by one task from connecting to closing. The
 * error of a failed request states whether the peer may have received it.
 */
import { connect } from 'node:net'
import { err, ok } from 'true-myth/result'
import { createError, isErrorOf } from '../errors/index.ts'
import { createChannel } from './channel.ts'
import { encodeFrame, messageType } from './codec.ts'
import { authenticateAsDialer, maxHandshakeFrameBytes } from './handshake.ts'
import type { Result } from 'true-myth'
import type { CyclamenError } from '../errors/index.ts'
import type { Clock } from '../clock/index.ts'
import type { PeerBounds } from './bounds.ts'
import type { Channel, OutgoingFrame } from './channel.ts'
import type { WireMessage } from './codec.ts'
import type { HandshakeOptions } from './handshake.ts'
import type { PeerAddress, PeerError } from './types.ts'

/** An outgoing connection. */
export interface Link {
  /** Sends a one-way message; false if it was dropped. */
  send: (kind: string, body: unknown) => boolean
  request: (kind: string, body: unknown, deadlineAtMs: number) => Promise<Result<unknown, PeerError>>
  /** Whether new messages may use the link: it isn't closed, and something was received within two heartbeat intervals. */
  isUsable: () => boolean
  close: () => void
  /** Resolves with the reason when the connection has ended. */
  ended: Promise<PeerError>
}

/** Options of a link. */
export interface LinkOptions {
  to: PeerAddress
  handshake: HandshakeOptions
  bounds: PeerBounds
  clock: Clock
  onReceived: (bytes: number) => void
  onWritten: (bytes: number) => void
}

interface PendingRequest {
  frame: OutgoingFrame
  sentAtMs: number
  settle: (result: Result<unknown, PeerError>) => void
}

type LinkState = 'opening' | 'open' | 'ended'

const pingBytes = encodeFrame([messageType.ping])

function toPeerError (thrown: unknown, peer: string): PeerError {
  if (isErrorOf(thrown, 'PeerRejected') || isErrorOf(thrown, 'PeerSilent') || isErrorOf(thrown, 'PeerUnreachable')) return thrown
  return createError('PeerUnreachable', { peer, cause: thrown instanceof Error ? thrown.message : String(thrown) })
}

/** Opens a connection. Messages are accepted immediately and sent once the connection is open. */
export function openLink (options: LinkOptions): Link {
  const { to, bounds, clock } = options
  const socket = connect({ host: to.host, port: to.port })
  const stop = new AbortController()
  const pending = new Map<number, PendingRequest>()
  let unsentFrames: OutgoingFrame[] = []
  let unsentBytes = 0
  let channel: Channel | undefined
  let state: LinkState = 'opening'
  let nextId = 1
  let lastReceivedAtMs = clock.monotonicMs()
  let lastUsedAtMs = clock.monotonicMs()
  let endCause: PeerError | undefined
  let isSuspect = false

  function unreachable (cause: string): CyclamenError<'PeerUnreachable'> {
    return createError('PeerUnreachable', { peer: to.node, cause })
  }

  function silent (sinceMs: number): CyclamenError<'PeerSilent'> {
    return createError('PeerSilent', { peer: to.node, silentMs: Math.round(clock.monotonicMs() - sinceMs) })
  }

  function end (cause: PeerError): void {
    if (state === 'ended') return
    state = 'ended'
    endCause = cause
    stop.abort()
    channel?.close()
    socket.destroy()
    for (const request of [...pending.values()]) {
      request.settle(err(request.frame.written ? silent(request.sentAtMs) : cause))
    }
  }

  function enqueue (frame: OutgoingFrame): boolean {
    if (state === 'ended') return false
    lastUsedAtMs = clock.monotonicMs()
    if (channel !== undefined && state === 'open') return channel.write(frame)
    if (unsentFrames.length > 0 && unsentBytes + frame.bytes.length > bounds.maxQueuedBytes) return false
    unsentFrames.push(frame)
    unsentBytes += frame.bytes.length
    return true
  }

  function withdraw (frame: OutgoingFrame): void {
    unsentFrames = unsentFrames.filter(other => other !== frame)
    channel?.withdraw(frame)
  }

  function receive (message: WireMessage): void {
    if (message[0] === messageType.answer) pending.get(message[1])?.settle(ok(message[2]))
    if (message[0] === messageType.failure) {
      const [, id, cause, handled] = message
      const error = handled ? createError('PeerFailed', { peer: to.node, cause }) : unreachable(cause)
      pending.get(id)?.settle(err(error))
    }
  }

  async function open (): Promise<Channel> {
    await new Promise<void>((resolve, reject) => {
      socket.once('connect', resolve)
      socket.once('error', reject)
      socket.once('close', () => reject(endCause ?? unreachable('the connection was closed')))
    })
    const opened = createChannel({
      socket,
      peer: to.node,
      maxFrameBytes: maxHandshakeFrameBytes,
      maxQueuedBytes: bounds.maxQueuedBytes,
      onReceived: options.onReceived,
      onWritten: options.onWritten
    })
    channel = opened
    await authenticateAsDialer(opened, options.handshake, to.node)
    opened.setMaxFrameBytes(bounds.maxFrameBytes)
    return opened
  }

  async function enforceOpenTimeout (): Promise<void> {
    await clock.sleep(bounds.openTimeoutMs, stop.signal)
    if (state === 'opening') end(unreachable(`the connection was not established within ${bounds.openTimeoutMs} ms`))
  }

  async function keepAlive (opened: Channel): Promise<void> {
    let checkedAtMs = clock.monotonicMs()
    while (state === 'open') {
      await clock.sleep(bounds.heartbeatIntervalMs, stop.signal)
      const nowMs = clock.monotonicMs()
      const wasPaused = nowMs - checkedAtMs > bounds.maxSilenceMs
      checkedAtMs = nowMs
      if (pending.size === 0 && nowMs - lastUsedAtMs >= bounds.idleTimeoutMs) return end(unreachable('the connection was idle'))
      // After a pause of this process, data that the peer sent in the meantime is still unread.
      if (!wasPaused && nowMs - lastReceivedAtMs >= bounds.maxSilenceMs) return end(silent(lastReceivedAtMs))
      if (nowMs - lastReceivedAtMs >= bounds.heartbeatIntervalMs / 2) opened.write({ bytes: pingBytes, written: false })
    }
  }

  async function run (): Promise<PeerError> {
    enforceOpenTimeout()
    try {
      const opened = await open()
      if (state === 'ended') return endCause!
      state = 'open'
      lastReceivedAtMs = clock.monotonicMs()
      for (const frame of unsentFrames) opened.write(frame)
      unsentFrames = []
      keepAlive(opened)
      for (let message = await opened.read(); message !== undefined; message = await opened.read()) {
        lastReceivedAtMs = clock.monotonicMs()
        receive(message as WireMessage)
      }
      end(unreachable('the peer closed the connection'))
    } catch (thrown) {
      end(toPeerError(thrown, to.node))
    }
    return endCause!
  }

  function request (kind: string, body: unknown, deadlineAtMs: number): Promise<Result<unknown, PeerError>> {
    const id = nextId++
    const frame = { bytes: encodeFrame([messageType.request, id, kind, deadlineAtMs, body]), written: false }
    const sentAtMs = clock.monotonicMs()
    if (frame.bytes.length > bounds.maxFrameBytes) return Promise.resolve(err(unreachable(`the message exceeds the limit of ${bounds.maxFrameBytes} bytes`)))
    return new Promise(resolve => {
      const timer = new AbortController()
      function settle (result: Result<unknown, PeerError>): void {
        if (!pending.delete(id)) return
        timer.abort()
        lastUsedAtMs = clock.monotonicMs()
        resolve(result)
      }
      async function enforceDeadline (): Promise<void> {
        await clock.sleep(deadlineAtMs - clock.wallMs(), timer.signal)
        if (!pending.has(id)) return
        withdraw(frame)
        if (lastReceivedAtMs < sentAtMs) isSuspect = true
        settle(err(frame.written ? silent(sentAtMs) : unreachable('the deadline passed before the message could be sent')))
      }
      pending.set(id, { frame, sentAtMs, settle })
      if (!enqueue(frame)) return settle(err(endCause ?? unreachable('the send queue is full')))
      enforceDeadline()
    })
  }

  function isUsable (): boolean {
    if (state === 'opening') return true
    const silentForMs = clock.monotonicMs() - lastReceivedAtMs
    return state === 'open' && !isSuspect && silentForMs < 2 * bounds.heartbeatIntervalMs
  }

  return {
    send: (kind, body) => {
      const bytes = encodeFrame([messageType.send, kind, body])
      return bytes.length <= bounds.maxFrameBytes && enqueue({ bytes, written: false })
    },
    request,
    isUsable,
    close: () => end(unreachable('this node closed the connection')),
    ended: run()
  }
}
