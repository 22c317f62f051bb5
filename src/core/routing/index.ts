/**
 * Chooses a backend server for each attempt. The request's version is drawn from
 * its id, weighted by the versions' shares. The candidates are two random ones of the
 * live backend servers of that version, and two random ones of those known to have the
 * longest prefix of the prompt cached, or its affinity backend servers when there are
 * none. The one with the lowest cost, mostly the expected time to the first token, is
 * chosen. What a node knows of the others' load is late; if all nodes compared all
 * backend servers, they would choose the same ones until they learn of it. Designed for
 * many nodes whose requests together change the load of a backend server faster than
 * they learn of it.
 */
import type { Result } from 'true-myth'
import { err, ok } from 'true-myth/result'
import type { Backend } from '../backends/types.ts'
import type { AttemptId, BackendId, VersionId } from '../ids/index.ts'
import type { Refusal } from '../outcomes/index.ts'
import { candidatesOf, servesOwnTeam } from './candidates.ts'
import { candidateCostMs, expectedFirstTokenMs } from './cost.ts'
import { createAffinityHitRatios, affinityBackendCount } from './affinity-hit-ratios.ts'
import { createLoadTracker } from './load-tracker.ts'
import { isLightlyLoaded } from './measured-attempt.ts'
import { createPrefixIndex } from './prefix-index.ts'
import { tokensPerBlock } from '../backends/prompt-blocks.ts'
import type { MeasuredAttempt } from './measured-attempt.ts'
import { createRendezvous, affinityKeyOf } from './rendezvous.ts'
import { drawVersion, eligibleVersions } from './version-draw.ts'
import type { EngineProfile, PrefixPlacement, PromptBlocks, RouteChoice, RouteOutcome, RouteRequest, Router, RouterOptions } from './types.ts'

export type * from './types.ts'
export { tokensPerBlock } from '../backends/prompt-blocks.ts'
export { choosePermitted } from './permitted-choice.ts'
export type { PermittedChoice } from './permitted-choice.ts'
export { createPromptHasher } from './prompt-hasher.ts'

const defaultSubsetSize = 32
/** Number of backend servers with the cached prefix that are compared; more would let all nodes choose the same one. */
const maxComparedHolders = 2
const defaultMaxIndexEntries = 65_536
/** Fewest tokens worth fetching from another engine; computing fewer takes no longer than setting up the transfer. */
const minFetchTokens = 256
/** Cost of the network load of a transfer, as a ratio of its duration, added to the duration itself. */
const transferCostRatio = 1
/** Age up to which a sent prefix is reported to the other nodes; long enough that several reports repeat it. */
const prefixReportWindowMs = 700
/** Most prefixes in one report, so that a report fits in a datagram. */
const maxReportedPrefixes = 24
/** Delay after which the caller may retry when no backend server is live. */
const noBackendRetryMs = 2000

/** Counts the tokens of a prompt's first `count` blocks. */
function tokensOfBlocks (prompt: PromptBlocks | undefined, count: number): number {
  if (prompt?.blockTokens === undefined) return count * tokensPerBlock
  return prompt.blockTokens.slice(0, count).reduce((sum, tokens) => sum + tokens, 0)
}

/** Counts the tokens that other prompts may share. With an `affinityKey`, the last block belongs to this request alone. */
function sharedTokens (prompt: PromptBlocks | undefined): number {
  if (prompt === undefined) return 0
  return tokensOfBlocks(prompt, prompt.affinityKey === undefined ? prompt.hashes.length : prompt.hashes.length - 1)
}

/** A backend server that has a prefix of the prompt cached, and the prefix's length in tokens. */
interface PrefixSource {
  backend: Backend
  tokens: number
}

/** A possible choice and its cost. */
interface Candidate {
  choice: RouteChoice
  costMs: number
  /** Position among the affinity backend servers of the prompt; -1 for the others. */
  affinityRank: number
  measured: MeasuredAttempt
}

/** The data about an open attempt that is needed to update the affinity hit ratios when it ends, and the speed at its first event. */
interface OpenRequest {
  request: RouteRequest
  affinityRank: number
  measured: MeasuredAttempt
}

