/** New versions, states of the old version and loads, of which each combination is played. */
import type { MoveScenario } from './play.ts'

const moveMs = 30_000
/** Traffic before the order, from which nodes know what is usual. */
const earlierMs = 4_000
/** Route with the smaller part of the traffic, and its usual rate of failures. */
const lookUpRoute = 'status'
const lookUpFailureRate = 0.14
const usualFailureRate = 0.004
const usualMs = 30
/** Load peak, as fractions of the move's time and a multiple of the usual load. */
const peak = { from: 0.3, to: 0.5, factor: 2 }
const lateFrom = 0.4
/** Trouble of the whole service, from shortly after the order until shortly before the deadline. */
const trouble = { from: 0.03, to: 0.97, failureRate: 0.4, slowPart: 0.6, slowdown: 5 }

/** How the new version differs from the old one. */
export interface VersionCase {
  name: string
  isGood: boolean
  /** Rate of failures that it adds on a route. */
  addedFailureRate?: (route: string, elapsedRatio: number) => number
  slowdown?: number
}

export const versionCases: readonly VersionCase[] = [
  { name: 'good', isGood: true },
  ...[0.1, 0.2, 0.3, 0.6].map(rate => ({ name: `fails ${rate}`, isGood: false, addedFailureRate: () => rate })),
  ...[2, 4, 8].map(slowdown => ({ name: `${slowdown} times slower`, isGood: false, slowdown })),
  { name: 'fails 0.5, late', isGood: false, addedFailureRate: (_route, elapsedRatio) => elapsedRatio >= lateFrom ? 0.5 : 0 },
  { name: 'fails 0.5 under load', isGood: false, addedFailureRate: (_route, elapsedRatio) => elapsedRatio >= peak.from && elapsedRatio < peak.to ? 0.5 : 0 },
  { name: 'fails 0.5 on one route', isGood: false, addedFailureRate: route => route === lookUpRoute ? 0.5 : 0 }
]

/** State of the old version, which the servers of the new one share. */
export type OldVersionState = 'calm' | 'failing' | 'slow'

export const oldVersionStates: readonly OldVersionState[] = ['calm', 'failing', 'slow']

/** Requests a second of the service, and the number of seeds to play. */
export const loads: ReadonlyArray<{ requestsPerSecond: number, seeds: number }> = [
  { requestsPerSecond: 2, seeds: 40 },
  { requestsPerSecond: 25, seeds: 40 },
  { requestsPerSecond: 500, seeds: 6 },
  { requestsPerSecond: 5_000, seeds: 1 }
]

function isInTrouble (elapsedRatio: number): boolean {
  return elapsedRatio > trouble.from && elapsedRatio < trouble.to
}

/** The scenario of one combination. */
export function createScenario ({ addedFailureRate = () => 0, slowdown = 1 }: VersionCase, state: OldVersionState, requestsPerSecond: number): MoveScenario {
  return {
    nodes: 9,
    requestsPerSecond,
    durationMs: moveMs,
    earlierMs,
    loadFactor: elapsedRatio => elapsedRatio >= peak.from && elapsedRatio < peak.to ? peak.factor : 1,
    failure: (isCanary, route, elapsedRatio) => {
      const rates = [
        route === lookUpRoute ? lookUpFailureRate : usualFailureRate,
        state === 'failing' && isInTrouble(elapsedRatio) ? trouble.failureRate : 0,
        isCanary ? addedFailureRate(route, elapsedRatio) : 0
      ]
      return 1 - rates.reduce((ok, rate) => ok * (1 - rate), 1)
    },
    latency: (isCanary, draw, elapsedRatio) => {
      const isServerSlow = state === 'slow' && isInTrouble(elapsedRatio) && (draw * 10) % 1 < trouble.slowPart
      const firstTokenMs = usualMs * (0.5 + draw) * (isCanary ? slowdown : 1) * (isServerSlow ? trouble.slowdown : 1)
      return { firstTokenMs, totalMs: firstTokenMs }
    }
  }
}
