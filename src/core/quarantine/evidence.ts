/** Crashed attempts, and how often their features were answered since, over all nodes; bounded, and forgotten after a time. */
import type { Clock } from '../clock/index.ts'
import type { AttemptId, NodeId, RequestFeature } from '../ids/index.ts'
import { createRecentAnswers } from './recent-answers.ts'
import { isRequestDigest } from './request-digest.ts'
import type { RecentAnswers } from './recent-answers.ts'
import type { AnswerCounts, CrashedAttempt } from './types.ts'

/** The evidence that a node has. */
export interface CrashEvidence {
  /** Adds an attempt of this node or of another one. */
  add: (crashed: CrashedAttempt, isOwn: boolean) => void
  /** Forgets the attempts for which a condition holds. */
  forget: (isObsolete: (crashed: CrashedAttempt) => boolean) => void
  recordAnswer: (features: readonly RequestFeature[]) => void
  setAnswered: (source: NodeId, answered: ReadonlyMap<RequestFeature, AnswerCounts>) => void
  /** Attempts that have been known for at least the given time. */
  attempts: (minAgeMs?: number) => CrashedAttempt[]
  /** Whether an attempt of the service is known. */
  hasService: (service: string) => boolean
  /** The counts of all nodes. */
  answered: (feature: RequestFeature) => AnswerCounts
  /** Attempts that a report repeats: this node's own, or for a digest all, that became known a short time ago. */
  recent: (options: { isOwnOnly: boolean, max: number }) => CrashedAttempt[]
  /** The counts of this node for a report. */
  ownAnswered: () => Map<RequestFeature, AnswerCounts>
  /** The counts of this node and all others but one, for a digest. */
  answeredExcept: (node: NodeId) => Map<RequestFeature, AnswerCounts>
  /** Changes with everything that the assessment depends on. */
  revision: () => number
  /** Number of attempts that were added so far. */
  addedCount: () => number
}

/** Time after which a crash is forgotten; a request that crashes servers may come again after minutes. */
const evidenceTtlMs = 30 * 60_000
/** Time after which only the whole request of a crashed attempt counts. Parts are in many requests, so old crashes say little about them. */
const partEvidenceTtlMs = 60_000
/** Time over which reports repeat an attempt, so that the loss of a few of them doesn't matter. */
const repeatMs = 2_000
/** Bound of what callers that send new requests or parts each time can make a node remember. */
const maxAttempts = 512
/** Attempts of one crash that are kept: those whose answer had begun, and whose request was in most crashes, first. */
const maxAttemptsPerCrash = 32
/** Maximum number of answers of one feature that are counted at one node for each crashed attempt with it; further ones need no new assessment. */
const maxAnswersPerCrash = 8

/** Limits of the counts in a report, so that it fits into a few packets: those that changed, and others in turn. */
const maxReportedCounts = 48
const countsInTurn = 4

/** Attempts on a backend server that doesn't report its start ended by the same crash if they ended in the same interval. */
const crashIntervalMs = 500

/** Name of a crash: of one start of a backend server's process. */
export function crashKey ({ service, backend, backendStartedAtMs, crashedAtMs }: CrashedAttempt): string {
  return `${service}/${backend}/${backendStartedAtMs ?? `around ${Math.floor(crashedAtMs / crashIntervalMs)}`}`
}

const noAnswers: AnswerCounts = { since: 0, before: 0 }

function sum (a: AnswerCounts, b: AnswerCounts | undefined): AnswerCounts {
  return b === undefined ? a : { since: a.since + b.since, before: a.before + b.before }
}

interface KnownAttempt {
  crashed: CrashedAttempt
  isOwn: boolean
  /** Monotonic time at which this node learned of it. */
  knownSinceMs: number
  sentCount: number
}

