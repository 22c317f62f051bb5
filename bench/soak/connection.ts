/** A caller's connection on a plain socket: HTTP/1.1 with control over when each byte is sent and read. */
import { connect } from 'node:net'
import { createSystemClock } from '../../src/core/clock/index.ts'
import type { Socket } from 'node:net'

/** How a request is sent and its answer is read. */
export interface Exchange {
  method: string
  path: string
  headers: Record<string, string>
  /** Parts of the body; more than one are sent as chunks. Undefined without a body. */
  bodyParts?: readonly string[]
  /** Number of parts in which the head is sent. */
  headParts: number
  /** Pause before each further part of the head or the body. */
  partPauseMs: number
  /** Pause after each read, for a caller that reads slowly; 0 for none. */
  readPauseMs: number
  /** Time after which the caller gives up, from the first byte or from the end of the answer before. */
  timeoutMs: number
}

/** How an exchange ended. An answer is complete if its framing says so. */
export interface ExchangeEnd {
  kind: 'complete' | 'cut' | 'no-end'
  /** What ended the connection, unless the answer is complete. */
  cause: string
  status: number | undefined
  headers: Record<string, string>
  body: Buffer
  /** Monotonic times of the first and the last byte of the request; the last one is undefined if it wasn't sent. */
  startedAtMs: number
  sentAtMs: number | undefined
  endedAtMs: number
}

export interface Connection {
  /** Whether requests can be sent: neither side has closed it, and no answer said `Connection: close`. */
  isOpen: () => boolean
  /** Sends a request after the ones before it, whether or not they are answered. */
  exchange: (request: Exchange) => Promise<ExchangeEnd>
  close: () => void
}

type Framing = { kind: 'length', remainingBytes: number } | { kind: 'chunked' } | { kind: 'close' }

/** An answer that is due. */
interface Pending {
  end: ExchangeEnd
  parts: Buffer[]
  framing: Framing | undefined
  readPauseMs: number
  resolve: (end: ExchangeEnd) => void
  timeoutMs: number
  timer?: NodeJS.Timeout
}

const clock = createSystemClock()
const lineEnd = '\r\n'

function formatHead ({ method, path, headers, bodyParts }: Exchange): string {
  const framing = bodyParts === undefined
    ? {}
    : bodyParts.length === 1 ? { 'content-length': String(Buffer.byteLength(bodyParts[0] ?? '')) } : { 'transfer-encoding': 'chunked' }
  const lines = Object.entries({ host: '127.0.0.1', ...headers, ...framing }).map(([name, value]) => `${name}: ${value}`)
  return [`${method} ${path} HTTP/1.1`, ...lines, '', ''].join(lineEnd)
}

function formatParts (request: Exchange): string[] {
  const head = formatHead(request)
  const partLength = Math.ceil(head.length / request.headParts)
  const headParts = Array.from({ length: request.headParts }, (_, index) => head.slice(index * partLength, (index + 1) * partLength))
  const { bodyParts = [] } = request
  const body = bodyParts.length > 1 ? [...bodyParts.map(part => `${Buffer.byteLength(part).toString(16)}${lineEnd}${part}${lineEnd}`), `0${lineEnd}${lineEnd}`] : bodyParts
  return [...headParts, ...body]
}

/** Connects to a loopback port; undefined if the connection is refused. */
export function openConnection (port: number): Promise<Connection | undefined> {
  return new Promise(resolve => {
    const socket = connect({ port, host: '127.0.0.1', noDelay: true })
    const onError = (): void => resolve(undefined)
    socket.once('error', onError)
    socket.once('connect', () => {
      socket.off('error', onError)
      resolve(createConnection(socket))
    })
  })
}

