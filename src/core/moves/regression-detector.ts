/** Detects regressions of a new version, with one sequential test for each route and kind of regression. */
import { createSequentialTest, logThresholdFor } from './sequential-test.ts'
import type { NodeId } from '../ids/index.ts'
import type { AttemptCounts } from './attempt-counts.ts'
import type { SequentialTest } from './sequential-test.ts'
import type { RegressionEvidence, RegressionKind, VersionCounts } from './types.ts'

const regressionKindCount = 3
/** Bad attempts that make the new version doubtful if their rate is high, too. */
const minDoubtfulBad = 4
/** Ratio of the bad rates of the new and the old version from which the new one is doubtful; it rarely occurs by chance among the few attempts near the end of a move. */
const doubtfulRatio = 10
/** Number of epochs in the time of a move; the test considers that a regression begins at any of them. */
const epochsPerMove = 128

/** Options of a detector. */
export interface RegressionDetectorOptions {
  node: NodeId
  /** Number of detectors of the same move on all nodes; they share the allowed rate of false alarms. */
  detectors: number
  /** Number of routes, which share that rate, too. */
  routes: number
  /** Wall times of the first traffic and of the deadline. */
  trafficAtMs: number
  deadlineAtMs: number
}

/** Detector for the new version of one move. */
export interface RegressionDetector {
  /** Adds counts; returns the evidence if they show a regression. */
  add: (delta: AttemptCounts, nowMs: number) => RegressionEvidence | undefined
  /** Attempts on a route: of the new version, and of both versions. */
  attemptsOn: (route: string) => { newTotal: number, total: number }
  /** Attempts of the new version on all routes. */
  canaryAttempts: () => number
  /** Sums over all routes, by kind, for the log. */
  totals: () => Partial<Record<RegressionKind, VersionCounts>>
  /** Whether the new version looks worse on some route, although the test has not shown a regression yet. */
  isDoubtful: () => boolean
}

interface RunningTest extends VersionCounts {
  test: SequentialTest
  epoch: number
}

/** Creates a detector without any counts. */
export function createRegressionDetector (options: RegressionDetectorOptions): RegressionDetector {
  const { node, trafficAtMs, deadlineAtMs } = options
  const logThreshold = logThresholdFor(options.detectors * Math.max(1, options.routes) * regressionKindCount)
  const tests = new Map<string, RunningTest>()

  function testOf (key: string): RunningTest {
    const known = tests.get(key)
    if (known !== undefined) return known
    const created = { test: createSequentialTest(), epoch: 0, newBad: 0, oldBad: 0, newTotal: 0, oldTotal: 0 }
    tests.set(key, created)
    return created
  }

  function epochAt (nowMs: number): number {
    return Math.floor((nowMs - trafficAtMs) / Math.max(1, deadlineAtMs - trafficAtMs) * epochsPerMove)
  }

  function add (delta: AttemptCounts, nowMs: number): RegressionEvidence | undefined {
    const { route, kind, share } = delta
    const current = testOf(`${kind}/${route}`)
    for (; current.epoch < epochAt(nowMs); current.epoch += 1) current.test.beginEpoch()
    current.newBad += delta.newBad
    current.oldBad += delta.oldBad
    current.newTotal += delta.newTotal
    current.oldTotal += delta.oldTotal
    current.test.add(delta.newBad, delta.oldBad, share)
    if (current.test.logStatistic() < logThreshold) return undefined
    const { newBad, oldBad, newTotal, oldTotal } = current
    return { route, kind, node, atMs: nowMs, newBad, oldBad, newTotal, oldTotal }
  }

  function countCanaryAttempts (kind: RegressionKind): number {
    return [...tests].reduce((sum, [key, { newTotal }]) => sum + (key.startsWith(`${kind}/`) ? newTotal : 0), 0)
  }

  function totals (): Partial<Record<RegressionKind, VersionCounts>> {
    const sums: Partial<Record<RegressionKind, VersionCounts>> = {}
    for (const [key, { newBad, newTotal, oldBad, oldTotal }] of tests) {
      const kind = key.slice(0, key.indexOf('/')) as RegressionKind
      const sum = sums[kind] ?? { newBad: 0, newTotal: 0, oldBad: 0, oldTotal: 0 }
      sums[kind] = { newBad: sum.newBad + newBad, newTotal: sum.newTotal + newTotal, oldBad: sum.oldBad + oldBad, oldTotal: sum.oldTotal + oldTotal }
    }
    return sums
  }

  return {
    add,
    totals,
    attemptsOn: route => {
      const { newTotal, oldTotal } = testOf(`failing/${route}`)
      return { newTotal, total: newTotal + oldTotal }
    },
    canaryAttempts: () => countCanaryAttempts('failing'),
    // At a large share a bad attempt is weak evidence, so a late move could finish before the test detects a regression.
    isDoubtful: () => [...tests.values()].some(({ newBad, newTotal, oldBad, oldTotal }) =>
      newBad >= minDoubtfulBad && newBad / newTotal > doubtfulRatio * Math.max(1, oldBad) / Math.max(1, oldTotal))
  }
}