/** Creates empty evidence. */
export function createCrashEvidence (clock: Clock): CrashEvidence {
  const known = new Map<AttemptId, KnownAttempt>()
  /** Number of known attempts that have the feature. */
  const trackedFeatures = new Map<RequestFeature, number>()
  const own = new Map<RequestFeature, AnswerCounts>()
  const bySource = new Map<NodeId, ReadonlyMap<RequestFeature, AnswerCounts>>()
  const recentAnswers = { requests: createRecentAnswers(clock), parts: createRecentAnswers(clock) }
  /** Monotonic times of the latest changes of a feature's counts, over all nodes. */
  const countsChangedAtMs = new Map<RequestFeature, number>()
  let turn = 0
  const attemptsByCrash = new Map<string, CrashedAttempt[]>()
  let revision = 0
  let addedCount = 0

  function recentAnswersOf (feature: RequestFeature): RecentAnswers {
    return isRequestDigest(feature) ? recentAnswers.requests : recentAnswers.parts
  }

  function track (feature: RequestFeature): void {
    const count = trackedFeatures.get(feature) ?? 0
    trackedFeatures.set(feature, count + 1)
    const before = recentAnswersOf(feature).count(feature)
    if (count > 0 || before === 0) return
    own.set(feature, { since: 0, before })
    countsChangedAtMs.set(feature, clock.monotonicMs())
  }

  function untrack (features: readonly RequestFeature[]): void {
    for (const feature of features) {
      const left = (trackedFeatures.get(feature) ?? 0) - 1
      if (left > 0) trackedFeatures.set(feature, left)
      else {
        trackedFeatures.delete(feature)
        own.delete(feature)
        countsChangedAtMs.delete(feature)
      }
    }
  }

  function remove (crashed: CrashedAttempt): void {
    known.delete(crashed.attempt)
    untrack(crashed.features)
    const key = crashKey(crashed)
    const left = (attemptsByCrash.get(key) ?? []).filter(other => other !== crashed)
    if (left.length > 0) attemptsByCrash.set(key, left)
    else attemptsByCrash.delete(key)
    revision += 1
  }

  /** Number of other attempts with the same request that are known. */
  function repeatCount ({ attempt, features }: CrashedAttempt): number {
    const digest = features.find(isRequestDigest)
    return digest === undefined ? 0 : (trackedFeatures.get(digest) ?? 0) - (known.has(attempt) ? 1 : 0)
  }

  /** Removes the oldest attempt; one whose request came again only if there is no other. */
  function removeOldest (): void {
    const attempts = [...known.values()].map(({ crashed }) => crashed)
    const oldest = attempts.find(crashed => repeatCount(crashed) === 0) ?? attempts[0]
    if (oldest !== undefined) remove(oldest)
  }

  /** Makes room for an attempt of a crash; returns false if those that are kept tell more. */
  function makeRoom (crashed: CrashedAttempt): boolean {
    const others = attemptsByCrash.get(crashKey(crashed)) ?? []
    if (others.length < maxAttemptsPerCrash) return true
    const least = others.reduce((found, other) => repeatCount(other) < repeatCount(found) ? other : found)
    const replaced = crashed.hasStarted ? others.find(({ hasStarted }) => !hasStarted) ?? least : least
    if (repeatCount(replaced) >= repeatCount(crashed) && replaced.hasStarted >= crashed.hasStarted) return false
    remove(replaced)
    return true
  }

  /** Forgets the parts of an attempt and the answers to them; the whole request is remembered longer. */
  function removeParts (attempt: KnownAttempt): void {
    const { crashed } = attempt
    const digests = crashed.features.filter(isRequestDigest)
    if (digests.length === 0) return remove(crashed)
    if (digests.length === crashed.features.length) return
    untrack(crashed.features.filter(feature => !isRequestDigest(feature)))
    attempt.crashed = { ...crashed, features: digests }
    const key = crashKey(crashed)
    attemptsByCrash.set(key, (attemptsByCrash.get(key) ?? []).map(other => other === crashed ? attempt.crashed : other))
    revision += 1
  }

  function removeExpired (): void {
    const nowMs = clock.monotonicMs()
    for (const attempt of known.values()) {
      if (attempt.knownSinceMs >= nowMs - partEvidenceTtlMs) break
      if (attempt.knownSinceMs < nowMs - evidenceTtlMs) remove(attempt.crashed)
      else removeParts(attempt)
    }
    if (known.size === 0) bySource.clear()
  }

  function add (crashed: CrashedAttempt, isOwn: boolean): void {
    removeExpired()
    if (known.has(crashed.attempt) || crashed.features.length === 0 || !makeRoom(crashed)) return
    known.set(crashed.attempt, { crashed, isOwn, knownSinceMs: clock.monotonicMs(), sentCount: 0 })
    attemptsByCrash.set(crashKey(crashed), [...attemptsByCrash.get(crashKey(crashed)) ?? [], crashed])
    for (const feature of crashed.features) track(feature)
    if (known.size > maxAttempts) removeOldest()
    addedCount += 1
    revision += 1
  }

  /** The counts that changed a short time ago, the latest first, and some of the others in turn. */
  function forReport (counts: ReadonlyMap<RequestFeature, AnswerCounts>): Map<RequestFeature, AnswerCounts> {
    const oldestMs = clock.monotonicMs() - repeatMs
    const changedAtMs = ([feature]: readonly [RequestFeature, AnswerCounts]): number => countsChangedAtMs.get(feature) ?? -Infinity
    const changed = [...counts].filter(count => changedAtMs(count) >= oldestMs).toSorted((a, b) => changedAtMs(b) - changedAtMs(a))
    const others = [...counts].filter(count => changedAtMs(count) < oldestMs)
    turn += countsInTurn
    const inTurn = Array.from({ length: Math.min(countsInTurn, others.length) }, (_, index) => others[(turn + index) % others.length])
    return new Map([...changed.slice(0, maxReportedCounts), ...inTurn.filter(count => count !== undefined)])
  }

  function sumsExcept (node: NodeId): Map<RequestFeature, AnswerCounts> {
    const sums = new Map(own)
    for (const [source, counts] of bySource) {
      if (source === node) continue
      for (const [feature, count] of counts) if (trackedFeatures.has(feature)) sums.set(feature, sum(count, sums.get(feature)))
    }
    return sums
  }

  return {
    add,
    forget: isObsolete => {
      for (const { crashed } of [...known.values()]) if (isObsolete(crashed)) remove(crashed)
    },
    recordAnswer: features => {
      for (const feature of features) {
        recentAnswersOf(feature).record(feature)
        if (!trackedFeatures.has(feature)) continue
        const { since, before } = own.get(feature) ?? noAnswers
        if (since >= maxAnswersPerCrash * (trackedFeatures.get(feature) ?? 0)) continue
        own.set(feature, { since: since + 1, before })
        countsChangedAtMs.set(feature, clock.monotonicMs())
        revision += 1
      }
    },
    setAnswered: (source, answered) => {
      // A report has the counts that changed. Those of a node that stopped remain, since its answers were given.
      const known = new Map([...bySource.get(source) ?? []].filter(([feature]) => trackedFeatures.has(feature)))
      for (const [feature, counts] of answered) {
        const before = known.get(feature)
        if (!trackedFeatures.has(feature)) continue
        if (before?.since === counts.since && before.before === counts.before) continue
        known.set(feature, counts)
        countsChangedAtMs.set(feature, clock.monotonicMs())
        revision += 1
      }
      if (known.size > 0) bySource.set(source, known)
      else bySource.delete(source)
    },
    attempts: (minAgeMs = 0) => {
      removeExpired()
      const latestMs = clock.monotonicMs() - minAgeMs
      return [...known.values()].flatMap(({ crashed, knownSinceMs }) => knownSinceMs <= latestMs ? [crashed] : [])
    },
    hasService: service => {
      removeExpired()
      return [...known.values()].some(({ crashed }) => crashed.service === service)
    },
    answered: feature => [...bySource.values()].reduce((total, counts) => sum(total, counts.get(feature)), own.get(feature) ?? noAnswers),
    recent: ({ isOwnOnly, max }) => {
      const oldestMs = clock.monotonicMs() - repeatMs
      const recent = [...known.values()].filter(({ isOwn, knownSinceMs }) => knownSinceMs >= oldestMs && (isOwn || !isOwnOnly))
      const sent = recent.toSorted((a, b) => repeatCount(b.crashed) - repeatCount(a.crashed) || Number(b.crashed.hasStarted) - Number(a.crashed.hasStarted) || a.sentCount - b.sentCount).slice(0, max)
      return sent.map(attempt => {
        attempt.sentCount += 1
        return attempt.crashed
      })
    },
    ownAnswered: () => forReport(own),
    answeredExcept: node => forReport(sumsExcept(node)),
    revision: () => revision,
    addedCount: () => addedCount
  }
}
