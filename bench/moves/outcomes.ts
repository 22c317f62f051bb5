/** Draws how attempts end, by version, route, load and time; no servers are simulated. */
import type { Badness } from './types.ts'

/** Routes of the team, with their parts of its traffic. */
export const routes = [{ name: 'letters', part: 0.8 }, { name: 'summaries', part: 0.2 }] as const

/** Failures that every version has. */
const usualFailures = 0.004
const badFailures = 0.6
const slowFactor = 3
/** Load, against the usual, from which a version that is bad under load fails. */
const heavyLoad = 1.5
const peak = { from: 0.4, to: 0.6, factor: 2 }

/** One attempt's end. */
export interface Outcome {
  ok: boolean
  firstTokenMs: number
  betweenTokensMs: number
  isBad: boolean
}

/** Load at a part of the move's time, against the usual. */
export function loadAt (part: number): number {
  return part >= peak.from && part < peak.to ? peak.factor : 1
}

/** What an attempt of the new version meets. */
export interface Conditions {
  badness: Badness
  route: string
  /** Part of the move's time that is over. */
  part: number
  /** Part at which later badness begins. */
  badFrom: number
}

function isFailing ({ badness, route, part, badFrom }: Conditions): boolean {
  if (badness === 'failing-at-once') return true
  if (badness === 'failing-later') return part >= badFrom
  if (badness === 'failing-under-load') return loadAt(part) >= heavyLoad
  return badness === 'failing-on-one-route' && route === 'summaries'
}

function isSlowToStart ({ badness, part, badFrom }: Conditions): boolean {
  return badness === 'slow-at-once' || (badness === 'slow-later' && part >= badFrom)
}

/** Draws one end; `conditions` are undefined for the old version. */
export function drawOutcome (random: () => number, part: number, conditions: Conditions | undefined): Outcome {
  const isBadNow = conditions !== undefined && isFailing(conditions)
  const isSlow = conditions !== undefined && isSlowToStart(conditions)
  const isSlowBetween = conditions?.badness === 'slow-between-tokens'
  // Latencies have a long tail, as those of engines under a batch do.
  const tail = (): number => 1 + Math.exp(1.2 * (random() + random() + random() - 1.5))
  return {
    ok: random() >= (isBadNow ? badFailures : usualFailures),
    firstTokenMs: 150 * tail() * loadAt(part) * (isSlow ? slowFactor : 1),
    betweenTokensMs: 12 * tail() * (isSlowBetween ? slowFactor : 1),
    isBad: isBadNow || isSlow || isSlowBetween
  }
}
