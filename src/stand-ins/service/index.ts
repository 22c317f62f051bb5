/**
 * A stand-in for a plain service such as a case registry. It runs every call
 * that it receives, without deduplication, and counts calls by idempotency
 * key, so that tests detect calls that ran twice.
 */
import { requestLimitHeader } from '../../core/backend-limits/index.ts'
import express from 'express'
import { createSystemClock } from '../../core/clock/index.ts'
import { runStateDone, runStateNotRun, runStateHeader } from '../../core/backends/index.ts'
import { addOrderRoutes } from '../orders.ts'
import { startServer } from '../server.ts'
import { serviceCallMs } from '../timings.ts'
import type { Request, Response } from 'express'
import type { BackendState } from '../../core/backends/index.ts'
import type { ListenOptions } from '../server.ts'

/** Faults of the service, which can be changed at any time. */
export interface ServiceFaults {
  /** Duration of a call, in milliseconds. */
  callMs: number
  /** Number of next calls that run but whose connection is closed without a response. */
  loseNextAnswers: number
  /** Number of next calls whose connection is closed before they run. */
  loseNextRequests: number
  /** Calls are refused before they run; the response's header says that they didn't run. */
  refuse: boolean
  /** Calls run, but get an error response. */
  failing: boolean
  frozen: boolean
  down: boolean
  /** Setting this to true makes the open connections carry no more data, without closing them; new ones work. */
  silenceConnections: boolean
  /** Setting this to true destroys the open connections; new ones work. */
  breakConnections: boolean
  /** Requests a second that the service names in its responses as its limit for all nodes together. */
  requestLimitPerSecond: number | undefined
}

export interface ServiceStandInOptions extends ListenOptions {
  /** Port of the control listener; 0 selects a free port. */
  controlPort?: number
  versions?: string[]
  checksFencing?: boolean
  /** Whether `GET /calls/:key` returns the outcome of a call by its idempotency key; on by default. */
  answersLookups?: boolean
  faults?: Partial<ServiceFaults>
}

/** Counts since the service started. */
export interface ServiceStats {
  /** Number of calls that ran, by idempotency key. */
  ranByKey: Record<string, number>
  ran: number
  refused: number
  ordersTaken: number
  ordersRefused: number
}

/** A running stand-in service. */
export interface ServiceStandIn {
  url: string
  controlUrl: string
  stats: () => ServiceStats
  state: () => BackendState
  /** Changes the given faults; `POST /faults` of the control listener does the same. */
  set: (faults: Partial<ServiceFaults>) => Promise<void>
  close: () => Promise<void>
}

const unavailableStatus = 503

/** Returns 0 for a request without a parsed body: if the caller disconnects while the service is frozen, the call still runs. */
function bodySizeBytes ({ body }: Request): number {
  return Buffer.isBuffer(body) ? body.length : 0
}

/** Starts a stand-in service with two listeners: the service's API and the control API. */
export async function createServiceStandIn (options: ServiceStandInOptions = {}): Promise<ServiceStandIn> {
  const clock = createSystemClock()
  const faults: ServiceFaults = {
    callMs: serviceCallMs,
    loseNextAnswers: 0,
    loseNextRequests: 0,
    refuse: false,
    failing: false,
    frozen: false,
    down: false,
    silenceConnections: false,
    breakConnections: false,
    requestLimitPerSecond: undefined
  }
  const ranByKey = new Map<string, number>()
  const outcomes = new Map<string, unknown>()
  let ran = 0
  let refused = 0

  const app = express()
  const server = await startServer(app, options)
  app.use('/v1', express.json())
  app.use((request, response, next) => {
    const attempt = request.get('x-request-id')
    if (attempt !== undefined) response.setHeader('x-request-id', attempt)
    if (faults.requestLimitPerSecond !== undefined) response.setHeader(requestLimitHeader, faults.requestLimitPerSecond)
    next()
  })
  const orders = addOrderRoutes(app, {
    versions: options.versions ?? ['v1'],
    checksFencing: options.checksFencing ?? true,
    load: async () => {}
  })

  function refuse (response: Response): void {
    refused += 1
    response.status(unavailableStatus).setHeader(runStateHeader, runStateNotRun).setHeader('retry-after', '1')
    response.json({ error: { message: 'the service accepts no calls now' } })
  }

  async function runCall (request: Request, response: Response): Promise<void> {
    if (faults.loseNextRequests > 0) {
      faults.loseNextRequests -= 1
      request.socket.destroy()
      return
    }
    if (faults.refuse || orders.state().role === 'drain') return refuse(response)
    const version = request.get('x-version')
    if (version !== undefined && !orders.servesVersion(version)) return refuse(response)
    const key = request.get('idempotency-key')
    ran += 1
    const outcome = { route: request.params['route'], number: ran, sizeBytes: bodySizeBytes(request) }
    if (key !== undefined) {
      ranByKey.set(key, (ranByKey.get(key) ?? 0) + 1)
      outcomes.set(key, outcome)
    }
    if (faults.callMs > 0) await clock.sleep(faults.callMs)
    await server.whenThawed()
    if (faults.loseNextAnswers > 0) {
      faults.loseNextAnswers -= 1
      request.socket.destroy()
      return
    }
    if (faults.failing) response.status(500).json({ error: { message: 'the service failed' } })
    else response.json(outcome)
  }

  app.post('/calls/:route', express.raw({ type: () => true, limit: '16mb' }), runCall)
  app.get('/calls/:key', (request, response) => {
    const outcome = outcomes.get(request.params.key)
    if (options.answersLookups === false || outcome === undefined) {
      return response.status(404).json({ error: { message: 'no call with this idempotency key is known' } })
    }
    response.setHeader(runStateHeader, runStateDone).json(outcome)
  })

  async function set (changes: Partial<ServiceFaults>): Promise<void> {
    Object.assign(faults, changes)
    if (changes.frozen === true) server.freeze()
    if (changes.frozen === false) server.thaw()
    if (changes.silenceConnections === true) server.silenceConnections()
    if (changes.breakConnections === true) server.breakConnections()
    if (changes.down === true) await server.stopListening()
    if (changes.down === false) await server.resumeListening()
  }

  function stats (): ServiceStats {
    const { accepted, refused: ordersRefused } = orders.counts()
    return { ranByKey: Object.fromEntries(ranByKey), ran, refused, ordersTaken: accepted, ordersRefused }
  }

  const control = express()
  control.use(express.json())
  control.post('/faults', async (request, response) => {
    await set(request.body as Partial<ServiceFaults>)
    response.json({})
  })
  control.get('/stats', (_request, response) => { response.json(stats()) })
  const controlServer = await startServer(control, { ...options, port: options.controlPort ?? 0 })
  await set(options.faults ?? {})

  return {
    url: server.url,
    controlUrl: controlServer.url,
    stats,
    state: orders.state,
    set,
    close: async () => {
      server.thaw()
      await Promise.all([server.close(), controlServer.close()])
    }
  }
}
