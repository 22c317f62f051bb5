/** Simulates one move under traffic and a fault, from its declaration until some time after its deadline. */
import { toId } from '../../src/core/ids/index.ts'
import type { RequestId } from '../../src/core/ids/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import { planFaults } from './faults.ts'
import { drawOutcome, loadFactorAt, routes } from './outcomes.ts'
import { createMoveCluster, createDeclaration, newVersion, oldVersion, team } from './cluster.ts'
import type { AttemptObservation } from '../../src/core/moves/attempt-observation.ts'
import type { StartMoves, MoveCluster, MoveClusterNode } from './cluster.ts'
import type { TrialPlan, TrialResult } from './types.ts'

const tickMs = 100
/** Fraction of the window after which a service in trouble fails. */
const troubleStartFraction = 0.02
const membershipSettleMs = 5_000
/** Time after the deadline by which the key-value service is back and every node must know the end of the move. */
const observeAfterDeadlineMs = 90_000

interface AttemptEnd {
  atMs: number
  node: MoveClusterNode
  observation: AttemptObservation
  hasRegression: boolean
}

interface TrafficCounts {
  requests: number
  newVersionRequests: number
  regressedResponses: number
  firstRegressionAtMs: number | undefined
  lastNewVersionAtMs: number | undefined
  /** The team's requests, and those sent to the new version, until its regression was detected. */
  detection: { requests: number, newVersionRequests: number, atMs: number } | undefined
}

function soleServedVersion (node: MoveClusterNode): string | undefined {
  const { shares } = node.moves.sharesOf(team) ?? { shares: [] }
  return shares.length === 1 ? shares[0]?.version : undefined
}

/** When a node detected the regression, by its log event; the naive baseline logs none, so the end of its move counts. */
function regressionDetectedAtMs (cluster: MoveCluster): number | undefined {
  const brakeEvent = cluster.events.find(({ event }) => event === 'moveBraked')
  if (brakeEvent !== undefined) return brakeEvent.atMs
  const endTimesMs = cluster.nodes.flatMap(({ moves }) => moves.list()).flatMap(({ end }) => end?.reason === 'bad-version' ? [end.atMs] : [])
  return endTimesMs.length === 0 ? undefined : Math.min(...endTimesMs)
}

