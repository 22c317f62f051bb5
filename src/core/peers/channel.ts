/** A TCP connection as a stream of values, with a bounded send queue. */
import type { Socket } from 'node:net'
import { createFrameReader } from './codec.ts'

/** A frame in the send queue. `written` becomes true when its first byte may have been sent. */
export interface OutgoingFrame {
  bytes: Buffer
  written: boolean
}

/** A connection in both directions. */
export interface Channel {
  /** The next value from the peer; undefined at the end of the stream. Rejects if the connection breaks. */
  read: () => Promise<unknown>
  /** Queues a frame; false if the queue is full or the connection is closed. */
  write: (frame: OutgoingFrame) => boolean
  /** Removes a frame from the queue; false if it may have been sent. */
  withdraw: (frame: OutgoingFrame) => boolean
  setMaxFrameBytes: (maxBytes: number) => void
  /** Number of bytes in the send queue. */
  queuedBytes: () => number
  close: () => void
}

/** Options of a channel. */
export interface ChannelOptions {
  socket: Socket
  peer: string
  maxFrameBytes: number
  maxQueuedBytes: number
  onReceived: (bytes: number) => void
  onWritten: (bytes: number) => void
}

/** Number of bytes that the socket may buffer; further frames stay in the queue, from which they can be withdrawn. */
const socketBufferBytes = 256 * 1024

/** Creates a channel for a connected socket. */
export function createChannel (options: ChannelOptions): Channel {
  const { socket, maxQueuedBytes, onReceived, onWritten } = options
  const reader = createFrameReader(options.peer, options.maxFrameBytes)
  let queue: OutgoingFrame[] = []
  let queuedBytes = 0
  let closed = false

  async function * readValues (): AsyncGenerator<unknown> {
    for await (const chunk of socket) {
      onReceived((chunk as Buffer).length)
      yield * reader.push(chunk as Buffer)
    }
  }

  const values = readValues()

  function flush (): void {
    while (socket.writableLength < socketBufferBytes) {
      const frame = closed ? undefined : queue.shift()
      if (frame === undefined) return
      queuedBytes -= frame.bytes.length
      frame.written = true
      socket.write(frame.bytes)
      onWritten(frame.bytes.length)
    }
  }

  function write (frame: OutgoingFrame): boolean {
    if (closed) return false
    // An empty queue accepts a frame of any size, so that the queue limit never rejects a valid frame.
    if (queue.length > 0 && queuedBytes + frame.bytes.length > maxQueuedBytes) return false
    queue.push(frame)
    queuedBytes += frame.bytes.length
    flush()
    return true
  }

  function withdraw (frame: OutgoingFrame): boolean {
    if (frame.written) return false
    if (queue.includes(frame)) queuedBytes -= frame.bytes.length
    queue = queue.filter(other => other !== frame)
    return true
  }

  function close (): void {
    closed = true
    socket.destroy()
  }

  socket.setNoDelay(true)
  socket.on('drain', flush)
  socket.on('error', close)
  socket.on('close', () => { closed = true })

  return {
    read: async () => {
      const next = await values.next()
      return next.done === true ? undefined : next.value
    },
    write,
    withdraw,
    setMaxFrameBytes: reader.setMaxFrameBytes,
    queuedBytes: () => queuedBytes,
    close
  }
}
