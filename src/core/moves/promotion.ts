/**
 * Decides whether a new version has been shown to be as good as the old one.
 * Missing evidence never counts as good evidence: the version takes over only if
 * one-sided tests reject that it is worse than the reference by a margin, over
 * the whole evaluation, over its last part and on each route. The reference is
 * the old version in the same periods, without those in which it did worse than
 * before the move: then a good version can't be told from a bad one.
 */
import { addCounts, createHistogram, lastUsualBucket, sumTallies, tallyOf, totalOf } from './attempt-histogram.ts'
import { binomialAtLeast } from './binomial.ts'
import { bucketsBetween } from './latency-buckets.ts'
import { isShownGood } from './non-inferiority.ts'
import type { AttemptCounts } from './attempt-counts.ts'
import type { Histogram } from './attempt-histogram.ts'
import type { RegressionKind, VersionCounts } from './types.ts'

/** Number of periods into which the time until the deadline is divided. */
const periodsPerMove = 24
/** Part of the evaluation that is tested by itself, because a version may become worse late. */
const lastPartRatio = 1 / 3
/** Probability that a version that is worse by the margin passes the test of all attempts, or one of fewer attempts. */
const maxMissProbability = 0.01
const maxSmallMissProbability = 0.05
/** Largest margins: in all attempts, and in the fewer ones of the last part or of one route. Slow attempts are less serious than failed ones, and a new version begins with empty caches. */
const maxMargins = { failing: { all: 0.25, part: 0.4 }, slow: { all: 0.4, part: 0.5 } }
/** Attempts of the new version on a route that are tested by themselves; routes with fewer are tested together. */
const minRouteAttempts = 12
/** Part of the old version's attempts from which routes without enough attempts of the new version to show failures prevent a promotion. */
const minRouteShare = 0.1
/** Attempts of the old version from which there is a comparison. */
const minReferenceAttempts = 20
/** Ratio of bad attempts from which a route can't be evaluated, and a service is in trouble whatever it did before. */
const maxReferenceRate = 0.25
/** Attempts, and their ratio of bad ones, from which a route with few of them can't be evaluated either. */
const minFailingAttempts = 4
const minFailingRate = 0.5
/** Ratios of failed and of slow attempts that are expected of a service without earlier traffic. */
const defaultFailureRate = 0.02
const defaultSlowRate = 0.1
/** How much worse than before the move the old version may do in a period: a ratio of the rates, and an absolute part. */
const driftRatio = 1.5
const driftRate = 0.05
/** Probability that a period without trouble is left out. */
const quietProbability = 0.001
/** Multiple of that quantile from which a latency is slow. */
const slowRatio = 1.5
/** The same where few latencies give a rough quantile, and only large differences matter. */
const roughSlowRatio = 2
/** How many times faster the old version has become if it has recovered from a trouble that began before the move. */
const recoveredRatio = 2.5
/** Bad attempts of the new version beyond the usual ones after which it gets no more requests, whatever the old one does. */
const maxExcessBad = 25

/** Whether a version may take over, and why not. */
export type PromotionResult = 'good' | 'too-few-attempts' | 'old-version-in-trouble' | 'not-shown-good'

/** The result of a decision with the test that decided it, for the log. */
export interface PromotionVerdict {
  result: PromotionResult
  /** Kind and scope of the test that failed. */
  kind?: RegressionKind
  scope?: string
  newBad?: number
  newTotal?: number
  /** Rate of bad attempts that the old version has on the same routes. */
  expectedRate?: number
}

/** The evidence for a promotion, added up over all nodes. */
export interface PromotionAnalysis {
  /** Adds counts; those at a share of 0 are of the time before the move. */
  add: (delta: AttemptCounts, nowMs: number) => void
  verdict: (nowMs: number) => PromotionVerdict
  /** Whether the new version gave so many bad answers that it must not get more, even if the old one does no better, or has no backend server. */
  hasTooManyBad: (hasOldVersion?: boolean) => boolean
  /** Whether the new version answers as well as is usual, for a move whose old version has no backend server to compare it with. */
  answersWellAlone: () => boolean
}

