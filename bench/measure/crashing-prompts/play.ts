/** Nodes with their quarantines in front of model engines, some of which crash on prompts with one part; on a manual clock, without a network. */
import { createManualClock } from '../../../src/core/clock/index.ts'
import { toId } from '../../../src/core/ids/index.ts'
import { createSilentLog } from '../../../src/core/log/index.ts'
import { createMetrics } from '../../../src/core/metrics/index.ts'
import { createQuarantine } from '../../../src/core/quarantine/index.ts'
import { createRandom } from '../../../src/core/random/index.ts'
import { exponential, weighted } from '../random-draws.ts'
import type { AttemptId, BackendId, NodeId, PromptPartId } from '../../../src/core/ids/index.ts'
import type { Quarantine, QuarantineRecord } from '../../../src/core/quarantine/index.ts'

/** What happens beside the requests that crash engines. */
export type Trouble = 'none' | 'domain-crash' | 'resets' | 'roll-out'

/** The size of a fleet and its sound load. */
export interface Fleet {
  nodes: number
  engines: number
  soundPerSecond: number
}

/** One play. */
export interface CrashScenario extends Fleet {
  crashingPerSecond: number
  trouble: Trouble
  forMs: number
  seed: number
  /** Without it, every request is sent and sent once more after a crash, as before. */
  usesQuarantine: boolean
  /** Probability that an engine crashes on a prompt with the part; 1 by default. */
  crashProbability?: number
}

/** What became of a play. */
export interface CrashResult {
  /** Crashes caused by the part. */
  crashes: number
  /** Requests with the part that reached engines later than 3 s after the fifth of these crashes. */
  lateRequests: number
  /** Time from the first crash until all nodes refuse the part; undefined if they never do. */
  refusedByAllAfterMs: number | undefined
  /** Quarantined combinations without the part that crashes engines. */
  soundQuarantined: number
  /** Share of the sound requests with the same first part that were answered at the first attempt from 6 s after the fifth crash, or the last one, on. */
  soundAnsweredRatio: number
  /** The same before the first request that crashes an engine. */
  soundAnsweredBeforeRatio: number
}

interface OpenAttempt {
  node: number
  request: Request
  engine: Engine
  startsAtMs: number
  /** Wall time of the first event or of the crash. */
  dueAtMs: number
  hasStarted: boolean
  hasEvents: boolean
  endsAtMs: number
}

interface Request {
  id: string
  parts: PromptPartId[]
  isCrashing: boolean
  sharesFirstPart: boolean
  arrivedAtMs: number
  attempts: number
  hasCrashedEngine: boolean
}

interface Engine {
  index: number
  id: BackendId
  domain: number
  startedAtMs: number
  upFromMs: number
  /** Share of its attempts whose connection is reset. */
  resetRatio: number
}

const service = 'models'
const tickMs = 10
const reportIntervalMs = 200
/** From this number of nodes on, reports go through one collector, as in the product. */
const minCollectorNodes = 16
const crashingPart = toId<PromptPartId>('crashing')
const firstParts = Array.from({ length: 20 }, (_, index) => toId<PromptPartId>(`system-${index}`))
const firstPartWeights = firstParts.map((_, index) => 1 / (index + 1))
const sharedFirstPart = 2
const documentCount = 200
const troubleAtMs = 6_000
const crashingFromMs = 5_000
const contactMs = 3_000

/** A sound request with the same first part as most of the crashing ones. */
interface CountedRequest {
  arrivedAtMs: number
  isAnsweredFirst: boolean
}

