/**
 * The HTTP interface of a node: for callers, for the balancer, for monitoring
 * and for operators.
 */
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { once } from 'node:events'
import express from 'express'
import type { NextFunction, Request, Response } from 'express'
import { bearerToken, hasDigest } from './authenticate.ts'
import { answerBrokenRequests } from './broken-requests.ts'
import { createCallHandler } from './call-handler.ts'
import { identifyCaller } from './caller-context.ts'
import { readChatBody, readDraftBody } from './draft-body.ts'
import { createDraftHandler } from './draft-handler.ts'
import { refuseRequest } from './refuse.ts'
import type { CallerServerOptions } from './types.ts'

export type * from './types.ts'
export { toProblem } from './problem.ts'
export type { ProblemDetails } from './problem.ts'

/** The running interface. */
export interface CallerServer {
  readonly port: number
  /** Connections that are open now. */
  connections: () => Promise<number>
  /** Stops listening, ends idle connections and waits for the others until the wall time, then cuts them. */
  close: (cutAtMs: number) => Promise<void>
}

/** Starts the interface; resolves once it listens. */
export async function createCallerServer (options: CallerServerOptions): Promise<CallerServer> {
  const server = createServer({ requestTimeout: options.maxBodyMs, headersTimeout: options.maxHeaderMs }, createApp(options))
  server.maxConnections = options.maxConnections
  answerBrokenRequests(server, options)
  server.listen(options.port, options.host)
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo

  async function close (cutAtMs: number): Promise<void> {
    const closed = once(server, 'close')
    server.close()
    server.closeIdleConnections()
    const cut = new AbortController()
    options.clock.sleep(cutAtMs - options.clock.wallMs(), cut.signal).then(() => server.closeAllConnections(), () => {})
    await closed
    cut.abort()
  }

  const connections = (): Promise<number> => new Promise((resolve, reject) => {
    server.getConnections((error, count) => error === null ? resolve(count) : reject(error))
  })

  return { port, connections, close }
}

function createApp (options: CallerServerOptions): express.Express {
  const app = express()
  app.disable('x-powered-by')
  app.disable('etag')
  // A balancer keeps its connections open; a node that leaves has to end them without cutting one.
  app.use((_request, response, next) => {
    response.locals.arrivedAtMs = options.clock.monotonicMs()
    if (options.isLeaving()) response.set('Connection', 'close')
    next()
  })
  const readBody = express.raw({ type: () => true, limit: options.maxBodyBytes })

  app.post('/v1/teams/:team/drafts/:route',
    identifyCaller(options, 'draft', request => ({ team: String(request.params.team), route: String(request.params.route) })),
    readBody,
    createDraftHandler(options, { readBody: readDraftBody, endMark: '' }))
  app.post('/v1/chat/completions',
    identifyCaller(options, 'draft', request => ({
      team: request.header('cyclamenshunt-team'),
      route: request.header('cyclamenshunt-route') ?? ''
    })),
    readBody,
    createDraftHandler(options, { readBody: readChatBody, endMark: 'data: [DONE]\n\n' }))
  app.post('/v1/teams/:team/calls/:route',
    identifyCaller(options, 'call', request => ({ team: String(request.params.team), route: String(request.params.route) })),
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
    if (token === undefined) return refuseRequest(response, 'unauthorized', 'Send an operator\'s token as "Authorization: Bearer <token>".', options)
    if (!hasDigest(token, options.operatorDigests)) return refuseRequest(response, 'forbidden', 'The token isn\'t an operator\'s.', options)
    response.json(await options.status())
  })

  app.use((_request: Request, response: Response) => {
    refuseRequest(response, 'unknown-route', 'There is nothing at this address; see the operators\' pages for the interface.', options)
  })
  app.use(createErrorHandler(options))
  return app
}

/** Errors of reading a body, as the body reader names them, and anything unexpected. */
function createErrorHandler (options: CallerServerOptions) {
  // Express tells an error handler by its four parameters.
  return (error: unknown, _request: Request, response: Response, _next: NextFunction): void => {
    if (response.headersSent) {
      response.destroy()
      return
    }
    const type = (error as { type?: string }).type
    if (type === 'entity.too.large') {
      return refuseRequest(response, 'body-too-large', `The body may have at most ${options.maxBodyBytes} bytes.`, options)
    }
    if (type === 'request.aborted' || type === 'request.size.invalid') {
      return refuseRequest(response, 'body-truncated', 'The body ended early; send it whole.', options)
    }
    if (error instanceof URIError || (error as { status?: number }).status === 400) {
      return refuseRequest(response, 'bad-request', 'The request can\'t be read; check its address and encoding.', options)
    }
    options.log('requestFailed', { cause: String(error) })
    options.metrics.count('request_failed_total')
    response.status(500).type('application/problem+json').send(JSON.stringify({
      type: 'urn:cyclamenshunt:internal', title: 'internal error', status: 500, run: 'unknown', detail: 'Repeat with the same key.'
    }))
  }
}
