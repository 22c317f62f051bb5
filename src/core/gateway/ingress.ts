/**
 * The HTTP listener for callers: limits on request sizes and times, and a
 * graceful shutdown that lets open requests finish.
 */
import { createServer } from 'node:http'
import type { Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from '../clock/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { RequestHandler } from './request-handler.ts'
import type { GatewayConfiguration } from './types.ts'

/** Limits until a configuration is known; the values of the platform's examples. */
const defaultLimits: GatewayConfiguration['limits'] = {
  maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000
}
/** Interval at which connections are checked for slow headers and idle timeouts. */
const connectionCheckMs = 500
/** Length of the queue of connections that wait to be accepted. */
const backlog = 1_024

/** Options of a listener. */
export interface IngressOptions {
  host: string
  port: number
  clock: Clock
  log: Log
  metrics: Metrics
  serve: RequestHandler
}

/** Why the connection of an answer ended before the answer was delivered, and how many bytes of it the caller had not taken. */
export interface AnswerEnd {
  reason: 'caller-closed' | 'stop-deadline'
  waitingBytes: number
}

/** The listener for callers. */
export interface Ingress {
  listen: () => Promise<void>
  /** Address that the listener is bound to. */
  address: () => ReturnType<Server['address']>
  /** Applies the limits of a configuration to connections from now on. */
  setLimits: (limits: GatewayConfiguration['limits']) => void
  /** Number of requests without a delivered answer. */
  inFlight: () => number
  /** How the connection of an undelivered answer ended. */
  answerEndOf: (response: ServerResponse) => AnswerEnd
  /** Closes idle connections and accepts no new ones. */
  stopAccepting: () => void
  close: () => void
}

const statusOfError: Record<string, string> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout'
}

/** Creates a listener; `listen` binds it. */
export function createIngress (options: IngressOptions): Ingress {
  const { log, metrics, serve } = options
  const open = new Set<ServerResponse>()
  const cutAnswers = new WeakMap<ServerResponse, AnswerEnd>()
  let isShuttingDown = false

  const server: Server = createServer({
    maxHeaderSize: defaultLimits.maxHeaderBytes,
    connectionsCheckingInterval: connectionCheckMs,
    keepAlive: false,
    noDelay: true
  }, (request, response) => {
    open.add(response)
    response.on('close', () => open.delete(response))
    // A response that began before the shutdown has no "connection: close" header, so its connection is closed after it.
    response.on('finish', () => { if (isShuttingDown) request.socket.end() })
    serve(request, response).catch((error: unknown) => {
      log('gatewayFailed', { path: request.url, cause: (error as Error).stack })
      metrics.count('gateway_failures_total')
      response.destroy()
    })
  })
  setLimits(defaultLimits)

  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    metrics.count('gateway_broken_requests_total', { code: error.code ?? 'unknown' })
    if (!socket.writable || socket.bytesWritten > 0) {
      socket.destroy()
      return
    }
    const status = statusOfError[error.code ?? ''] ?? '400 Bad Request'
    socket.end(`HTTP/1.1 ${status}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`)
  })

  function setLimits (limits: GatewayConfiguration['limits']): void {
    server.headersTimeout = limits.headerTimeoutMs
    server.keepAliveTimeout = limits.idleTimeoutMs
    // No separate limit for bodies: the timeout of a route counts from the arrival of the request.
    server.requestTimeout = 0
  }

  return {
    listen: () => new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen({ host: options.host, port: options.port, backlog }, resolve)
    }),
    address: () => server.address(),
    setLimits,
    inFlight: () => open.size,
    answerEndOf: response => cutAnswers.get(response) ?? { reason: 'caller-closed', waitingBytes: response.writableLength },
    stopAccepting: () => {
      isShuttingDown = true
      server.close()
      server.closeIdleConnections()
    },
    close: () => {
      for (const response of open) cutAnswers.set(response, { reason: 'stop-deadline', waitingBytes: response.writableLength })
      server.closeAllConnections()
    }
  }
}