/** Creates the router of one node. */
export function createRouter (options: RouterOptions): Router {
  const { node, clock, metrics, hasher, random, profileOf } = options
  const { mayServe = servesOwnTeam } = options
  const { subsetSize = defaultSubsetSize, maxIndexEntries = defaultMaxIndexEntries } = options
  const loads = createLoadTracker()
  const index = createPrefixIndex(maxIndexEntries, { ttlMs: options.prefixTtlMs ?? Infinity, nowMs: clock.wallMs })
  const affinityHitRatios = createAffinityHitRatios()
  const rendezvous = createRendezvous(hasher)
  const openRequests = new WeakMap<RouteChoice, OpenRequest>()
  let recentPlacements: Array<PrefixPlacement & { sentAtMs: number }> = []
  const openAttempts = new Map<AttemptId, { choice: RouteChoice, openRequest: OpenRequest | undefined, sentAtMs: number }>()

  function versionsOf (request: RouteRequest): VersionId[] {
    if (request.requiredVersion !== undefined) return [request.requiredVersion]
    const drawn = drawVersion(request.request, request.shares, hasher)
    return drawn === undefined ? [] : eligibleVersions(drawn, request.shares)
  }

  function affinityBackendsOf (request: RouteRequest, live: readonly Backend[]): Backend[] {
    const key = request.prompt === undefined ? undefined : affinityKeyOf(request.prompt)
    return key === undefined ? [] : rendezvous.rank(key, live, affinityBackendCount)
  }

  function pickTwoRandom (backends: readonly Backend[]): Backend[] {
    const first = Math.floor(random() * backends.length)
    const second = (first + 1 + Math.floor(random() * (backends.length - 1))) % backends.length
    return [backends[first], backends[second]].filter(backend => backend !== undefined)
  }

  /** The backend servers to compare: all of them, or few that differ from node to node. */
  function pickCandidates (request: RouteRequest, live: readonly Backend[], holders: readonly Backend[], cachedBlocks: ReadonlyMap<BackendId, number>, affinityBackends: readonly Backend[]): Set<Backend> {
    if (request.compareAllBackends === true) return new Set([...affinityBackends, ...live])
    const mostBlocks = Math.max(0, ...cachedBlocks.values())
    const bestHolders = holders.filter(({ id }) => cachedBlocks.get(id) === mostBlocks)
    const prefixBackends = bestHolders.length === 0 ? affinityBackends : bestHolders.length <= maxComparedHolders ? bestHolders : pickTwoRandom(bestHolders)
    const always = request.isAlwaysCompared === undefined ? [] : live.filter(({ id }) => request.isAlwaysCompared?.(id))
    return new Set([...prefixBackends, ...always, ...pickTwoRandom(rendezvous.subset(node, live, subsetSize))])
  }

  function evaluateCandidate (request: RouteRequest, backend: Backend, cachedBlocks: ReadonlyMap<BackendId, number>, affinityRank: number, source: PrefixSource | undefined): Candidate {
    const { prompt } = request
    const promptTokens = prompt?.tokens ?? 0
    const estimatedTokens = affinityRank === -1 ? 0 : affinityHitRatios.ratio(request.team, affinityRank) * sharedTokens(prompt)
    const cachedTokens = tokensOfBlocks(prompt, cachedBlocks.get(backend.id) ?? 0)
    const localTokens = Math.round(Math.max(cachedTokens, estimatedTokens))
    const stated = profileOf(backend.machineClass)
    const learned = options.speeds?.profileOf(backend.id, stated)
    const profile = learned ?? stated
    const known = loads.read(backend.id, clock.wallMs())
    // The learned profile is that of this server, so this node's own ratios don't correct it again.
    const load = learned === undefined ? known : { ...known, slotMs: undefined, latencyRatio: 1 }
    const fetched = planFetch(source, backend, cachedTokens, profile)
    const expectedCachedTokens = fetched === undefined ? localTokens : fetched.tokens
    const uncachedTokens = promptTokens - expectedCachedTokens
    const firstTokenMs = expectedFirstTokenMs(load, profile, uncachedTokens) + (fetched?.durationMs ?? 0)
    const reason = cachedTokens > estimatedTokens ? 'prefix-held' : affinityRank === -1 ? 'least-cost' : 'prefix-home'
    const choice: RouteChoice = {
      backend,
      version: backend.version,
      reason: fetched === undefined ? reason : 'prefix-fetched',
      promptTokens,
      expectedCachedTokens,
      fetchFrom: fetched === undefined ? undefined : source?.backend,
      expectedFirstTokenMs: firstTokenMs,
      prefillMs: uncachedTokens * stated.prefillMsPerToken,
      requestsAhead: load.requests,
      prompt
    }
    const costMs = candidateCostMs(load, profile, firstTokenMs, uncachedTokens) + (fetched?.durationMs ?? 0) * transferCostRatio
    const isSample = options.speeds !== undefined && prompt !== undefined && request.firstTokenDeadlineAtMs !== undefined && estimatedTokens <= cachedTokens && isLightlyLoaded(load, stated, uncachedTokens)
    const sample = isSample ? { backend: backend.id, stated, tokens: uncachedTokens + load.pendingTokens, linkMs: fetched?.linkMs } : undefined
    return { choice, costMs, affinityRank, measured: { hasLearnedSpeed: learned !== undefined, sample } }
  }

  /** Plans the fetch of missing tokens from the source; undefined when it is impossible or not worth its set-up. */
  function planFetch (source: PrefixSource | undefined, backend: Backend, cachedTokens: number, { fetch }: EngineProfile): { tokens: number, durationMs: number, linkMs: number } | undefined {
    if (source === undefined || fetch === undefined || source.backend.id === backend.id) return undefined
    const missingTokens = source.tokens - cachedTokens
    if (missingTokens < minFetchTokens) return undefined
    const linkMs = missingTokens * fetch.msPerToken
    return { tokens: source.tokens, durationMs: fetch.setUpMs + linkMs, linkMs }
  }

  /** Finds the backend server with the longest cached prefix of the prompt. */
  function findPrefixSource (request: RouteRequest, live: readonly Backend[], cachedBlocks: ReadonlyMap<BackendId, number>): PrefixSource | undefined {
    let longest: PrefixSource | undefined
    for (const backend of live) {
      const tokens = tokensOfBlocks(request.prompt, cachedBlocks.get(backend.id) ?? 0)
      if (tokens > (longest?.tokens ?? 0)) longest = { backend, tokens }
    }
    return longest
  }

  function chooseCheapest (request: RouteRequest, live: readonly Backend[]): Candidate | undefined {
    const affinityBackends = affinityBackendsOf(request, live)
    const cachedBlocks = request.prompt === undefined ? new Map<BackendId, number>() : index.cachedBlocks(request.prompt.hashes)
    const holders = cachedBlocks.size === 0 ? [] : live.filter(backend => cachedBlocks.has(backend.id))
    const considered = pickCandidates(request, live, holders, cachedBlocks, affinityBackends)
    const source = findPrefixSource(request, holders, cachedBlocks)
    return cheapestOf([...considered].map(backend => evaluateCandidate(request, backend, cachedBlocks, affinityBackends.indexOf(backend), source)))
  }

  function cheapestOf (all: readonly Candidate[]): Candidate | undefined {
    return all.reduce<Candidate | undefined>((known, candidate) => {
      return known === undefined || candidate.costMs < known.costMs ? candidate : known
    }, undefined)
  }

  function refuse (reason: 'no-backend' | 'deadline-unreachable', waitMs: number): Result<RouteChoice, Refusal> {
    metrics.countRefusal(reason)
    const detail = reason === 'no-backend'
      ? 'No backend server of the version is live.'
      : 'No backend server can answer by the deadline.'
    return err({ reason, run: 'not-run', retryAtMs: clock.wallMs() + Math.ceil(waitMs), detail })
  }

  /**
   * A request that would meet its target on an idle backend server is refused while
   * others keep it from that. One whose own prompt takes longer than the target
   * would be refused whenever it comes back, so it is served late.
   */
  function latestFirstTokenAtMs ({ deadlineAtMs, firstTokenDeadlineAtMs = deadlineAtMs }: RouteRequest, { prefillMs }: RouteChoice): number {
    return clock.wallMs() + prefillMs > firstTokenDeadlineAtMs ? deadlineAtMs : Math.min(deadlineAtMs, firstTokenDeadlineAtMs)
  }

  /** Time by which the choice would miss the latest acceptable first token; 0 or less if it is in time. */
  function latenessMs (request: RouteRequest, choice: RouteChoice): number {
    return clock.wallMs() + choice.expectedFirstTokenMs - latestFirstTokenAtMs(request, choice)
  }

  /** Chooses the cheapest candidate. When none of a few is in time, all backend servers are compared, so that no request is refused while one is free. */
  function chooseInTime (request: RouteRequest, live: readonly Backend[]): Candidate | undefined {
    const chosen = chooseCheapest(request, live)
    const isFinal = chosen === undefined || request.compareAllBackends === true || latenessMs(request, chosen.choice) <= 0
    return isFinal ? chosen : chooseCheapest({ ...request, compareAllBackends: true }, live)
  }

  function choose (request: RouteRequest, backends: readonly Backend[]): Result<RouteChoice, Refusal> {
    for (const version of versionsOf(request)) {
      const live = candidatesOf(request, version, backends, mayServe)
      const chosen = chooseInTime(request, live)
      if (chosen === undefined) continue
      const { choice, affinityRank, measured } = chosen
      const lateMs = latenessMs(request, choice)
      if (lateMs > 0) return refuse('deadline-unreachable', lateMs)
      metrics.count('routed_total', { reason: choice.reason })
      openRequests.set(choice, { request, affinityRank, measured })
      return ok(choice)
    }
    return refuse('no-backend', noBackendRetryMs)
  }

  function onAttemptSent (attempt: AttemptId, choice: RouteChoice): void {
    const uncachedTokens = choice.promptTokens - choice.expectedCachedTokens
    const openRequest = openRequests.get(choice)
    loads.recordSent(attempt, choice.backend.id, uncachedTokens, openRequest?.measured.hasLearnedSpeed === true ? undefined : choice.expectedFirstTokenMs, clock.wallMs())
    openAttempts.set(attempt, { choice, openRequest, sentAtMs: clock.monotonicMs() })
    if (choice.prompt === undefined) return
    index.record(choice.backend.id, choice.prompt.hashes)
    if (choice.prompt.affinityKey !== undefined && choice.prompt.hashes.length > 1) {
      const hashes = choice.prompt.hashes.slice(0, -1)
      recentPlacements = [...recentPlacements, { backend: choice.backend.id, hashes, sentAtMs: clock.monotonicMs() }].slice(-maxReportedPrefixes)
    }
  }

  function recentPrefixes (): PrefixPlacement[] {
    const oldestSentAtMs = clock.monotonicMs() - prefixReportWindowMs
    recentPlacements = recentPlacements.filter(({ sentAtMs }) => sentAtMs >= oldestSentAtMs)
    return recentPlacements.map(({ backend, hashes }) => ({ backend, hashes }))
  }

  function onFirstEvent (attempt: AttemptId): void {
    const open = openAttempts.get(attempt)
    const sample = open?.openRequest?.measured.sample
    if (open !== undefined && sample !== undefined) options.speeds?.record({ ...sample, measuredMs: clock.monotonicMs() - open.sentAtMs })
  }

  function onAttemptEnded (attempt: AttemptId, outcome: RouteOutcome): void {
    const ended = openAttempts.get(attempt)
    openAttempts.delete(attempt)
    if (outcome.eventGaps !== undefined && ended !== undefined) {
      const { backend } = ended.choice
      options.speeds?.recordPace({ backend: backend.id, stated: profileOf(backend.machineClass), gaps: outcome.eventGaps.count, sumMs: outcome.eventGaps.sumMs })
    }
    loads.recordEnded(attempt, !outcome.ok && outcome.attributedToBackend !== false, clock.wallMs())
    if (ended?.openRequest === undefined || ended.choice.reason !== 'prefix-home') return
    const { cachedTokens, promptTokens } = outcome
    if (cachedTokens === undefined || promptTokens === undefined || promptTokens === 0) return
    affinityHitRatios.record(ended.openRequest.request.team, ended.openRequest.affinityRank, cachedTokens / promptTokens)
  }

  function removeBackend (backend: BackendId): void {
    loads.removeBackend(backend)
    index.removeBackend(backend)
  }

  return {
    choose,
    onAttemptSent,
    onFirstToken: attempt => loads.recordFirstToken(attempt, clock.wallMs()),
    onFirstEvent,
    onAttemptEnded,
    onLoadReport: report => loads.recordReport(report),
    onPeerLoad: loads.setPeerLoads,
    localLoads: loads.localLoads,
    recentPrefixes,
    onPeerPrefixes: placements => {
      for (const { backend, hashes } of placements) index.record(backend, hashes)
    },
    onCacheEvents: (backend, events) => {
      if (!index.applyEvents(backend, events)) metrics.count('cache_event_gaps_total')
    },
    removeBackend,
    close: () => openAttempts.clear()
  }
}
