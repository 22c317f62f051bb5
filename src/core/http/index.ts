/** The HTTP server of a node: requests of callers, health checks of the load balancer, metrics and operator status. */
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { once } from 'node:events'
import express from 'express'
import type { NextFunction, Request, Response } from 'express'
import { createCallerConnections } from '../caller-connections/index.ts'
import { bearerToken, hasDigest } from './authenticate.ts'
import { answerParserError } from './parser-errors.ts'
import { createCallHandler } from './call-handler.ts'
import { createContextMiddleware } from './request-context.ts'
import { parseChatBody, parseDraftBody } from './draft-body.ts'
import { createDraftHandler } from './draft-handler.ts'
import { refuseRequest } from './refuse.ts'
import { createStopAnswers } from './stop-answers.ts'
import type { StopAnswers } from './stop-answers.ts'
import type { CallerServerOptions } from './types.ts'

export type * from './types.ts'
export { toProblemDetails } from './problem.ts'
export type { ProblemDetails } from './problem.ts'

/** Time without an open request after which idle connections are closed. */
const quietMs = 1_000
/** Time before the end of a stop at which requests without an answer get one that says whether they may have run; enough to deliver it. */
const answerReserveMs = 250
/** Time that the refusals of requests that were read last get. */
const lateRefusalsMs = 50

/** A running server. */
export interface CallerServer {
  readonly port: number
  countOpenConnections: () => Promise<number>
  /** Waits until no request comes any more, at the monotonic time `deadlineAtMs` at the latest; then stops listening and closes the connections. */
  close: (deadlineAtMs: number) => Promise<void>
}

/** Starts the server; resolves once it listens. */
export async function createCallerServer (options: CallerServerOptions): Promise<CallerServer> {
  const stopAnswers = createStopAnswers(options)
  const app = createApp(options, stopAnswers)
  const server = createServer({ requestTimeout: options.maxBodyMs, headersTimeout: options.maxHeaderMs, requireHostHeader: false }, (request, response) => {
    connections.take(request, response, () => app(request, response))
  })
  const connections = createCallerConnections({
    server,
    clock: options.clock,
    // Load balancers reuse connections; a stopping node makes them close each one after its current response.
    isDraining: options.isLeaving,
    onLateRequest: () => options.metrics.count('answers_not_delivered_total', { reason: 'crossed-close', phase: 'waiting' }),
    onParserError: error => answerParserError(error, options)
  })
  server.maxConnections = options.maxConnections
  server.listen(options.port, options.host)
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo

  async function close (deadlineAtMs: number): Promise<void> {
    const { clock } = options
    const endsAtMs = deadlineAtMs - answerReserveMs
    const closed = new AbortController()
    // Not put off by connections to accept, whose number is unbounded.
    const ended = clock.sleep(endsAtMs - clock.monotonicMs(), closed.signal).then(connections.whenRead).then(stopAnswers.answerAll)
    await connections.whenQuiet(quietMs, endsAtMs)
    // After a stall, that time may have passed before an answer could be written.
    const lastAnswersAtMs = (): number => Math.max(deadlineAtMs, clock.monotonicMs() + answerReserveMs)
    await connections.stopListening(lastAnswersAtMs())
    await connections.whenAnswered(endsAtMs)
    closed.abort()
    await ended
    stopAnswers.answerAll()
    await connections.whenAnswered(lastAnswersAtMs())
    // Requests that arrived during a stall are refused before their connections are closed as idle.
    await connections.whenRead()
    stopAnswers.answerAll()
    await connections.whenAnswered(clock.monotonicMs() + lateRefusalsMs)
    connections.close()
  }

  const countOpenConnections = (): Promise<number> => new Promise((resolve, reject) => {
    server.getConnections((error, count) => error === null ? resolve(count) : reject(error))
  })

  return { port, countOpenConnections, close }
}

function createApp (options: CallerServerOptions, stopAnswers: StopAnswers): express.Express {
  const app = express()
  app.disable('x-powered-by')
  app.disable('etag')
  app.use((_request, response, next) => {
    response.locals.arrivedAtMs = options.clock.monotonicMs()
    next()
  })
  app.use(stopAnswers.add)
  const readBody = express.raw({ type: () => true, limit: options.maxBodyBytes })

  app.post('/v1/teams/:team/drafts/:route',
    createContextMiddleware(options, 'draft', request => ({ team: String(request.params.team), route: String(request.params.route) })),
    readBody,
    createDraftHandler(options, { readBody: parseDraftBody, endMarker: '' }))
  app.post('/v1/chat/completions',
    createContextMiddleware(options, 'draft', request => ({
      team: request.header('cyclamenshunt-team'),
      route: request.header('cyclamenshunt-route') ?? ''
    })),
    readBody,
    createDraftHandler(options, { readBody: parseChatBody, endMarker: 'data: [DONE]\n\n' }))
  app.post('/v1/teams/:team/calls/:route',
    createContextMiddleware(options, 'call', request => ({ team: String(request.params.team), route: String(request.params.route) })),
    readBody,
    createCallHandler(options))

  app.get('/healthz', (_request, response) => { response.json({ node: options.node }) })
  app.get('/readyz', (_request, response) => {
    const readiness = options.isLeaving() ? { ready: false, reason: 'draining' } : options.readiness()
    response.status(readiness.ready ? 200 : 503).json(readiness)
  })
  app.get('/metrics', async (_request, response) => {
    response.type('text/plain').send(await options.metrics.render())
  })
  app.get('/v1/status', async (request, response) => {
    const token = bearerToken(request.header('authorization'))
    if (token === undefined) return refuseRequest(response, 'unauthorized', 'Send an operator token as "Authorization: Bearer <token>".', options)
    if (!hasDigest(token, options.operatorDigests)) return refuseRequest(response, 'forbidden', 'The token is not an operator token.', options)
    response.json(await options.status())
  })

  app.use((_request: Request, response: Response) => {
    refuseRequest(response, 'unknown-route', 'There is no such endpoint; see the documentation of the HTTP interface.', options)
  })
  app.use(createErrorHandler(options))
  return app
}

/** Handles errors of Express's body parser, which are identified by their `type`, and unexpected errors. */
function createErrorHandler (options: CallerServerOptions) {
  // Express recognises an error handler by its four parameters.
  return (error: unknown, _request: Request, response: Response, _next: NextFunction): void => {
    // The stop of the node has answered it.
    if (response.writableEnded) return
    if (response.headersSent) {
      response.destroy()
      return
    }
    const type = (error as { type?: string }).type
    if (type === 'entity.too.large') {
      return refuseRequest(response, 'body-too-large', `The body must not exceed ${options.maxBodyBytes} bytes.`, options)
    }
    if (type === 'request.aborted' || type === 'request.size.invalid') {
      return refuseRequest(response, 'body-truncated', 'The body was truncated; send it completely.', options)
    }
    if (error instanceof URIError || (error as { status?: number }).status === 400) {
      return refuseRequest(response, 'bad-request', 'The request is malformed; check its URL and encoding.', options)
    }
    options.log('requestFailed', { cause: String(error) })
    options.metrics.count('request_failed_total')
    response.status(500).type('application/problem+json').send(JSON.stringify({
      type: 'urn:cyclamenshunt:internal', title: 'internal error', status: 500, run: 'unknown', detail: 'Repeat the request with the same key.'
    }))
  }
}