/** Options of `createPromotionAnalysis`; times are wall times. */
export interface PromotionOptions {
  startAtMs: number
  deadlineAtMs: number
}

/** Attempts on one route, with the old version's rate of bad ones there. */
interface RouteTally extends VersionCounts { route: string, referenceRate: number }

function isFailing ({ oldBad, oldTotal }: VersionCounts): boolean {
  return oldTotal >= minFailingAttempts && oldBad > oldTotal * (oldTotal < minReferenceAttempts ? minFailingRate : maxReferenceRate)
}

/** Creates an analysis without evidence. */
export function createPromotionAnalysis ({ startAtMs, deadlineAtMs }: PromotionOptions): PromotionAnalysis {
  const periodMs = Math.max(1, deadlineAtMs - startAtMs) / periodsPerMove
  /** Histograms of the time before the move, and of each period, by kind and route. */
  const norms = new Map<RegressionKind, Map<string, Histogram>>()
  const periods = new Map<RegressionKind, Map<string, Map<number, Histogram>>>()

  function periodAt (nowMs: number): number {
    return Math.max(0, Math.floor((nowMs - startAtMs) / periodMs))
  }

  function normOf (kind: RegressionKind, route: string): Histogram {
    const byRoute = norms.get(kind) ?? new Map<string, Histogram>()
    norms.set(kind, byRoute)
    const known = byRoute.get(route) ?? createHistogram()
    byRoute.set(route, known)
    return known
  }

  function routesOf (kind: RegressionKind): Map<string, Map<number, Histogram>> {
    const byRoute = periods.get(kind) ?? new Map<string, Map<number, Histogram>>()
    periods.set(kind, byRoute)
    return byRoute
  }

  function histogramOf (kind: RegressionKind, route: string, period: number): Histogram {
    const byRoute = routesOf(kind)
    const byPeriod = byRoute.get(route) ?? new Map<number, Histogram>()
    byRoute.set(route, byPeriod)
    const known = byPeriod.get(period) ?? createHistogram()
    byPeriod.set(period, known)
    return known
  }

  function add (delta: AttemptCounts, nowMs: number): void {
    const { route, kind, share } = delta
    addCounts(share > 0 ? histogramOf(kind, route, periodAt(nowMs)) : normOf(kind, route), delta)
  }

  /** Rough threshold by the time before the move, or else by the old version during it; undefined without a comparison. */
  function thresholdOf (kind: RegressionKind, route: string): number | undefined {
    if (kind === 'failing') return 0
    const during = [...routesOf(kind).get(route)?.values() ?? []]
    return lastUsualBucket([normOf(kind, route).oldCounts], roughSlowRatio) ?? lastUsualBucket(during.map(({ oldCounts }) => oldCounts), roughSlowRatio)
  }

  /** Rate of bad attempts before the move; `unknownRate` without enough attempts. */
  function normRateOf (kind: RegressionKind, route: string, threshold: number, unknownRate = kind === 'failing' ? defaultFailureRate : defaultSlowRate): number {
    const { oldBad, oldTotal } = tallyOf(normOf(kind, route), threshold)
    if (oldTotal < minReferenceAttempts) return unknownRate
    return Math.min(maxReferenceRate, (oldBad + 0.5) / (oldTotal + 1))
  }

  /** Whether a route fails so often since before the move, at its timeout for example, that it tells nothing about a version. */
  function isUnusable (kind: RegressionKind, route: string): boolean {
    const threshold = thresholdOf(kind, route)
    if (threshold === undefined) return true
    const before = tallyOf(normOf(kind, route), threshold)
    const during = sumTallies([...routesOf(kind).get(route)?.values() ?? []].map(histogram => tallyOf(histogram, threshold)))
    return isFailing(before) && isFailing(during)
  }

  /** Whether most attempts are on routes that can't be evaluated. */
  function isMostlyUnusable (kind: RegressionKind): boolean {
    let unusable = 0
    let total = 0
    for (const [route, byPeriod] of routesOf(kind)) {
      const attempts = [...byPeriod.values()].reduce((sum, { oldCounts }) => sum + totalOf(oldCounts), 0)
      total += attempts
      if (isUnusable(kind, route)) unusable += attempts
    }
    return unusable > total / 2
  }

  /** The periods in which the old version did no worse than before the move, and neither did it in an adjacent one. */
  function quietPeriods (kind: RegressionKind, lastPeriod: number): Set<number> {
    const troubled = new Set<number>()
    for (let period = 0; period <= lastPeriod; period += 1) {
      let bad = 0
      let total = 0
      let expected = 0
      for (const [route, byPeriod] of routesOf(kind)) {
        const threshold = thresholdOf(kind, route)
        const histogram = byPeriod.get(period)
        if (threshold === undefined || histogram === undefined || isUnusable(kind, route)) continue
        const { oldBad, oldTotal } = tallyOf(histogram, threshold)
        bad += oldBad
        total += oldTotal
        expected += oldTotal * Math.min(maxReferenceRate, driftRatio * normRateOf(kind, route, threshold) + driftRate)
      }
      if (total > 0 && binomialAtLeast(bad, total, expected / total) < quietProbability) troubled.add(period)
    }
    const quiet = new Set<number>()
    for (let period = 0; period <= lastPeriod; period += 1) {
      if (![period - 1, period, period + 1].some(near => troubled.has(near))) quiet.add(period)
    }
    return quiet
  }

  /**
   * Threshold by the time before the move and by quiet periods. If the service has recovered from a trouble that began
   * before the move, only the time since is the comparison.
   */
  function strictThresholdOf (kind: RegressionKind, route: string, quiet: readonly Histogram[]): number | undefined {
    if (kind === 'failing') return 0
    const { oldCounts: before } = normOf(kind, route)
    const during = quiet.map(({ oldCounts }) => oldCounts)
    const usualBefore = lastUsualBucket([before], slowRatio)
    const usualDuring = lastUsualBucket(during, slowRatio)
    const hasRecovered = usualBefore !== undefined && usualDuring !== undefined && usualDuring < usualBefore - bucketsBetween(recoveredRatio)
    return hasRecovered ? usualDuring : lastUsualBucket([before, ...during], slowRatio)
  }

  /** Tallies of each route over some periods, with the old version's rate there over all quiet ones. */
  function tallyRoutes (kind: RegressionKind, quiet: ReadonlySet<number>, isIncluded: (period: number) => boolean): RouteTally[] {
    return [...routesOf(kind)].flatMap(([route, byPeriod]) => {
      const used = [...byPeriod].filter(([period]) => quiet.has(period))
      const threshold = strictThresholdOf(kind, route, used.map(([, histogram]) => histogram))
      if (threshold === undefined || isUnusable(kind, route)) return []
      const { oldBad, oldTotal } = sumTallies(used.map(([, histogram]) => tallyOf(histogram, threshold)))
      const referenceRate = oldTotal < minReferenceAttempts ? normRateOf(kind, route, threshold) : Math.min(maxReferenceRate, (oldBad + 0.5) / (oldTotal + 1))
      const included = sumTallies(used.filter(([period]) => isIncluded(period)).map(([, histogram]) => tallyOf(histogram, threshold)))
      return [{ route, referenceRate, ...included }]
    })
  }

  /** The first test of one kind that doesn't show the new version to be good. */
  function firstFailure (kind: RegressionKind, nowMs: number): PromotionVerdict | undefined {
    const lastPeriod = periodAt(nowMs)
    const quiet = quietPeriods(kind, lastPeriod)
    const firstLatePeriod = periodAt(nowMs - (nowMs - startAtMs) * lastPartRatio)

    function test (scope: string, tallies: readonly RouteTally[], largestMargin: number, missProbability: number): PromotionVerdict | undefined {
      const { newBad, newTotal } = sumTallies(tallies)
      const expectedRate = newTotal === 0 ? 0 : tallies.reduce((sum, { newTotal: attempts, referenceRate }) => sum + attempts * referenceRate, 0) / newTotal
      if (isShownGood(newBad, newTotal, expectedRate, largestMargin, missProbability)) return undefined
      const couldPass = newTotal > 0 && isShownGood(0, newTotal, expectedRate, largestMargin, missProbability)
      const result = couldPass ? 'not-shown-good' : quiet.size <= lastPeriod / 2 ? 'old-version-in-trouble' : 'too-few-attempts'
      return { result, kind, scope, newBad, newTotal, expectedRate }
    }

    if (isMostlyUnusable(kind)) return { result: 'old-version-in-trouble', kind, scope: 'all' }
    const margins = kind === 'failing' ? maxMargins.failing : maxMargins.slow
    const all = tallyRoutes(kind, quiet, () => true)
    const late = tallyRoutes(kind, quiet, period => period >= firstLatePeriod)
    const oldTotal = all.reduce((sum, tally) => sum + tally.oldTotal, 0)
    const larger = all.filter(({ newTotal }) => newTotal >= minRouteAttempts)
    const smaller = all.filter(({ newTotal }) => newTotal < minRouteAttempts)
    const mustTestSmaller = kind === 'failing' && sumTallies(smaller).oldTotal > minRouteShare * oldTotal
    const hasTestableSmaller = sumTallies(smaller).newTotal >= minRouteAttempts || mustTestSmaller
    return test('all', all, margins.all, maxMissProbability) ??
      test('last-part', late, margins.part, maxSmallMissProbability) ??
      larger.map(tally => test(tally.route, [tally], margins.part, maxSmallMissProbability)).find(failure => failure !== undefined) ??
      (hasTestableSmaller ? test('small-routes', smaller, margins.part, maxSmallMissProbability) : undefined)
  }

  /** Bad attempts beyond the usual ones. Without the old version, a service whose usual rate isn't known may fail as often as can be evaluated. */
  function excessBadOf (kind: RegressionKind, hasOldVersion: boolean): number {
    let excess = 0
    for (const [route, byPeriod] of routesOf(kind)) {
      const threshold = thresholdOf(kind, route)
      if (threshold === undefined || isUnusable(kind, route)) continue
      if (!hasOldVersion && isFailing(tallyOf(normOf(kind, route), threshold))) continue
      const { newBad, newTotal } = sumTallies([...byPeriod.values()].map(histogram => tallyOf(histogram, threshold)))
      const normRate = normRateOf(kind, route, threshold, hasOldVersion ? undefined : (maxReferenceRate - driftRate) / driftRatio)
      excess += newBad - newTotal * (driftRatio * normRate + driftRate)
    }
    return excess
  }

  return {
    add,
    verdict: nowMs => {
      // A service whose responses have no first token, or no second one, has no latencies of that kind.
      const kinds = [...periods.keys()].filter(kind => kind === 'failing' || [...routesOf(kind).keys()].some(route => thresholdOf(kind, route) !== undefined))
      if (!kinds.includes('failing')) return { result: 'too-few-attempts' }
      return kinds.map(kind => firstFailure(kind, nowMs)).find(failure => failure !== undefined) ?? { result: 'good' }
    },
    hasTooManyBad: (hasOldVersion = true) => [...periods.keys()].some(kind => excessBadOf(kind, hasOldVersion) > maxExcessBad),
    answersWellAlone: () => {
      const histograms = [...routesOf('failing').values()].flatMap(byPeriod => [...byPeriod.values()])
      const { newTotal } = sumTallies(histograms.map(histogram => tallyOf(histogram, 0)))
      return newTotal >= minReferenceAttempts && [...periods.keys()].every(kind => excessBadOf(kind, false) <= 0)
    }
  }
}
