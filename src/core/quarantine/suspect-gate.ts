/**
 * Decides whether a suspected request may be sent now, and keeps account of those
 * under way. A request under which one backend server crashed is sent once at a time
 * over all nodes, as it may have been there by chance. From the second crash on,
 * suspected requests of a service are sent one at a time and in turn, so that a third
 * crash tells them apart; and none is sent to the last backend server of its service.
 */
import { combinationKey } from './records.ts'
import { isRequestDigest } from './request-digest.ts'
import { suspicionScore } from './assess.ts'
import type { RequestDigest, RequestFeature } from '../ids/index.ts'
import type { Suspicion } from './assess.ts'
import type { Trials } from './trials.ts'

/** How a suspected request is limited: sent one at a time, in turn with others, not for now, or not at all. */
export type SuspectLimit = 'one-at-a-time' | 'in-turn' | 'wait' | 'reject'

/** What the limit depends on beside the suspicion. */
export interface SuspectCircumstances {
  /** Whether a backend server crashed under an earlier attempt of the same request. */
  isRetryAfterCrash: boolean
  /** Whether the service has lost backend servers a short time ago and has only one left. */
  isLastBackend: boolean
}

/** Whether a suspected request was taken, and if not, under which suspicion. */
export type SuspectDecision =
  | { kind: 'taken', release: () => void }
  | { kind: 'blocked', suspicion: Suspicion, isFinal: boolean }

/** The gate of one node. */
export interface SuspectGate {
  /** Takes a request that has these suspicions, if it may be sent now. */
  take: (features: readonly RequestFeature[], suspicions: readonly Suspicion[], circumstances: () => SuspectCircumstances) => SuspectDecision
  /** Keys of the suspected features that have a request under way at this node. */
  underWay: (suspicions: readonly Suspicion[]) => string[]
}

/** Crashes from which on a request is only sent in turn. */
const minCrashesForTurns = 2

/** The limit of a request that has the suspected features. */
export function limitOf ({ features, crashes, score, isCertain }: Pick<Suspicion, 'features' | 'crashes' | 'score' | 'isCertain'>, { isRetryAfterCrash, isLastBackend }: SuspectCircumstances): SuspectLimit {
  if (!features.some(isRequestDigest)) return isRetryAfterCrash ? 'wait' : 'in-turn'
  const isLikely = crashes >= minCrashesForTurns || score >= suspicionScore
  // Its own retry would crash the next backend server; a restart takes longer than a caller waits.
  if (isCertain || (isLastBackend && isLikely) || (isRetryAfterCrash && crashes >= minCrashesForTurns)) return 'reject'
  return crashes >= minCrashesForTurns ? 'in-turn' : 'one-at-a-time'
}

/** Creates a gate without requests under way. */
export function createSuspectGate (trials: Trials): SuspectGate {
  /** Number of requests under way, by digest. */
  const counts = new Map<RequestDigest, number>()

  function keyOf ({ service, features, crashes }: Suspicion): string {
    const isInTurnOfService = features.some(isRequestDigest) && crashes >= minCrashesForTurns
    return isInTurnOfService ? combinationKey(service, ['requests']) : combinationKey(service, features)
  }

  function count (digest: RequestDigest | undefined, change: number): void {
    if (digest === undefined) return
    const next = (counts.get(digest) ?? 0) + change
    if (next > 0) counts.set(digest, next)
    else counts.delete(digest)
  }

  function isAllowed (suspicion: Suspicion, limit: SuspectLimit): boolean {
    if (limit === 'in-turn') return trials.take(keyOf(suspicion))
    return limit === 'one-at-a-time' && !suspicion.features.some(feature => isRequestDigest(feature) && counts.has(feature)) && trials.takeIfNone(keyOf(suspicion))
  }

  function take (features: readonly RequestFeature[], suspicions: readonly Suspicion[], circumstances: () => SuspectCircumstances): SuspectDecision {
    const taken: string[] = []
    const digest = features.find(isRequestDigest)
    for (const suspicion of suspicions) {
      const limit = limitOf(suspicion, circumstances())
      if (isAllowed(suspicion, limit)) {
        taken.push(keyOf(suspicion))
        continue
      }
      for (const key of taken) trials.release(key)
      return { kind: 'blocked', suspicion, isFinal: limit === 'reject' }
    }
    count(digest, 1)
    return {
      kind: 'taken',
      release: () => {
        count(digest, -1)
        for (const key of taken) trials.release(key)
      }
    }
  }

  return {
    take,
    underWay: suspicions => {
      const open = suspicions.filter(({ features }) => features.some(feature => isRequestDigest(feature) && counts.has(feature)))
      return [...new Set([...trials.underWay(), ...open.map(keyOf)])]
    }
  }
}
