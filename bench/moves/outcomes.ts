/** Draws the outcomes of attempts by version, route, load and time, without simulating backend servers. */
import type { VersionBehavior } from './types.ts'

/** Routes of the team, with their shares of its traffic. */
export const routes = [{ name: 'letters', trafficShare: 0.8 }, { name: 'summaries', trafficShare: 0.2 }] as const

/** Failure ratio of a version without a regression. */
const usualFailureRatio = 0.004
/** Failure ratio of a version while its regression shows as failures. */
const regressionFailureRatio = 0.6
/** Failure ratio that is added to both versions while the service is in trouble. */
const troubleFailureRatio = 0.4
/** Factor on the latency of a version while its regression shows as slowness. */
const regressionSlowdown = 3
/** Load, as a multiple of the usual load, from which a version that fails under load does so. */
const heavyLoadFactor = 1.5
/** Load peak, at fractions of the move's window. */
const peak = { from: 0.4, to: 0.6, factor: 2 }

/** The outcome of one attempt. */
export interface DrawnOutcome {
  ok: boolean
  firstTokenMs: number
  betweenTokensMs: number
  /** Whether a regression of the version affected the attempt. */
  hasRegression: boolean
}

/** Load at a fraction of the move's window, as a multiple of the usual load. */
export function loadFactorAt (windowFraction: number): number {
  return windowFraction >= peak.from && windowFraction < peak.to ? peak.factor : 1
}

/** Conditions of an attempt at the new version. */
export interface NewVersionConditions {
  behavior: VersionBehavior
  route: string
  /** Fraction of the move's window that has passed. */
  windowFraction: number
  /** Fraction of the window at which a delayed regression begins. */
  regressionStartFraction: number
}

function isFailing ({ behavior, route, windowFraction, regressionStartFraction }: NewVersionConditions): boolean {
  if (behavior === 'failing-at-once') return true
  if (behavior === 'failing-later') return windowFraction >= regressionStartFraction
  if (behavior === 'failing-under-load') return loadFactorAt(windowFraction) >= heavyLoadFactor
  return behavior === 'failing-on-one-route' && route === 'summaries'
}

function isSlowToStart ({ behavior, windowFraction, regressionStartFraction }: NewVersionConditions): boolean {
  return behavior === 'slow-at-once' || (behavior === 'slow-later' && windowFraction >= regressionStartFraction)
}

/** Draws one outcome; `conditions` are undefined for the old version. Both versions fail more often while the service is in trouble. */
export function drawOutcome (random: () => number, windowFraction: number, conditions: NewVersionConditions | undefined, isServiceFailing = false): DrawnOutcome {
  const isFailingNow = conditions !== undefined && isFailing(conditions)
  const isSlow = conditions !== undefined && isSlowToStart(conditions)
  const isSlowBetween = conditions?.behavior === 'slow-between-tokens'
  // Latencies have a long tail, like those of engines that batch requests.
  const tail = (): number => 1 + Math.exp(1.2 * (random() + random() + random() - 1.5))
  return {
    ok: random() < (1 - (isFailingNow ? regressionFailureRatio : usualFailureRatio)) * (isServiceFailing ? 1 - troubleFailureRatio : 1),
    firstTokenMs: 150 * tail() * loadFactorAt(windowFraction) * (isSlow ? regressionSlowdown : 1),
    betweenTokensMs: 12 * tail() * (isSlowBetween ? regressionSlowdown : 1),
    hasRegression: isFailingNow || isSlow || isSlowBetween
  }
}
