/**
 * Plays prompts through the routers of many nodes, which learn of each other's load
 * and placements through a collector and therefore late. No network is involved.
 */
import { setMaxListeners } from 'node:events'
import { createBackendSpeeds } from '../../../src/core/backend-speeds/index.ts'
import { createMetrics } from '../../../src/core/metrics/index.ts'
import { createActivityTotals } from '../../../src/core/node-reports/index.ts'
import { createRandom } from '../../../src/core/random/index.ts'
import { createRouter } from '../../../src/core/routing/index.ts'
import { toId } from '../../../src/core/ids/index.ts'
import { exponential } from '../random-draws.ts'
import { createVirtualClock } from '../virtual-clock.ts'
import { createBatchEngine } from './batch-engine.ts'
import { drawRequests } from './workload.ts'
import type { Backend } from '../../../src/core/backends/types.ts'
import type { AttemptId, BackendId, DomainId, InstanceId, NodeId, RequestId, TeamId, VersionId } from '../../../src/core/ids/index.ts'
import type { EngineProfile, PromptHasher, Router, RouterOptions, RouteRequest } from '../../../src/core/routing/index.ts'
import type { BatchEngine, BatchEngineProfile } from './batch-engine.ts'
import type { PlacedRequest } from './workload.ts'

/** Options of one play. */
export interface PlacementOptions {
  nodes: number
  engines: number
  engine: BatchEngineProfile
  /** Interval of each node's report to the collector, which answers with the totals. */
  reportIntervalMs: number
  load: number
  seconds: number
  seed: number
  hasher: PromptHasher
  /** Engines that are this many times slower in the second half. */
  slowEngines: { count: number, factor: number }
  /** Engines whose steps and prefills always take this many times as long, by index. */
  slowdownOf?: (index: number) => number
  /** Short periods in which a random engine is slower. */
  slowPeriods?: { perSecond: number, durationMs: number, factor: number }
  /** Whether the nodes learn the speeds of the engines together. */
  learnsSpeeds?: boolean
  /** What the routers assume of engines, instead of their true figures; with it, they compare few of them. */
  assumed?: EngineProfile
  create?: (options: RouterOptions) => Router
  /** Changes each request to the router, for comparisons. */
  adapt?: (request: RouteRequest) => RouteRequest
}

/** What callers got, by kind of request and in total. */
export interface PlacementResult {
  offered: number
  inTimeRatio: number
  lateRatio: number
  refusedRatio: number
  inTimeByKind: Record<string, number>
  /** Prompt tokens that were prefilled again although some engine had them, of all prefilled. */
  againRatio: number
  /** Largest number of requests at one engine relative to the mean. */
  busiestRatio: number
  /** Prompt tokens that each engine prefilled. */
  prefilledByEngine: number[]
}

interface CallerRecord {
  kind: string
  outcome: 'in-time' | 'late' | 'refused'
}

const team = toId<TeamId>('drafting')
const version = toId<VersionId>('v1')
const collector = toId<NodeId>('collector')
/** Time for which callers wait at most before they repeat a refused request once. */
const maxRetryAfterRatio = 1 / 3

function toBackend (index: number): Backend {
  return {
    id: toId<BackendId>(`engine-${index}`),
    instance: toId<InstanceId>(`i-${index}`),
    team,
    kind: 'model-engine',
    version,
    domain: toId<DomainId>(`domain-${index % 5}`),
    machineClass: 'engine',
    reclaimable: true,
    url: '',
    state: 'live'
  }
}

function toProfile ({ prefillTokensPerMs, slots, fetchMsPerToken, fetchSetUpMs }: BatchEngineProfile): EngineProfile {
  // Steps of running requests take a fifth of an engine's time.
  return { prefillMsPerToken: 1 / (prefillTokensPerMs * 0.8), slots, slotMs: 600, fetch: { setUpMs: fetchSetUpMs, msPerToken: fetchMsPerToken } }
}

