/**
 * The HTTP listener for callers: limits on request sizes and times, and a
 * graceful shutdown that lets open requests finish.
 */
import { createServer } from 'node:http'
import { createCallerConnections, cutAnswer } from '../caller-connections/index.ts'
import type { IncomingHttpHeaders, Server } from 'node:http'
import type { CallerConnections } from '../caller-connections/index.ts'
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
  isDraining: () => boolean
  requestIdOf: (headers: IncomingHttpHeaders) => string | undefined
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
  onAnswerClosed: CallerConnections['onAnswerClosed']
  /** Serves until no request comes any more, then stops listening and closes the connections. */
  drain: (limits: DrainLimits) => Promise<void>
  /** Stops listening and closes all connections at once. */
  close: () => Promise<void>
}

/** Limits of a graceful shutdown. Times are monotonic, in ms. */
export interface DrainLimits {
  /** Until then, new connections may arrive. */
  listenUntilMs: number
  /** Open requests are ended then. */
  endsAtMs: number
  /** Ends all open requests, by an answer if none has begun. */
  endRequests: () => void
}

/** Time without an open request after which a draining node closes idle connections; callers that send the next request when an answer ends do so sooner. */
const quietMs = 1_000
/** Time that the last answers get to be written. */
const lastAnswersMs = 250
/** Time that the refusals of requests that were read last get. */
const lateRefusalsMs = 50

const statusOfError: Record<string, string> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout'
}

/** Creates a listener; `listen` binds it. */
export function createIngress (options: IngressOptions): Ingress {
  const { clock, log, metrics, serve } = options

  const server: Server = createServer({
    maxHeaderSize: defaultLimits.maxHeaderBytes,
    connectionsCheckingInterval: connectionCheckMs,
    keepAlive: false,
    noDelay: true,
    requireHostHeader: false
  }, (request, response) => {
    connections.take(request, response, () => {
      serve(request, response).catch((error: unknown) => {
        log('gatewayFailed', { path: request.url, cause: (error as Error).stack })
        metrics.count('gateway_failures_total')
        if (!response.writableEnded) cutAnswer(response)
      })
    })
  })
  setLimits(defaultLimits)
  const connections = createCallerConnections({
    server,
    clock,
    isDraining: options.isDraining,
    onLateRequest: request => {
      metrics.count('answers_not_delivered_total', { reason: 'crossed-close', phase: 'waiting' })
      log('answerNotDelivered', { request: options.requestIdOf(request.headers), path: request.url, phase: 'waiting', reason: 'crossed-close', waitingBytes: 0 })
    },
    onParserError: ({ code = 'unknown' }) => {
      metrics.count('gateway_broken_requests_total', { code })
      return `HTTP/1.1 ${statusOfError[code] ?? '400 Bad Request'}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`
    }
  })

  function setLimits (limits: GatewayConfiguration['limits']): void {
    server.headersTimeout = limits.headerTimeoutMs
    server.keepAliveTimeout = limits.idleTimeoutMs
    // No separate limit for bodies: the timeout of a route counts from the arrival of the request.
    server.requestTimeout = 0
  }

  async function drain ({ listenUntilMs, endsAtMs, endRequests }: DrainLimits): Promise<void> {
    const drained = new AbortController()
    let closesAtMs = endsAtMs + lastAnswersMs
    // Not put off by connections to accept, whose number is unbounded and each of which takes a turn of the event loop.
    const ended = clock.sleep(endsAtMs - clock.monotonicMs(), drained.signal).then(connections.whenRead).then(() => {
      endRequests()
      // After a stall, that time may have passed before an answer could be written.
      closesAtMs = Math.max(endsAtMs, clock.monotonicMs()) + lastAnswersMs
    })
    await clock.sleep(listenUntilMs - clock.monotonicMs())
    await connections.whenQuiet(quietMs, endsAtMs)
    await connections.stopListening(Math.max(endsAtMs, clock.monotonicMs()) + lastAnswersMs)
    await connections.whenAnswered(endsAtMs)
    drained.abort()
    await ended
    await connections.whenAnswered(closesAtMs)
    // Requests that arrived during a stall are refused before their connections are closed as idle.
    await connections.whenRead()
    await connections.whenAnswered(clock.monotonicMs() + lateRefusalsMs)
    connections.close()
  }

  return {
    listen: () => new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen({ host: options.host, port: options.port, backlog }, resolve)
    }),
    address: () => server.address(),
    setLimits,
    inFlight: connections.openRequestCount,
    onAnswerClosed: connections.onAnswerClosed,
    drain,
    close: async () => {
      await connections.stopListening(clock.monotonicMs())
      connections.close()
    }
  }
}
