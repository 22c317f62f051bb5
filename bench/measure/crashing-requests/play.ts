/** Nodes with their quarantines in front of the servers of one plain service, which crash under one request that comes again and again; on a manual clock, without a network. */
import { createManualClock } from '../../../src/core/clock/index.ts'
import { toId } from '../../../src/core/ids/index.ts'
import { createRandom } from '../../../src/core/random/index.ts'
import { exponential } from '../random-draws.ts'
import { createPolicy } from './policies.ts'
import type { AttemptId, BackendId, RequestDigest } from '../../../src/core/ids/index.ts'
import type { PolicyName } from './policies.ts'

/** What happens beside the request that crashes servers. */
export type Trouble = 'none' | 'domain-crash' | 'resets' | 'roll-out' | 'hot-request' | 'eager-callers'

/** One play. */
export interface CrashScenario {
  nodes: number
  servers: number
  /** Repeats of the request a second, over all nodes or at one. */
  crashingPerSecond: number
  isAtOneNode: boolean
  /** Mean number of sound requests in progress on a server. */
  soundInProgress: number
  trouble: Trouble
  forMs: number
  seed: number
  policy: PolicyName
}

/** What became of a play. */
export interface CrashResult {
  /** Crashes that the request caused. */
  crashes: number
  /** Its attempts that reached servers later than 3 s after the third of these crashes. */
  lateAttempts: number
  /** Time from the first crash until all nodes refuse it; undefined if they never do. */
  refusedByAllAfterMs: number | undefined
  /** Sound requests that are quarantined, and attempts of sound ones that were refused as suspected or quarantined. */
  soundQuarantined: number
  soundRefused: number
  /** Share of the sound requests since the first crash that were answered. */
  soundAnsweredRatio: number
  /** Time in which no server of the service was up. */
  downMs: number
}

interface Request {
  digest: RequestDigest
  isCrashing: boolean
  /** Attempts of its caller that are left. */
  callerAttempts: number
  count: { isAnswered: boolean, arrivedAtMs: number } | undefined
}

interface Attempt {
  id: string
  node: number
  request: Request
  server: Server
  sentCount: number
  dueAtMs: number
}

interface Server {
  index: number
  id: BackendId
  startedAtMs: number
  upFromMs: number
  resetRatio: number
}

const tickMs = 10
const reportIntervalMs = 200
const meanRunMs = 200
const crashAfterMs = 30
const restartMs = 4_000
const contactMs = 3_000
const crashingFromMs = 2_000
const troubleAfterMs = 500
const maxAttempts = 2
const callerAttempts = 3
const hotPerSecond = 20
const crashingDigest = toId<RequestDigest>('request:crashing')
const hotDigest = toId<RequestDigest>('request:hot')