/** Plays one case and sums up what callers got. */
export async function playPlacement (options: PlacementOptions): Promise<PlacementResult> {
  const { create = createRouter, adapt = (request: RouteRequest) => request } = options
  const clock = createVirtualClock()
  const knownParts = new Set<string>()
  const backends = Array.from({ length: options.engines }, (_, index) => toBackend(index))
  const engines = new Map<BackendId, BatchEngine>(backends.map(({ id }) => [id, createBatchEngine(clock, options.engine, knownParts)]))
  const slowdownOf = (index: number): number => options.slowdownOf?.(index) ?? 1
  for (const [index, { id }] of backends.entries()) engines.get(id)?.setSlowdown(slowdownOf(index))
  const profile = options.assumed ?? toProfile(options.engine)
  const totals = createActivityTotals({ clock, maxPrefixes: () => 64 })
  const stopped = new AbortController()
  // Every node waits on this signal.
  setMaxListeners(options.nodes + 1, stopped.signal)
  const arrivalsByEngine = new Map<BackendId, number>()
  const metrics = createMetrics()
  const speeds = Array.from({ length: options.nodes }, () => options.learnsSpeeds === true
    ? createBackendSpeeds({ clock, log: () => {}, metrics, backendOf: () => ({ service: 'engine', startedAtMs: 1 }), isLogging: () => false })
    : undefined)
  const routers = Array.from({ length: options.nodes }, (_, index) => create({
    node: toId<NodeId>(`node-${index}`),
    clock,
    metrics: createMetrics(),
    hasher: options.hasher,
    random: createRandom(options.seed * 1_000 + index),
    profileOf: () => profile,
    prefixTtlMs: 20_000,
    ...(options.assumed === undefined ? {} : { subsetSize: 8 }),
    ...(speeds[index] === undefined ? {} : { speeds: speeds[index] })
  }))

  async function report (router: Router, index: number): Promise<void> {
    const node = toId<NodeId>(`node-${index}`)
    await clock.sleep(index * options.reportIntervalMs / options.nodes, stopped.signal)
    while (!stopped.signal.aborted) {
      totals.record(node, 'boot', { quotaUsage: new Map(), loads: router.localLoads(), prefixes: router.recentPrefixes(), suspects: new Map(), speeds: speeds[index]?.report() })
      const { loads, prefixes, speeds: measured } = totals.totalsExcept(node)
      if (measured !== undefined) speeds[index]?.merge(collector, measured)
      router.onPeerLoad(collector, loads)
      router.onPeerPrefixes(prefixes)
      await clock.sleep(options.reportIntervalMs, stopped.signal)
    }
  }

  async function slowDownAtRandom (): Promise<void> {
    const { slowPeriods } = options
    if (slowPeriods === undefined) return
    const draw = createRandom(options.seed + 1)
    while (!stopped.signal.aborted) {
      await clock.sleep(exponential(draw, 1_000 / slowPeriods.perSecond), stopped.signal)
      const index = Math.floor(draw() * backends.length)
      const engine = engines.get(backends[index]?.id as BackendId)
      engine?.setSlowdown(slowdownOf(index) * slowPeriods.factor)
      clock.sleep(slowPeriods.durationMs).then(() => engine?.setSlowdown(slowdownOf(index)))
    }
  }

  const records: CallerRecord[] = []

  async function serve (request: PlacedRequest, number: number, random: () => number): Promise<void> {
    await clock.sleep(request.atMs)
    const sentAtMs = clock.wallMs()
    for (let attempt = 0; attempt < 2; attempt += 1) {
      const router = routers[Math.floor(random() * routers.length)] as Router
      const chosen = router.choose(adapt({
        request: toId<RequestId>(`request-${number}`),
        team,
        shares: { shares: [{ version, share: 1 }] },
        prompt: request.prompt,
        priority: 'normal',
        deadlineAtMs: sentAtMs + request.deadlineMs,
        firstTokenDeadlineAtMs: clock.wallMs() + request.targetMs,
        compareAllBackends: true,
        excluded: new Set()
      }), backends)
      if (chosen.isErr) {
        const waitMs = (chosen.error.retryAtMs ?? 0) - clock.wallMs()
        await clock.sleep(Math.min(waitMs, maxRetryAfterRatio * (sentAtMs + request.deadlineMs - clock.wallMs())))
        continue
      }
      const choice = chosen.value
      const id = toId<AttemptId>(`request-${number}/${attempt}`)
      const engine = engines.get(choice.backend.id) as BatchEngine
      arrivalsByEngine.set(choice.backend.id, (arrivalsByEngine.get(choice.backend.id) ?? 0) + 1)
      router.onAttemptSent(id, choice)
      const fetchFrom = choice.fetchFrom === undefined ? undefined : engines.get(choice.fetchFrom.id)
      let firstTokenAtMs = 0
      await engine.run({ prompt: request.prompt, answerTokens: request.answerTokens, fetchFrom }, () => {
        router.onFirstToken(id)
        router.onFirstEvent(id)
        firstTokenAtMs = clock.monotonicMs()
        records.push({ kind: request.kind, outcome: clock.wallMs() - sentAtMs <= request.targetMs ? 'in-time' : 'late' })
      })
      router.onAttemptEnded(id, { ok: true, eventGaps: { count: request.answerTokens / options.engine.tokensPerEvent, sumMs: clock.monotonicMs() - firstTokenAtMs } })
      return
    }
    records.push({ kind: request.kind, outcome: 'refused' })
  }

  for (const [index, router] of routers.entries()) report(router, index)
  const random = createRandom(options.seed)
  const requests = drawRequests(random, options.seconds, options.load)
  for (const [number, request] of requests.entries()) serve(request, number, random)
  clock.sleep(options.seconds * 500).then(() => {
    for (const { id } of backends.slice(0, options.slowEngines.count)) engines.get(id)?.setSlowdown(options.slowEngines.factor)
  })
  slowDownAtRandom()
  await clock.runUntil(options.seconds * 1_000 + 20_000)
  stopped.abort()
  return summarise(records, requests.length, [...engines.values()], backends.map(({ id }) => arrivalsByEngine.get(id) ?? 0), backends.length)
}

function summarise (records: readonly CallerRecord[], offered: number, engines: readonly BatchEngine[], arrivals: readonly number[], engineCount: number): PlacementResult {
  const ratioOf = (all: readonly CallerRecord[], outcome: CallerRecord['outcome']): number => all.filter(record => record.outcome === outcome).length / Math.max(1, all.length)
  const kinds = [...new Set(records.map(({ kind }) => kind))].sort()
  const prefilled = engines.map(engine => engine.prefilled())
  const arrivalCount = arrivals.reduce((sum, count) => sum + count, 0)
  return {
    offered,
    inTimeRatio: ratioOf(records, 'in-time'),
    lateRatio: ratioOf(records, 'late'),
    refusedRatio: ratioOf(records, 'refused'),
    inTimeByKind: Object.fromEntries(kinds.map(kind => [kind, ratioOf(records.filter(record => record.kind === kind), 'in-time')])),
    againRatio: prefilled.reduce((sum, { againTokens }) => sum + againTokens, 0) / prefilled.reduce((sum, { tokens }) => sum + tokens, 0),
    busiestRatio: Math.max(...arrivals) / (arrivalCount / engineCount),
    prefilledByEngine: prefilled.map(({ tokens }) => tokens)
  }
}
