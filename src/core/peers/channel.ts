/** One TCP connection as a stream of values, with a bounded queue of what waits to be written. */
import type { Socket } from 'node:net'
import { createFrameReader } from './codec.ts'

/** A frame that waits for its turn. `written` becomes true once its first byte may have left. */
export interface OutgoingFrame {
  bytes: Buffer
  written: boolean
}

/** Both ways of one connection. */
export interface Channel {
  /** The next value of the peer; undefined at the end of the stream. Rejects when the connection breaks. */
  read: () => Promise<unknown>
  /** Queues a frame; false when the queue is full or the connection is gone. */
  write: (frame: OutgoingFrame) => boolean
  /** Takes a frame out of the queue again; false when it may have left. */
  withdraw: (frame: OutgoingFrame) => boolean
  setMaxFrameBytes: (maxBytes: number) => void
  /** Bytes that wait in the queue. */
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

/** Bytes that the socket itself may hold before frames wait in the queue, where they can be withdrawn. */
const socketBufferBytes = 256 * 1024

/** Wraps a connected socket. */
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
    // A single frame is taken whatever its size, so that no bound of the queue forbids a legal frame.
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
