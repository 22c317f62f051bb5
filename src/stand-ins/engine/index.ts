/**
 * A stand-in for a model engine: streams chat completions as server-sent
 * events and simulates batching, a prefix cache and faults.
 */
import express from 'express'
import { request as sendRequest } from 'undici'
import { createSystemClock } from '../../core/clock/index.ts'
import { createBlockHasher } from '../../core/backends/index.ts'
import { addOrderRoutes } from '../orders.ts'
import { startServer } from '../server.ts'
import { engineTimings } from '../timings.ts'
import { createAttempts } from './attempts.ts'
import { addAttemptRoutes } from './attempt-routes.ts'
import { noEngineFaults } from './faults.ts'
import { createPrefixCache } from './prefix-cache.ts'
import { createScheduler } from './scheduler.ts'
import type { Request, Response } from 'express'
import type { BackendState } from '../../core/backends/index.ts'
import type { VersionId } from '../../core/ids/index.ts'
import type { ListenOptions } from '../server.ts'
import type { EngineTimings } from '../timings.ts'
import type { EngineCounts } from './attempts.ts'
import type { EngineFaults, VersionBehaviour } from './faults.ts'

export { generatedAnswer } from './generated-text.ts'
export type { EngineFaults, VersionBehaviour } from './faults.ts'

/** Options of a stand-in engine. */
export interface EngineStandInOptions extends ListenOptions {
  /** Port of the control listener; 0 selects a free port. */
  controlPort?: number
  /** Versions that are served from the start. */
  versions?: string[]
  /** Misbehaving versions by name. */
  behaviours?: Record<string, VersionBehaviour>
  timings?: Partial<EngineTimings>
  /** Whether orders with an outdated fencing number are refused. */
  checksFencing?: boolean
  faults?: Partial<EngineFaults>
  /** Fetches the weights of a version before it is loaded. */
  fetchWeights?: (version: VersionId) => Promise<void>
  /** Seed for choosing which cache events are lost. */
  seed?: number
}

/** Counts and current load of an engine. */
export interface EngineStats extends EngineCounts {
  running: number
  waiting: number
  refused: number
  ordersTaken: number
  ordersRefused: number
  cachedBlocks: number
  /** Requests by version. */
  requests: Record<string, number>
}

/** A running stand-in engine. */
export interface EngineStandIn {
  url: string
  controlUrl: string
  stats: () => EngineStats
  state: () => BackendState
  /** Changes the given faults; `POST /faults` of the control listener does the same. */
  set: (faults: Partial<EngineFaults>) => Promise<void>
  /** Sets or removes a version's misbehaviour; `POST /behaviours` of the control listener does the same. */
  setBehaviour: (version: string, behaviour: VersionBehaviour | undefined) => void
  close: () => Promise<void>
}

interface LoadSample {
  reportedAtMs: number
  running: number
  waiting: number
  cacheUsage: number
}

/** Time after which a crashed engine listens again. */
const restartMs = 1_000