/** Plays the scenario. */
export async function playCrashingRequests (scenario: CrashScenario): Promise<CrashResult> {
  const { nodes: nodeCount, forMs, trouble } = scenario
  const random = createRandom(scenario.seed)
  const clock = createManualClock(1_000_000)
  const startMs = clock.wallMs()
  const policy = createPolicy(scenario.policy, { clock, random, nodeCount })
  const servers: Server[] = Array.from({ length: scenario.servers }, (_, index) => ({ index, id: toId<BackendId>(`i-${index}-0`), startedAtMs: startMs, upFromMs: 0, resetRatio: 0 }))
  const open = new Set<Attempt>()
  const crashTimesMs: number[] = []
  const crashingSentAtMs: number[] = []
  const counts: Array<NonNullable<Request['count']>> = []
  let soundRefused = 0
  let refusedByAllAtMs: number | undefined
  let downMs = 0
  let serial = 0

  const live = (): Server[] => servers.filter(({ upFromMs }) => upFromMs <= clock.wallMs())

  function endAll (server: Server, isCrash: boolean): void {
    const ended = [...open].filter(attempt => attempt.server === server)
    const { id, startedAtMs } = server
    serial += 1
    server.id = toId<BackendId>(`i-${server.index}-${serial}`)
    server.upFromMs = clock.wallMs() + restartMs
    server.startedAtMs = server.upFromMs
    for (const attempt of ended) {
      open.delete(attempt)
      if (isCrash) {
        policy.recordCrash(attempt.node, { attempt: toId<AttemptId>(attempt.id), service: 'service', backend: id, backendStartedAtMs: startedAtMs, features: [attempt.request.digest], hasStarted: true, inProgress: ended.length, crashedAtMs: clock.wallMs() })
      }
    }
    // A crash is reported before the retries, as the probe takes a round trip.
    for (const attempt of ended) retry(attempt, isCrash)
  }

  function retry ({ node, request, sentCount }: Attempt, hasCrashed: boolean): void {
    if (sentCount < maxAttempts) send(node, request, sentCount, hasCrashed)
    else callAgain(request)
  }

  /** The caller repeats a request that failed, at another node. */
  function callAgain (request: Request): void {
    request.callerAttempts -= 1
    if (request.callerAttempts > 0 && trouble === 'eager-callers' && !request.isCrashing) send(Math.floor(random() * nodeCount), request, 0, false)
  }

  async function send (node: number, request: Request, sentCount: number, isRetryAfterCrash: boolean): Promise<void> {
    const admittance = await policy.admit(node, { service: 'service', features: [request.digest], isRetryAfterCrash, liveBackends: live, signal: AbortSignal.timeout(60_000) })
    if (admittance.kind === 'refused') {
      if (!request.isCrashing) soundRefused += 1
      return callAgain(request)
    }
    const up = live()
    const server = up[Math.floor(random() * up.length)]
    if (server === undefined) return admittance.release()
    const nowMs = clock.wallMs()
    serial += 1
    if (request.isCrashing) crashingSentAtMs.push(nowMs)
    const attempt = { id: `a-${serial}`, node, request, server, sentCount: sentCount + 1, dueAtMs: nowMs + (request.isCrashing ? crashAfterMs : exponential(random, meanRunMs)) }
    open.add(attempt)
    while (open.has(attempt)) await clock.sleep(tickMs)
    admittance.release()
  }

  function progress (): void {
    for (const attempt of open) {
      if (!open.has(attempt) || clock.wallMs() < attempt.dueAtMs) continue
      const { request, server, node } = attempt
      if (request.isCrashing) {
        crashTimesMs.push(clock.wallMs())
        endAll(server, true)
        continue
      }
      open.delete(attempt)
      if (random() < server.resetRatio) retry(attempt, false)
      else {
        policy.recordAnswer(node, request.digest)
        if (request.count !== undefined) request.count.isAnswered = true
      }
    }
  }

  function arriveSound (digest: RequestDigest): void {
    const count = { isAnswered: false, arrivedAtMs: clock.wallMs() }
    counts.push(count)
    send(Math.floor(random() * nodeCount), { digest, isCrashing: false, callerAttempts, count }, 0, false)
  }

  function beginTrouble (): void {
    if (trouble === 'domain-crash') for (const server of servers) if (server.index % 3 === 0) endAll(server, true)
    if (trouble === 'roll-out') for (const server of servers) if (server.index % 3 === 1) endAll(server, false)
    if (trouble === 'resets') for (const server of servers) if (server.index % 3 === 0) server.resetRatio = 0.4
  }

  const soundPerSecond = scenario.soundInProgress * scenario.servers / (meanRunMs / 1_000)
  let nextSoundMs = soundPerSecond === 0 ? Infinity : 0
  let nextHotMs = trouble === 'hot-request' ? 0 : Infinity
  let nextCrashingMs = crashingFromMs
  for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += tickMs) {
    for (; nextSoundMs <= elapsedMs; nextSoundMs += exponential(random, 1_000 / soundPerSecond)) arriveSound(toId<RequestDigest>(`request:sound-${serial += 1}`))
    for (; nextHotMs <= elapsedMs; nextHotMs += exponential(random, 1_000 / hotPerSecond)) arriveSound(hotDigest)
    for (; nextCrashingMs <= elapsedMs; nextCrashingMs += exponential(random, 1_000 / scenario.crashingPerSecond)) {
      send(scenario.isAtOneNode ? 0 : Math.floor(random() * nodeCount), { digest: crashingDigest, isCrashing: true, callerAttempts: 1, count: undefined }, 0, false)
    }
    if (elapsedMs === crashingFromMs + troubleAfterMs) beginTrouble()
    progress()
    policy.exchange(elapsedMs % reportIntervalMs === 0)
    if (live().length === 0) downMs += tickMs
    if (refusedByAllAtMs === undefined && crashTimesMs.length > 0 && policy.isRefusedByAll(crashingDigest)) refusedByAllAtMs = clock.wallMs()
    await clock.advance(tickMs)
  }
  const thirdMs = crashTimesMs[2] ?? Infinity
  const latestMs = startMs + forMs - 2_000
  const counted = counts.filter(({ arrivedAtMs }) => arrivedAtMs >= (crashTimesMs[0] ?? Infinity) && arrivedAtMs < latestMs)
  return {
    crashes: crashTimesMs.length,
    lateAttempts: crashingSentAtMs.filter(atMs => atMs > thirdMs + contactMs).length,
    refusedByAllAfterMs: refusedByAllAtMs === undefined ? undefined : refusedByAllAtMs - crashTimesMs[0]!,
    soundQuarantined: policy.quarantined().filter(digest => digest !== crashingDigest).length,
    soundRefused,
    soundAnsweredRatio: counted.length === 0 ? NaN : counted.filter(({ isAnswered }) => isAnswered).length / counted.length,
    downMs
  }
}