/** Runs one trial. */
export async function runTrial (plan: TrialPlan, startMoves: StartMoves): Promise<TrialResult> {
  const random = createRandom(plan.seed)
  const cluster = createMoveCluster(plan.seed, startMoves)
  const { clock } = cluster
  await clock.advance(membershipSettleMs)
  const startAtMs = clock.wallMs()
  const deadlineAtMs = startAtMs + plan.windowMs
  cluster.teams.set(team, createDeclaration({ toVersion: newVersion, deadlineAtMs }))
  const regressionStartFraction = 0.2 + 0.6 * random()
  const changes = planFaults(plan.fault, random)
  const counts: TrafficCounts = { requests: 0, newVersionRequests: 0, regressedResponses: 0, firstRegressionAtMs: undefined, lastNewVersionAtMs: undefined, detection: undefined }
  let attemptEnds: AttemptEnd[] = []
  let agreedAtDeadline = true

  function startAttempt (node: MoveClusterNode): void {
    const nowMs = clock.wallMs()
    const windowFraction = (nowMs - startAtMs) / plan.windowMs
    const { shares } = node.moves.sharesOf(team) ?? { shares: [] }
    const isNew = random() < (shares.find(({ version }) => version === newVersion)?.share ?? 0)
    const route = random() < routes[0].trafficShare ? routes[0].name : routes[1].name
    const outcome = drawOutcome(random, windowFraction, isNew ? { behavior: plan.badness, route, windowFraction, regressionStartFraction } : undefined, plan.isServiceFailing === true && windowFraction > troubleStartFraction)
    counts.requests += 1
    if (isNew && nowMs < deadlineAtMs) {
      counts.newVersionRequests += 1
      if (outcome.hasRegression) counts.regressedResponses += 1
      counts.lastNewVersionAtMs = nowMs
    }
    attemptEnds.push({
      node,
      hasRegression: isNew && outcome.hasRegression,
      atMs: nowMs + outcome.firstTokenMs + 40 * outcome.betweenTokensMs,
      observation: {
        team,
        request: toId<RequestId>(`request-${counts.requests}`),
        route,
        version: isNew ? newVersion : oldVersion,
        backend: toId('engine-0'),
        ok: outcome.ok,
        firstTokenMs: outcome.ok ? outcome.firstTokenMs : undefined,
        betweenTokensMs: outcome.ok ? outcome.betweenTokensMs : undefined
      }
    })
  }

  function sendTraffic (): void {
    const liveNodes = cluster.nodes.filter(({ isUp }) => isUp)
    const loadFactor = loadFactorAt((clock.wallMs() - startAtMs) / plan.windowMs)
    const expectedCount = plan.requestsPerSecond * loadFactor * tickMs / 1_000
    const count = Math.floor(expectedCount + random())
    for (let sent = 0; sent < count; sent += 1) {
      const node = liveNodes[Math.floor(random() * liveNodes.length)]
      if (node !== undefined) startAttempt(node)
    }
  }

  function recordDueAttemptEnds (): void {
    const nowMs = clock.wallMs()
    const due = attemptEnds.filter(({ atMs }) => atMs <= nowMs)
    if (due.length === 0) return
    attemptEnds = attemptEnds.filter(({ atMs }) => atMs > nowMs)
    for (const { node, observation, hasRegression } of due) {
      if (hasRegression) counts.firstRegressionAtMs ??= nowMs
      if (node.isUp) node.moves.recordAttempt(observation)
    }
  }

  function recordDetection (): void {
    if (counts.detection !== undefined) return
    const atMs = regressionDetectedAtMs(cluster)
    if (atMs !== undefined) counts.detection = { requests: counts.requests, newVersionRequests: counts.newVersionRequests, atMs }
  }

  while (clock.wallMs() < deadlineAtMs + observeAfterDeadlineMs) {
    const passedFraction = (clock.wallMs() - startAtMs) / plan.windowMs
    while (changes[0] !== undefined && changes[0].windowFraction <= passedFraction) changes.shift()?.apply(cluster)
    await clock.advance(tickMs)
    recordDueAttemptEnds()
    recordDetection()
    if (clock.wallMs() < deadlineAtMs) sendTraffic()
    const sinceDeadlineMs = clock.wallMs() - deadlineAtMs
    if (sinceDeadlineMs >= 0 && sinceDeadlineMs < tickMs) {
      const servedVersions = new Set(cluster.nodes.filter(({ isUp }) => isUp).map(soleServedVersion))
      agreedAtDeadline = servedVersions.size === 1 && !servedVersions.has(undefined)
    }
  }

  const liveNodes = cluster.nodes.filter(({ isUp }) => isUp)
  const end = liveNodes.flatMap(({ moves }) => moves.list()).find(record => record.end !== undefined)?.end
  const expectedVersion = end?.word === 'done' ? newVersion : oldVersion
  const agreed = agreedAtDeadline && end !== undefined && liveNodes.every(node => soleServedVersion(node) === expectedVersion)
  const keyValueCalls = cluster.keyValue.calls().total
  await cluster.close()

  const { detection, firstRegressionAtMs, lastNewVersionAtMs } = counts
  const isRegressionPlan = plan.badness !== 'good'
  const before = detection ?? { requests: counts.requests, newVersionRequests: counts.newVersionRequests }
  return {
    plan,
    word: end?.word ?? 'none',
    reason: end?.reason ?? 'none',
    agreed,
    newRequests: counts.newVersionRequests,
    badAnswers: counts.regressedResponses,
    shareBeforeShown: isRegressionPlan && before.requests > 0 ? before.newVersionRequests / before.requests : 0,
    firstBadToLastNewMs: firstRegressionAtMs === undefined || lastNewVersionAtMs === undefined ? undefined : Math.max(0, lastNewVersionAtMs - firstRegressionAtMs),
    shownToLastNewMs: detection === undefined || lastNewVersionAtMs === undefined ? undefined : Math.max(0, lastNewVersionAtMs - detection.atMs),
    keyValueCalls
  }
}
