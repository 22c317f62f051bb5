/**
 * A backend server on a plain TCP socket that writes whatever bytes a test
 * chooses, so that responses can be duplicated, late, early, truncated,
 * malformed or missing.
 */
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

/** A parsed request. */
export interface RawRequest {
  method: string
  target: string
  /** Values by lower-case name; the last one wins if a name is repeated. */
  headers: Record<string, string>
  body: string
  /** Number of the connection in order of acceptance, from 1. */
  connection: number
}

/** Handles a request by writing raw bytes to the socket, or by ending or resetting the connection. */
export type RawRequestHandler = (request: RawRequest, socket: Socket) => void | Promise<void>

/** A listening raw backend server. */
export interface RawBackend {
  readonly port: number
  /** All requests so far, in order of arrival. */
  readonly requests: RawRequest[]
  /** Number of connections that are closed, by either side. */
  closedCount: () => number
  /** Replaces the handler of all later requests. */
  setHandler: (handler: RawRequestHandler) => void
  /** Ends all connections at once and refuses new ones, as a crashed process; with `isClean`, after the bytes that were written. */
  crash: (options?: { isClean?: boolean }) => void
  /** Listens again on the same port after a crash. */
  restart: () => Promise<void>
  close: () => Promise<void>
}

const restartRetryMs = 20
const headEnd = '\r\n\r\n'

/** Formats an HTTP/1.1 response with a Content-Length header; `headers` can override it. */
export function formatResponse (status: number, headers: Record<string, string>, body: string): string {
  const lines = Object.entries({ 'content-length': String(Buffer.byteLength(body)), ...headers }).map(([name, value]) => `${name}: ${value}`)
  return [`HTTP/1.1 ${status} Status`, ...lines, '', body].join('\r\n')
}

/** Formats one chunk of a body with chunked transfer encoding. */
export function formatChunk (text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`
}

function parseHead (text: string): Pick<RawRequest, 'method' | 'target' | 'headers'> {
  const [requestLine = '', ...lines] = text.split('\r\n')
  const [method = '', target = ''] = requestLine.split(' ')
  const headers = Object.fromEntries(lines.map(line => {
    const at = line.indexOf(':')
    return [line.slice(0, at).toLowerCase(), line.slice(at + 1).trim()]
  }))
  return { method, target, headers }
}

/** Starts the stand-in on a free port of the loopback address. */
export async function startRawBackend (initialHandler: RawRequestHandler): Promise<RawBackend> {
  const requests: RawRequest[] = []
  const sockets = new Set<Socket>()
  let handler = initialHandler
  let connectionCount = 0
  let closedCount = 0
  let isClosed = false

  const server = createServer(socket => {
    connectionCount += 1
    const connection = connectionCount
    let pending = ''
    sockets.add(socket)
    socket.on('error', () => {
      // Ignored: after a reset by the peer, `close` follows.
    })
    socket.on('close', () => {
      closedCount += 1
      sockets.delete(socket)
    })
    socket.setEncoding('latin1')
    socket.on('data', (text: string) => {
      pending += text
      for (;;) {
        const end = pending.indexOf(headEnd)
        if (end === -1) return
        const head = parseHead(pending.slice(0, end))
        const length = Number(head.headers['content-length'] ?? 0)
        const bodyStart = end + headEnd.length
        if (pending.length < bodyStart + length) return
        const request = { ...head, body: pending.slice(bodyStart, bodyStart + length), connection }
        pending = pending.slice(bodyStart + length)
        requests.push(request)
        handler(request, socket)
      }
    })
  })
  async function listen (port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen({ host: '127.0.0.1', port }, () => {
        server.off('error', reject)
        resolve()
      })
    })
  }

  /** Another process may have taken the port for a moment, as it was free during the crash. */
  async function listenAgain (port: number): Promise<void> {
    if (isClosed) return
    try {
      await listen(port)
    } catch {
      await new Promise(resolve => setTimeout(resolve, restartRetryMs))
      await listenAgain(port)
    }
  }

  await listen(0)
  const { port } = server.address() as AddressInfo
  return {
    port,
    requests,
    closedCount: () => closedCount,
    setHandler: next => { handler = next },
    crash: ({ isClean = false } = {}) => {
      server.close()
      for (const socket of sockets) {
        if (isClean) socket.end()
        else socket.resetAndDestroy()
      }
    },
    restart: async () => {
      await listenAgain(port)
    },
    close: async () => {
      isClosed = true
      for (const socket of sockets) socket.destroy()
      await new Promise(resolve => server.close(resolve))
    }
  }
}