function createConnection (socket: Socket): Connection {
  const due: Pending[] = []
  let received: Buffer = Buffer.alloc(0)
  let isClosing = false
  let sending: Promise<void> = Promise.resolve()
  let errorCode: string | undefined

  function finish (kind: ExchangeEnd['kind'], cause = ''): void {
    const pending = due.shift()
    if (pending === undefined) return
    clearTimeout(pending.timer)
    pending.resolve({ ...pending.end, kind, cause, body: Buffer.concat(pending.parts), endedAtMs: performance.now() })
    awaitNext()
  }

  /** The time of a pipelined request begins when it is the next to be answered. */
  function awaitNext (): void {
    const next = due[0]
    if (next === undefined || next.timer !== undefined) return
    next.timer = setTimeout(() => {
      finishAll('no-end', 'no answer in time')
      socket.destroy()
    }, next.timeoutMs)
  }

  function finishAll (kind: ExchangeEnd['kind'], cause: string): void {
    isClosing = true
    while (due.length > 0) finish(kind, cause)
  }

  /** Reads the head of the next answer; false if it isn't whole yet. */
  function readHead (pending: Pending): boolean {
    const headEnd = received.indexOf(lineEnd + lineEnd)
    if (headEnd === -1) return false
    const [statusLine = '', ...lines] = received.subarray(0, headEnd).toString('latin1').split(lineEnd)
    received = received.subarray(headEnd + 2 * lineEnd.length)
    pending.end.status = Number(statusLine.split(' ')[1])
    pending.end.headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
    const { 'content-length': length, 'transfer-encoding': encoding, connection } = pending.end.headers
    if (connection === 'close') isClosing = true
    if (encoding !== undefined) pending.framing = { kind: 'chunked' }
    else if (length !== undefined) pending.framing = { kind: 'length', remainingBytes: Number(length) }
    else pending.framing = { kind: 'close' }
    return true
  }

  /** Reads what is there of the body; true at its end. */
  function readBody ({ framing, parts }: Pending): boolean {
    if (framing?.kind === 'chunked') return readChunks(parts)
    const bytes = framing?.kind === 'length' ? received.subarray(0, framing.remainingBytes) : received
    received = received.subarray(bytes.length)
    parts.push(bytes)
    if (framing?.kind !== 'length') return false
    framing.remainingBytes -= bytes.length
    return framing.remainingBytes === 0
  }

  function readChunks (parts: Buffer[]): boolean {
    for (;;) {
      const sizeEnd = received.indexOf(lineEnd)
      if (sizeEnd === -1) return false
      const sizeBytes = parseInt(received.subarray(0, sizeEnd).toString('latin1'), 16)
      const chunkStart = sizeEnd + lineEnd.length
      if (received.length < chunkStart + sizeBytes + lineEnd.length) return false
      parts.push(received.subarray(chunkStart, chunkStart + sizeBytes))
      received = received.subarray(chunkStart + sizeBytes + lineEnd.length)
      if (sizeBytes === 0) return true
    }
  }

  socket.on('data', (bytes: Buffer) => {
    received = received.length === 0 ? bytes : Buffer.concat([received, bytes])
    while (due[0] !== undefined && received.length > 0) {
      if (due[0].framing === undefined && !readHead(due[0])) break
      if (!readBody(due[0])) break
      finish('complete')
      if (isClosing) socket.end()
    }
    const pauseMs = due[0]?.readPauseMs ?? 0
    if (pauseMs === 0) return
    socket.pause()
    setTimeout(() => socket.resume(), pauseMs)
  })
  socket.on('end', () => {
    if (due[0]?.framing?.kind === 'close') finish('complete')
    finishAll('cut', 'closed')
  })
  socket.on('error', (error: NodeJS.ErrnoException) => { errorCode = error.code })
  socket.on('close', () => finishAll('cut', errorCode ?? 'closed'))

  /** A part that meets a closed socket is dropped; the close ends the exchange. */
  async function send (request: Exchange, pending: Pending): Promise<void> {
    const parts = formatParts(request)
    for (const [index, part] of parts.entries()) {
      if (index > 0) await clock.sleep(request.partPauseMs)
      if (!socket.writable) return
      socket.write(part, 'latin1')
    }
    pending.end.sentAtMs = performance.now()
  }

  return {
    isOpen: () => !isClosing && socket.writable,
    exchange: request => new Promise(resolve => {
      const startedAtMs = performance.now()
      const pending: Pending = {
        end: { kind: 'cut', cause: '', status: undefined, headers: {}, body: Buffer.alloc(0), startedAtMs, sentAtMs: undefined, endedAtMs: startedAtMs },
        parts: [],
        framing: undefined,
        readPauseMs: request.readPauseMs,
        resolve,
        timeoutMs: request.timeoutMs
      }
      due.push(pending)
      awaitNext()
      if (socket.destroyed) return finishAll('cut', errorCode ?? 'closed')
      sending = sending.then(async () => await send(request, pending))
    }),
    close: () => socket.destroy()
  }
}
