/**
 * The connection that this node opened to one peer: one task from connecting to
 * closing. Requests learn truthfully whether the peer can have got them.
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

/** One opened connection. */
export interface Link {
  /** Sends a one-way message; false when it was dropped. */
  send: (kind: string, body: unknown) => boolean
  request: (kind: string, body: unknown, deadlineAtMs: number) => Promise<Result<unknown, PeerError>>
  /** Whether a new message may go on it: not closed, and heard from within the heartbeat's time. */
  isFresh: () => boolean
  close: () => void
  /** Resolves when the connection has ended, with the reason. */
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

/** Opens a connection; messages may be given to it at once and leave when it is open. */
export function openLink (options: LinkOptions): Link {
  const { to, bounds, clock } = options
  const socket = connect({ host: to.host, port: to.port })
  const stop = new AbortController()
  const pending = new Map<number, PendingRequest>()
  let waiting: OutgoingFrame[] = []
  let waitingBytes = 0
  let channel: Channel | undefined
  let state: LinkState = 'opening'
  let nextId = 1
  let heardAtMs = clock.monotonicMs()
  let usedAtMs = clock.monotonicMs()
  let endCause: PeerError | undefined
  let suspected = false

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
    usedAtMs = clock.monotonicMs()
    if (channel !== undefined && state === 'open') return channel.write(frame)
    if (waiting.length > 0 && waitingBytes + frame.bytes.length > bounds.maxQueuedBytes) return false
    waiting.push(frame)
    waitingBytes += frame.bytes.length
    return true
  }

  function withdraw (frame: OutgoingFrame): void {
    waiting = waiting.filter(other => other !== frame)
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

  async function limitOpening (): Promise<void> {
    await clock.sleep(bounds.openTimeoutMs, stop.signal)
    if (state === 'opening') end(unreachable(`the connection wasn't open within ${bounds.openTimeoutMs} ms`))
  }

  async function keepAlive (opened: Channel): Promise<void> {
    let checkedAtMs = clock.monotonicMs()
    while (state === 'open') {
      await clock.sleep(bounds.heartbeatIntervalMs, stop.signal)
      const nowMs = clock.monotonicMs()
      const wasPaused = nowMs - checkedAtMs > bounds.maxSilenceMs
      checkedAtMs = nowMs
      if (pending.size === 0 && nowMs - usedAtMs >= bounds.idleTimeoutMs) return end(unreachable('the connection was idle'))
      // After a pause of this process, what the peer sent meanwhile is still unread.
      if (!wasPaused && nowMs - heardAtMs >= bounds.maxSilenceMs) return end(silent(heardAtMs))
      if (nowMs - heardAtMs >= bounds.heartbeatIntervalMs / 2) opened.write({ bytes: pingBytes, written: false })
    }
  }

  async function run (): Promise<PeerError> {
    limitOpening()
    try {
      const opened = await open()
      if (state === 'ended') return endCause!
      state = 'open'
      heardAtMs = clock.monotonicMs()
      for (const frame of waiting) opened.write(frame)
      waiting = []
      keepAlive(opened)
      for (let message = await opened.read(); message !== undefined; message = await opened.read()) {
        heardAtMs = clock.monotonicMs()
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
    if (frame.bytes.length > bounds.maxFrameBytes) return Promise.resolve(err(unreachable(`the message is over ${bounds.maxFrameBytes} bytes`)))
    return new Promise(resolve => {
      const timer = new AbortController()
      function settle (result: Result<unknown, PeerError>): void {
        if (!pending.delete(id)) return
        timer.abort()
        usedAtMs = clock.monotonicMs()
        resolve(result)
      }
      async function limit (): Promise<void> {
        await clock.sleep(deadlineAtMs - clock.wallMs(), timer.signal)
        if (!pending.has(id)) return
        withdraw(frame)
        if (heardAtMs < sentAtMs) suspected = true
        settle(err(frame.written ? silent(sentAtMs) : unreachable('the deadline passed before the message could be sent')))
      }
      pending.set(id, { frame, sentAtMs, settle })
      if (!enqueue(frame)) return settle(err(endCause ?? unreachable('the send queue is full')))
      limit()
    })
  }

  function isFresh (): boolean {
    if (state === 'opening') return true
    const unheardMs = clock.monotonicMs() - heardAtMs
    return state === 'open' && !suspected && unheardMs < 2 * bounds.heartbeatIntervalMs
  }

  return {
    send: (kind, body) => {
      const bytes = encodeFrame([messageType.send, kind, body])
      return bytes.length <= bounds.maxFrameBytes && enqueue({ bytes, written: false })
    },
    request,
    isFresh,
    close: () => end(unreachable('this node closed the connection')),
    ended: run()
  }
}
