/**
 * Classifies counts of latencies as slow in comparison with the old version on the
 * same route. The comparison is made where the counts of all nodes are added up,
 * because a single node of a large cluster sees too few requests for one.
 */
import { bucketsBetween } from './latency-buckets.ts'
import type { AttemptCounts } from './attempt-counts.ts'

/** Number of the old version's latencies from which there is a comparison. */
const minOldLatencies = 20
const baselineQuantile = 0.9
/** Multiple of that quantile from which a latency is slow. */
const slowRatio = 1.5

/** Classifier of the latencies of one move. */
export interface LatencyClassifier {
  /** Returns classified counts: those added, and earlier ones that had to wait for a comparison. */
  add: (delta: AttemptCounts) => AttemptCounts[]
}

interface Baseline {
  countByBucket: Map<number, number>
  total: number
  waiting: AttemptCounts[]
}

/** Creates a classifier without any counts. */
export function createLatencyClassifier (): LatencyClassifier {
  const baselines = new Map<string, Baseline>()

  function baselineOf ({ kind, route }: AttemptCounts): Baseline {
    const key = `${kind}/${route}`
    const known = baselines.get(key) ?? { countByBucket: new Map(), total: 0, waiting: [] }
    baselines.set(key, known)
    return known
  }

  /** The last bucket that isn't slow. */
  function lastUsualBucket ({ countByBucket, total }: Baseline): number {
    let count = 0
    for (const [bucket, bucketCount] of [...countByBucket].sort(([a], [b]) => a - b)) {
      count += bucketCount
      if (count >= baselineQuantile * total) return bucket + bucketsBetween(slowRatio)
    }
    return Infinity
  }

  function classify (delta: AttemptCounts, lastUsual: number): AttemptCounts[] {
    const isSlow = (delta.latencyBucket ?? 0) > lastUsual
    if (delta.isLowerBound === true && !isSlow) return []
    return [{ ...delta, newBad: isSlow ? delta.newTotal : 0, oldBad: isSlow ? delta.oldTotal : 0 }]
  }

  return {
    add: delta => {
      const baseline = baselineOf(delta)
      if (delta.isLowerBound !== true && delta.oldTotal > 0 && delta.latencyBucket !== undefined) {
        baseline.countByBucket.set(delta.latencyBucket, (baseline.countByBucket.get(delta.latencyBucket) ?? 0) + delta.oldTotal)
        baseline.total += delta.oldTotal
      }
      // Latencies from before the move only serve for comparison.
      if (delta.share > 0) baseline.waiting.push(delta)
      if (baseline.total < minOldLatencies) return []
      const lastUsual = lastUsualBucket(baseline)
      return baseline.waiting.splice(0).flatMap(waiting => classify(waiting, lastUsual))
    }
  }
}
