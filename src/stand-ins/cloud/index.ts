/**
 * A stand-in for the cloud: prices by failure domain and machine class,
 * refused starts, and reclaims with notice of one instance or of a whole
 * failure domain. A function starts each instance's backend server in-process.
 */
import express from 'express'
import { createSystemClock } from '../../core/clock/index.ts'
import { toId } from '../../core/ids/index.ts'
import { startServer } from '../server.ts'
import { instanceStartMs, reclaimNoticeMs } from '../timings.ts'
import { listOffers } from './offers.ts'
import type { Request, Response } from 'express'
import type { Backend } from '../../core/backends/index.ts'
import type { DomainId, InstanceId } from '../../core/ids/index.ts'
import type { CloudInstance, CloudStartRequest, Purchase, ReclaimNotice } from '../../core/platform/cloud/index.ts'
import type { ListenOptions } from '../server.ts'

/** The backend server that runs on an instance. */
export interface StartedBackend {
  kind: Backend['kind']
  url: string
  /** Notifies the backend server that its instance ends at the given wall-clock time. */
  notifyReclaim?: (goneAtMs: number) => Promise<void>
  close: () => Promise<void>
}

/** Refuses the starts that match all given fields. */
export interface RefusalRule {
  domain?: string
  machineClass?: string
  purchase?: Purchase
}

export interface CloudStandInOptions extends ListenOptions {
  /** Failure domains. */
  domains?: string[]
  /** Time from a start request to a live instance. */
  startMs?: number
  /** Default time between a reclaim notice and the end of the instance. */
  noticeMs?: number
  /** Starts the backend server of an instance. */
  startBackend?: (instance: CloudInstance) => Promise<StartedBackend>
  refusals?: RefusalRule[]
  /** Whether starts and stops with an outdated fencing number are refused. */
  checksFencing?: boolean
}

/** Counts and cost since the cloud started. */
export interface CloudStats {
  started: number
  refused: number
  stopped: number
  reclaimed: number
  /** Starts and stops that were refused because of their fencing number. */
  fenced: number
  /** Cost of all instances, running or ended. */
  costMilliEuro: number
}

/** A running stand-in for the cloud. */
export interface CloudStandIn {
  url: string
  /** The current backend servers, without delay. */
  backends: () => Backend[]
  instances: () => CloudInstance[]
  /** Replaces the refusal rules; `POST /control/refusals` does the same. */
  setRefusals: (rules: RefusalRule[]) => void
  /** Reclaims one instance after a notice; `POST /control/reclaim` does the same. */
  reclaim: (instance: InstanceId, noticeMs?: number) => Promise<void>
  /** Reclaims all reclaimable instances of a failure domain after a notice. */
  reclaimDomain: (domain: DomainId, noticeMs?: number) => Promise<void>
  stats: () => CloudStats
  close: () => Promise<void>
}

interface RunningInstance {
  instance: CloudInstance
  backend: StartedBackend | undefined
  startedAtMs: number
}

const defaultDomains = ['zone-a', 'zone-b', 'zone-c']
const msPerHour = 3_600_000