/** Plays the scenario. */
export async function playCrashingPrompts (scenario: CrashScenario): Promise<CrashResult> {
  const { nodes: nodeCount, engines: engineCount, forMs, trouble, crashProbability = 1 } = scenario
  const random = createRandom(scenario.seed)
  const clock = createManualClock(1_000_000)
  const startMs = clock.wallMs()
  const usesCollector = nodeCount >= minCollectorNodes
  const engines: Engine[] = Array.from({ length: engineCount }, (_, index) => ({ index, id: toId<BackendId>(`i-${index}-0`), domain: index % 3, startedAtMs: 0, upFromMs: 0, resetRatio: 0 }))
  const nodes: Quarantine[] = Array.from({ length: nodeCount }, (_, index) => createQuarantine({
    clock, log: createSilentLog(), metrics: createMetrics(), random, nodeCount: () => nodeCount, reportDelayMs: () => usesCollector ? 500 : 300, isDeciding: () => !usesCollector || index === 0, claimTrial: async () => false
  }))
  const names = nodes.map((_, index) => toId<NodeId>(`node-${index}`))
  const open = new Set<OpenAttempt>()
  const crashTimesMs: number[] = []
  const crashingSentAtMs: number[] = []
  const counted: CountedRequest[] = []
  const countedByRequest = new WeakMap<Request, CountedRequest>()
  let incarnation = 0
  let refusedByAllAtMs: number | undefined

  function restartLater (engine: Engine): void {
    incarnation += 1
    engine.id = toId<BackendId>(`i-${engine.index}-${incarnation}`)
    engine.upFromMs = clock.wallMs() + 1_500 + random() * 2_500
    engine.startedAtMs = engine.upFromMs
  }

  /** Ends all attempts on an engine; `isCrash` is false for a planned stop, which the nodes know of. */
  function endAll (engine: Engine, isCrash: boolean): void {
    const ended = [...open].filter(attempt => attempt.engine === engine)
    const { id, startedAtMs } = engine
    restartLater(engine)
    for (const attempt of ended) {
      open.delete(attempt)
      const { request, node, hasStarted, hasEvents } = attempt
      if (!hasEvents && isCrash) {
        request.hasCrashedEngine = true
        if (scenario.usesQuarantine) nodes[node]?.recordCrash({ attempt: toId<AttemptId>(`${request.id}/${request.attempts}`), service, backend: id, backendStartedAtMs: startedAtMs, features: request.parts, hasStarted, inProgress: 1, crashedAtMs: clock.wallMs() })
      }
      if (!hasEvents) retry(node, request)
    }
  }

  function retry (node: number, request: Request): void {
    if (request.attempts < 2) send(node, request)
  }

  async function send (node: number, request: Request): Promise<void> {
    const admittance = scenario.usesQuarantine
      ? await nodes[node]!.admit({ service, features: request.parts, isRetryAfterCrash: request.hasCrashedEngine, liveBackends: () => [], signal: AbortSignal.timeout(60_000) })
      : { kind: 'admitted' as const, release: () => {} }
    const up = engines.filter(({ upFromMs }) => upFromMs <= clock.wallMs())
    const engine = up[Math.floor(random() * up.length)]
    if (admittance.kind === 'refused') return
    if (engine === undefined) return admittance.release()
    request.attempts += 1
    const nowMs = clock.wallMs()
    const startsAtMs = nowMs + 40 + exponential(random, 120)
    const dueAtMs = startsAtMs + (request.isCrashing ? 70 + 30 * random() : 20 + 20 * random())
    if (request.isCrashing) crashingSentAtMs.push(nowMs)
    open.add({ node, request, engine, startsAtMs, dueAtMs, hasStarted: false, hasEvents: false, endsAtMs: dueAtMs + 200 + exponential(random, 400) })
    // The trial ends with the attempt; a suspected one that is answered ends with its first event here.
    if (scenario.usesQuarantine) clock.sleep(dueAtMs - nowMs).then(() => admittance.release())
  }

  function arrive (isCrashing: boolean, atMs: number): void {
    const first = isCrashing ? sharedFirstPart : weighted(random, firstPartWeights)
    const second = isCrashing ? crashingPart : toId<PromptPartId>(`document-${Math.floor(random() * documentCount)}`)
    // A crashing prompt comes with the same first part most of the time.
    const firstPart = isCrashing && random() < 0.3 ? firstParts[Math.floor(random() * 5)]! : firstParts[first]!
    const request = { id: `r-${atMs}-${random()}`, parts: [firstPart, second], isCrashing, sharesFirstPart: first === sharedFirstPart, arrivedAtMs: atMs, attempts: 0, hasCrashedEngine: false }
    if (!isCrashing && request.sharesFirstPart) {
      const count = { arrivedAtMs: atMs, isAnsweredFirst: false }
      counted.push(count)
      countedByRequest.set(request, count)
    }
    send(Math.floor(random() * nodeCount), request)
  }

  function progress (): void {
    const nowMs = clock.wallMs()
    for (const attempt of open) {
      const { request, engine, node } = attempt
      if (!open.has(attempt)) continue
      attempt.hasStarted ||= nowMs >= attempt.startsAtMs
      if (!attempt.hasEvents && nowMs >= attempt.dueAtMs) {
        if (request.isCrashing && random() < crashProbability) {
          crashTimesMs.push(nowMs)
          endAll(engine, true)
          continue
        }
        if (random() < engine.resetRatio) {
          open.delete(attempt)
          retry(node, request)
          continue
        }
        attempt.hasEvents = true
        if (scenario.usesQuarantine) nodes[node]?.recordAnswer(service, request.parts)
        const count = countedByRequest.get(request)
        if (count !== undefined && request.attempts === 1) count.isAnsweredFirst = true
      }
      if (nowMs >= attempt.endsAtMs) open.delete(attempt)
    }
  }

  function exchange (): void {
    if (usesCollector) {
      for (let index = 1; index < nodeCount; index += 1) nodes[0]?.merge(names[index]!, nodes[index]!.report())
      for (let index = 1; index < nodeCount; index += 1) nodes[index]?.merge(names[0]!, nodes[0]!.digestFor(names[index]!))
    } else {
      const reports = nodes.map(node => node.report())
      for (const [from, report] of reports.entries()) for (const [to, node] of nodes.entries()) if (from !== to) node.merge(names[from]!, report)
    }
  }

  function beginTrouble (): void {
    if (trouble === 'domain-crash') for (const engine of engines) if (engine.domain === 0) endAll(engine, true)
    if (trouble === 'roll-out') for (const engine of engines) if (engine.domain === 1) endAll(engine, false)
    if (trouble === 'resets') for (const engine of engines) if (engine.index % 3 === 0) engine.resetRatio = 0.4
  }

  let nextSoundMs = 0
  let nextCrashingMs = crashingFromMs
  for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += tickMs) {
    while (nextSoundMs <= elapsedMs) {
      arrive(false, startMs + nextSoundMs)
      nextSoundMs += exponential(random, 1_000 / scenario.soundPerSecond)
    }
    while (nextCrashingMs <= elapsedMs) {
      arrive(true, startMs + nextCrashingMs)
      nextCrashingMs += exponential(random, 1_000 / scenario.crashingPerSecond)
    }
    if (elapsedMs === troubleAtMs) beginTrouble()
    progress()
    if (scenario.usesQuarantine && elapsedMs % reportIntervalMs === 0) exchange()
    const isRefused = refusedByAllAtMs === undefined && crashTimesMs.length > 0 && nodes.every((node, index) => node.find(service, [firstParts[index % 5]!, crashingPart]) !== undefined)
    if (isRefused) refusedByAllAtMs = clock.wallMs()
    await clock.advance(tickMs)
  }
  return summarize()

  function summarize (): CrashResult {
    const fifthMs = crashTimesMs[4] ?? Infinity
    const countFromMs = (crashTimesMs[4] ?? crashTimesMs.at(-1) ?? Infinity) + 2 * contactMs
    // A request that came shortly before the end may still wait for its answer.
    const latestMs = startMs + forMs - 1_000
    const records = new Map(nodes.flatMap(node => node.records()).map((record: QuarantineRecord) => [record.features.join(), record]))
    return {
      crashes: crashTimesMs.length,
      lateRequests: crashingSentAtMs.filter(atMs => atMs > fifthMs + contactMs).length,
      refusedByAllAfterMs: refusedByAllAtMs === undefined ? undefined : refusedByAllAtMs - crashTimesMs[0]!,
      soundQuarantined: [...records.values()].filter(({ features }) => !features.includes(crashingPart)).length,
      soundAnsweredRatio: answeredRatio(counted.filter(({ arrivedAtMs }) => arrivedAtMs > countFromMs && arrivedAtMs < latestMs)),
      soundAnsweredBeforeRatio: answeredRatio(counted.filter(({ arrivedAtMs }) => arrivedAtMs < startMs + crashingFromMs - 1_000))
    }
  }
}

/** Share of the requests that were answered at their first attempt; not a number without any. */
function answeredRatio (requests: readonly CountedRequest[]): number {
  return requests.length === 0 ? NaN : requests.filter(({ isAnsweredFirst }) => isAnsweredFirst).length / requests.length
}