/** Starts a stand-in engine with two listeners: the engine's API and the control API. */
export async function createEngineStandIn (options: EngineStandInOptions = {}): Promise<EngineStandIn> {
  const clock = createSystemClock()
  const timings = { ...engineTimings, ...options.timings }
  const faults: EngineFaults = { ...noEngineFaults }
  let isClosed = false
  const behaviours = new Map(Object.entries(options.behaviours ?? {}))
  const app = express()
  const server = await startServer(app, options)
  const scheduler = createScheduler({ clock, timings, slowFactor: () => faults.slowFactor, whenThawed: server.whenThawed })
  const cache = createPrefixCache({
    maxBlocks: timings.cacheBlocks,
    nowMs: clock.monotonicMs,
    eventLagMs: timings.cacheEventLagMs,
    eventLossRatio: () => faults.lostCacheEvents,
    seed: options.seed ?? 1
  })
  const attempts = createAttempts({ clock, timings, scheduler, cache, hashBlocks: await createBlockHasher(), faults, crash })
  app.use(express.json({ limit: '16mb' }))
  const orders = addOrderRoutes(app, {
    versions: options.versions ?? ['v1'],
    checksFencing: options.checksFencing ?? true,
    load: async version => {
      await options.fetchWeights?.(version)
      if (timings.versionLoadMs > 0) await clock.sleep(timings.versionLoadMs)
    }
  })
  const { requests, refused } = addAttemptRoutes({ app, attempts, orders, scheduler, faults, behaviours, nowMs: clock.wallMs })
  addCacheRoutes()

  let samples: LoadSample[] = []
  /** Samples the load and returns the newest sample that is at least `loadReportLagMs` old, else the oldest. */
  function sampleLoad (): LoadSample {
    const sample = { reportedAtMs: clock.wallMs(), running: scheduler.running(), waiting: scheduler.waiting(), cacheUsage: cache.size() / timings.cacheBlocks }
    const visibleUntilMs = sample.reportedAtMs - timings.loadReportLagMs
    const visible = [...samples, sample].filter(each => each.reportedAtMs <= visibleUntilMs).at(-1)
    samples = [...samples.filter(each => each.reportedAtMs >= (visible?.reportedAtMs ?? 0)), sample]
    return visible ?? samples[0] ?? sample
  }

  function addCacheRoutes (): void {
    app.get('/v1/load', (_request, response) => { response.json(sampleLoad()) })
    app.get('/v1/cache-events', (request, response) => { response.json({ events: cache.events(Number(request.query['after'] ?? 0)) }) })
    const exported = new Map<string, string[]>()
    app.post('/v1/attempts/:id/cache', async (request: Request, response: Response) => {
      const id = String(request.params['id'])
      const blocks = attempts.blocks(id)
      if (blocks === undefined) return response.status(404).json({ error: { message: 'no such attempt' } })
      await transfer(blocks)
      exported.set(id, blocks)
      response.json({ handle: `${server.url}/v1/caches/${encodeURIComponent(id)}` })
    })
    app.get('/v1/caches/:id', (request, response) => { response.json({ blocks: exported.get(request.params.id) ?? [] }) })
    app.post('/v1/caches', async (request: Request, response: Response) => {
      try {
        const { body } = await sendRequest((request.body as { handle: string }).handle)
        const { blocks } = await body.json() as { blocks: string[] }
        await transfer(blocks)
        cache.store(blocks)
        response.json({})
      } catch {
        response.status(502).json({ error: { message: 'the cache could not be fetched' } })
      }
    })
  }

  async function transfer (blocks: string[]): Promise<void> {
    const durationMs = blocks.length * timings.cacheTransferMsPerBlock
    if (durationMs > 0) await clock.sleep(durationMs)
    await server.whenThawed()
  }

  function crash (): void {
    set({ down: true })
    setTimeout(() => { if (!isClosed) set({ down: false }) }, restartMs)
  }

  async function set (changes: Partial<EngineFaults>): Promise<void> {
    Object.assign(faults, changes)
    if (changes.frozen === true) server.freeze()
    if (changes.frozen === false) server.thaw()
    if (changes.silenceStreams === true) server.silenceConnections()
    if (changes.breakStreams === true) server.breakConnections()
    if (changes.down === true) await server.stopListening()
    if (changes.down === false) await server.resumeListening()
  }

  function setBehaviour (version: string, behaviour: VersionBehaviour | undefined): void {
    if (behaviour === undefined) behaviours.delete(version)
    else behaviours.set(version, behaviour)
  }

  function stats (): EngineStats {
    const { accepted, refused: ordersRefused } = orders.counts()
    return {
      ...attempts.counts(),
      running: scheduler.running(),
      waiting: scheduler.waiting(),
      refused: refused(),
      ordersTaken: accepted,
      ordersRefused,
      cachedBlocks: cache.size(),
      requests: Object.fromEntries(requests)
    }
  }

  const control = express()
  control.use(express.json())
  control.post('/faults', async (request, response) => {
    await set(request.body as Partial<EngineFaults>)
    response.json({})
  })
  control.post('/behaviours', (request, response) => {
    const { version, behaviour } = request.body as { version: string, behaviour?: VersionBehaviour }
    setBehaviour(version, behaviour)
    response.json({})
  })
  control.get('/stats', (_request, response) => { response.json(stats()) })
  const controlServer = await startServer(control, { ...options, port: options.controlPort ?? 0 })
  await set(options.faults ?? {})
  const maintenanceTimer = setInterval(() => {
    sampleLoad()
    if (!faults.frozen) attempts.maintain()
  }, timings.commentIntervalMs)

  return {
    url: server.url,
    controlUrl: controlServer.url,
    stats,
    state: orders.state,
    set,
    setBehaviour,
    close: async () => {
      isClosed = true
      clearInterval(maintenanceTimer)
      server.thaw()
      scheduler.close()
      await Promise.all([server.close(), controlServer.close()])
    }
  }
}
