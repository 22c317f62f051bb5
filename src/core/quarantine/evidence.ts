/** Crashed attempts, and how often their parts were answered since, over all nodes; bounded, and forgotten after a time. */
import type { Clock } from '../clock/index.ts'
import type { AttemptId, NodeId, RequestFeature } from '../ids/index.ts'
import { createRecentAnswers } from './recent-answers.ts'
import type { AnswerCounts, CrashedAttempt } from './types.ts'

/** The evidence that a node has. */
export interface CrashEvidence {
  /** Adds an attempt of this node or of another one. */
  add: (crashed: CrashedAttempt, isOwn: boolean) => void
  recordAnswer: (features: readonly RequestFeature[]) => void
  setAnswered: (source: NodeId, answered: ReadonlyMap<RequestFeature, AnswerCounts>) => void
  /** Attempts that have been known for at least the given time. */
  attempts: (minAgeMs?: number) => CrashedAttempt[]
  /** The counts of all nodes. */
  answered: (feature: RequestFeature) => AnswerCounts
  /** Attempts that a report repeats: this node's own, or for a digest all, that became known a short time ago. */
  recent: (options: { isOwnOnly: boolean, max: number }) => CrashedAttempt[]
  ownAnswered: () => Map<RequestFeature, AnswerCounts>
  /** The counts of this node and all others but one. */
  answeredExcept: (node: NodeId) => Map<RequestFeature, AnswerCounts>
  /** Changes with everything that the assessment depends on. */
  revision: () => number
}

/** Time after which a crash is forgotten. */
const evidenceTtlMs = 60_000
/** Time over which reports repeat an attempt, so that the loss of a few of them doesn't matter. */
const repeatMs = 2_000
/** Bound of what callers that send new parts with each request can make a node remember. */
const maxAttempts = 512
/** Attempts of one crash that are kept; those whose answer had begun first. */
const maxAttemptsPerCrash = 8
/** Maximum number of answers of one part that are counted at one node; more than a decision needs, and further ones need no new assessment. */
const maxCountedAnswers = 8

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
  /** Number of known attempts that have the part. */
  const trackedFeatures = new Map<RequestFeature, number>()
  const own = new Map<RequestFeature, AnswerCounts>()
  const bySource = new Map<NodeId, ReadonlyMap<RequestFeature, AnswerCounts>>()
  const recentAnswers = createRecentAnswers(clock)
  const attemptsByCrash = new Map<string, CrashedAttempt[]>()
  let revision = 0

  function track (feature: RequestFeature): void {
    const count = trackedFeatures.get(feature) ?? 0
    trackedFeatures.set(feature, count + 1)
    const before = recentAnswers.count(feature)
    if (count === 0 && before > 0) own.set(feature, { since: 0, before })
  }

  function untrack ({ features }: CrashedAttempt): void {
    for (const feature of features) {
      const left = (trackedFeatures.get(feature) ?? 0) - 1
      if (left > 0) trackedFeatures.set(feature, left)
      else {
        trackedFeatures.delete(feature)
        own.delete(feature)
      }
    }
  }

  function remove (crashed: CrashedAttempt): void {
    known.delete(crashed.attempt)
    untrack(crashed)
    const key = crashKey(crashed)
    const left = (attemptsByCrash.get(key) ?? []).filter(other => other !== crashed)
    if (left.length > 0) attemptsByCrash.set(key, left)
    else attemptsByCrash.delete(key)
    revision += 1
  }

  function removeOldest (): void {
    const [oldest] = known.values()
    if (oldest !== undefined) remove(oldest.crashed)
  }

  /** Makes room for an attempt of a crash; returns false if those that are kept tell more. */
  function makeRoom (crashed: CrashedAttempt): boolean {
    const others = attemptsByCrash.get(crashKey(crashed)) ?? []
    if (others.length < maxAttemptsPerCrash) return true
    const replaced = crashed.hasStarted ? others.find(({ hasStarted }) => !hasStarted) : undefined
    if (replaced !== undefined) remove(replaced)
    return replaced !== undefined
  }

  function removeExpired (): void {
    const oldestMs = clock.monotonicMs() - evidenceTtlMs
    for (const { knownSinceMs } of known.values()) {
      if (knownSinceMs >= oldestMs) break
      removeOldest()
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
    revision += 1
  }

  function answeredExcept (node: NodeId): Map<RequestFeature, AnswerCounts> {
    const sums = new Map(own)
    for (const [source, counts] of bySource) {
      if (source === node) continue
      for (const [feature, count] of counts) if (trackedFeatures.has(feature)) sums.set(feature, sum(count, sums.get(feature)))
    }
    return sums
  }

  return {
    add,
    recordAnswer: features => {
      for (const feature of features) {
        recentAnswers.record(feature)
        if (!trackedFeatures.has(feature)) continue
        const { since, before } = own.get(feature) ?? noAnswers
        if (since >= maxCountedAnswers) continue
        own.set(feature, { since: since + 1, before })
        revision += 1
      }
    },
    setAnswered: (source, answered) => {
      // The counts of a node that stopped remain, since its answers were given.
      if (answered.size === 0) return
      const before = bySource.get(source)
      bySource.set(source, answered)
      const hasChanged = [...answered].some(([feature, { since, before: earlier }]) => before?.get(feature)?.since !== since || before?.get(feature)?.before !== earlier)
      if (hasChanged) revision += 1
    },
    attempts: (minAgeMs = 0) => {
      removeExpired()
      const latestMs = clock.monotonicMs() - minAgeMs
      return [...known.values()].flatMap(({ crashed, knownSinceMs }) => knownSinceMs <= latestMs ? [crashed] : [])
    },
    answered: feature => [...bySource.values()].reduce((total, counts) => sum(total, counts.get(feature)), own.get(feature) ?? noAnswers),
    recent: ({ isOwnOnly, max }) => {
      const oldestMs = clock.monotonicMs() - repeatMs
      const recent = [...known.values()].filter(({ isOwn, knownSinceMs }) => knownSinceMs >= oldestMs && (isOwn || !isOwnOnly))
      const sent = recent.toSorted((a, b) => Number(b.crashed.hasStarted) - Number(a.crashed.hasStarted) || a.sentCount - b.sentCount).slice(0, max)
      return sent.map(attempt => {
        attempt.sentCount += 1
        return attempt.crashed
      })
    },
    ownAnswered: () => new Map(own),
    answeredExcept,
    revision: () => revision
  }
}