export async function createCloudStandIn (options: CloudStandInOptions = {}): Promise<CloudStandIn> {
  const clock = createSystemClock()
  const closeController = new AbortController()
  const offers = listOffers(options.domains ?? defaultDomains)
  const running = new Map<InstanceId, RunningInstance>()
  const notices: ReclaimNotice[] = []
  const highestFencingNumbers = new Map<string, number>()
  const counts = { started: 0, refused: 0, stopped: 0, reclaimed: 0, fenced: 0 }
  let refusals = options.refusals ?? []
  let endedCostMilliEuro = 0

  function costOf ({ instance, startedAtMs }: RunningInstance): number {
    return instance.priceMilliEuroPerHour * (clock.wallMs() - startedAtMs) / msPerHour
  }

  /**
   * Records the fencing number of a start or stop. Returns whether the request must be refused because a later
   * holder of the team's duty has sent a higher number.
   */
  function checkFencing (team: string, fencingNumber: number): boolean {
    const highest = highestFencingNumbers.get(team) ?? 0
    if (options.checksFencing === true && fencingNumber < highest) {
      counts.fenced += 1
      return true
    }
    highestFencingNumbers.set(team, Math.max(highest, fencingNumber))
    return false
  }

  /** Starts an instance, or returns the existing one of this name; undefined when the start is refused. */
  function start (startRequest: CloudStartRequest): CloudInstance | undefined {
    const existing = [...running.values()].find(({ instance }) => instance.name === startRequest.name)
    if (existing !== undefined) return existing.instance
    const offer = offers.find(each => each.domain === startRequest.domain && each.machineClass === startRequest.machineClass && each.purchase === startRequest.purchase)
    const refused = refusals.some(rule => Object.entries(rule).every(([field, value]) => startRequest[field as keyof RefusalRule] === value))
    if (offer === undefined || refused) {
      counts.refused += 1
      return undefined
    }
    counts.started += 1
    const { fencingNumber: _, ...rest } = startRequest
    const id = toId<InstanceId>(`i-${counts.started}`)
    const instance: CloudInstance = { ...rest, id, state: 'starting', priceMilliEuroPerHour: offer.priceMilliEuroPerHour }
    const entry: RunningInstance = { instance, backend: undefined, startedAtMs: clock.wallMs() }
    running.set(id, entry)
    startInstanceBackend(entry)
    return instance
  }

  async function startInstanceBackend (entry: RunningInstance): Promise<void> {
    await clock.sleep(options.startMs ?? instanceStartMs, closeController.signal)
    if (closeController.signal.aborted || !running.has(entry.instance.id)) return
    const backend = await options.startBackend?.(entry.instance)
    entry.backend = backend
    if (entry.instance.state === 'starting') entry.instance.state = 'live'
    // The instance may have ended or been given notice while its backend server started.
    if (!running.has(entry.instance.id)) await backend?.close()
    else if (entry.instance.goneAtMs !== undefined) await backend?.notifyReclaim?.(entry.instance.goneAtMs)
  }

  async function endInstance (id: InstanceId): Promise<void> {
    const entry = running.get(id)
    if (entry === undefined) return
    running.delete(id)
    endedCostMilliEuro += costOf(entry)
    await entry.backend?.close()
  }

  async function reclaim (id: InstanceId, noticeMs = options.noticeMs ?? reclaimNoticeMs): Promise<void> {
    const entry = running.get(id)
    if (entry === undefined || entry.instance.state === 'leaving') return
    counts.reclaimed += 1
    const goneAtMs = clock.wallMs() + noticeMs
    entry.instance.state = 'leaving'
    entry.instance.goneAtMs = goneAtMs
    notices.push({ sequence: notices.length + 1, instance: id, goneAtMs })
    clock.sleep(noticeMs, closeController.signal).then(() => endInstance(id))
    await entry.backend?.notifyReclaim?.(goneAtMs)
  }

  async function reclaimDomain (domain: DomainId, noticeMs?: number): Promise<void> {
    const toReclaim = [...running.values()].filter(({ instance }) => instance.domain === domain && instance.purchase === 'reclaimable')
    await Promise.all(toReclaim.map(({ instance }) => reclaim(instance.id, noticeMs)))
  }

  function backends (): Backend[] {
    return [...running.values()].flatMap(({ instance, backend }) => backend === undefined ? [] : [toBackend(instance, backend)])
  }

  const app = express()
  app.use(express.json())
  app.get('/offers', (_request, response) => { response.json(offers) })
  app.get('/instances', (_request, response) => { response.json([...running.values()].map(({ instance }) => instance)) })
  app.get('/backends', (_request, response) => { response.json(backends()) })
  app.get('/notices', (request, response) => {
    response.json(notices.filter(({ sequence }) => sequence > Number(request.query['after'] ?? 0)))
  })
  app.post('/instances', (request: Request, response: Response) => {
    const startRequest = request.body as CloudStartRequest
    if (checkFencing(startRequest.team, startRequest.fencingNumber)) return response.status(409).json({ error: 'fenced' })
    const instance = start(startRequest)
    if (instance === undefined) return response.status(503).json({ error: 'no capacity' })
    response.json(instance)
  })
  app.delete('/instances/:id', async (request: Request, response: Response) => {
    const entry = running.get(toId<InstanceId>(String(request.params['id'])))
    if (entry === undefined) return response.status(404).json({ error: 'no such instance' })
    if (checkFencing(entry.instance.team, Number(request.query['fencingNumber'] ?? 0))) return response.status(409).json({ error: 'fenced' })
    counts.stopped += 1
    await endInstance(entry.instance.id)
    response.json({})
  })
  app.post('/control/refusals', (request, response) => {
    refusals = request.body as RefusalRule[]
    response.json({})
  })
  app.post('/control/reclaim', async (request, response) => {
    const { instance, domain, noticeMs } = request.body as { instance?: string, domain?: string, noticeMs?: number }
    if (instance !== undefined) await reclaim(toId<InstanceId>(instance), noticeMs)
    if (domain !== undefined) await reclaimDomain(toId<DomainId>(domain), noticeMs)
    response.json({})
  })
  app.get('/control/stats', (_request, response) => { response.json(stats()) })
  const server = await startServer(app, options)

  function stats (): CloudStats {
    const openCosts = [...running.values()].reduce((sum, entry) => sum + costOf(entry), 0)
    return { ...counts, costMilliEuro: endedCostMilliEuro + openCosts }
  }

  return {
    url: server.url,
    backends,
    instances: () => [...running.values()].map(({ instance }) => ({ ...instance })),
    setRefusals: rules => { refusals = rules },
    reclaim,
    reclaimDomain,
    stats,
    close: async () => {
      closeController.abort()
      await Promise.all([...running.keys()].map(endInstance))
      await server.close()
    }
  }
}

function toBackend (instance: CloudInstance, { kind, url }: StartedBackend): Backend {
  const { id, team, version, domain, machineClass, purchase, state, goneAtMs } = instance
  const backend: Backend = { id: toId(id), instance: id, team, kind, version, domain, machineClass, reclaimable: purchase === 'reclaimable', url, state }
  return goneAtMs === undefined ? backend : { ...backend, goneAtMs }
}
