/** Counts of attempts of both versions by bucket, and what is bad among them. Failures have the buckets 0 and 1, latencies those of `latency-buckets.ts`. */
import { bucketsBetween } from './latency-buckets.ts'
import type { AttemptCounts } from './attempt-counts.ts'
import type { VersionCounts } from './types.ts'

/** Latencies from which there is a comparison. */
const minReferenceLatencies = 20
const baselineQuantile = 0.9
const failedBucket = 1

/** Attempts by bucket. */
export interface Histogram {
  newCounts: Map<number, number>
  oldCounts: Map<number, number>
  /** Latencies that were not complete. */
  newBounds: Map<number, number>
  oldBounds: Map<number, number>
}

/** Creates an empty histogram. */
export function createHistogram (): Histogram {
  return { newCounts: new Map(), oldCounts: new Map(), newBounds: new Map(), oldBounds: new Map() }
}

/** Adds counts of attempts to a histogram. */
export function addCounts (histogram: Histogram, { latencyBucket, isLowerBound, newBad, newTotal, oldBad, oldTotal }: AttemptCounts): void {
  if (latencyBucket === undefined) {
    addTo(histogram.newCounts, failedBucket, newBad)
    addTo(histogram.newCounts, 0, newTotal - newBad)
    addTo(histogram.oldCounts, failedBucket, oldBad)
    addTo(histogram.oldCounts, 0, oldTotal - oldBad)
    return
  }
  addTo(isLowerBound === true ? histogram.newBounds : histogram.newCounts, latencyBucket, newTotal)
  addTo(isLowerBound === true ? histogram.oldBounds : histogram.oldCounts, latencyBucket, oldTotal)
}

function addTo (counts: Map<number, number>, bucket: number, count: number): void {
  if (count !== 0) counts.set(bucket, (counts.get(bucket) ?? 0) + count)
}

/** Number of attempts in all buckets. */
export function totalOf (counts: Map<number, number>): number {
  let total = 0
  for (const count of counts.values()) total += count
  return total
}

function countAbove (counts: Map<number, number>, lastUsual: number): number {
  let total = 0
  for (const [bucket, count] of counts) if (bucket > lastUsual) total += count
  return total
}

/** Attempts above the last usual bucket, and all of them; an incomplete latency counts only if it is slow already. */
export function tallyOf ({ newCounts, oldCounts, newBounds, oldBounds }: Histogram, lastUsual: number): VersionCounts {
  const newLate = countAbove(newBounds, lastUsual)
  const oldLate = countAbove(oldBounds, lastUsual)
  return {
    newBad: countAbove(newCounts, lastUsual) + newLate,
    newTotal: totalOf(newCounts) + newLate,
    oldBad: countAbove(oldCounts, lastUsual) + oldLate,
    oldTotal: totalOf(oldCounts) + oldLate
  }
}

/** Adds up tallies. */
export function sumTallies (tallies: readonly VersionCounts[]): VersionCounts {
  const sum = { newBad: 0, newTotal: 0, oldBad: 0, oldTotal: 0 }
  for (const { newBad, newTotal, oldBad, oldTotal } of tallies) {
    sum.newBad += newBad
    sum.newTotal += newTotal
    sum.oldBad += oldBad
    sum.oldTotal += oldTotal
  }
  return sum
}

/** The last bucket that isn't slow in comparison with the given latencies; undefined when these are too few. */
export function lastUsualBucket (countsList: ReadonlyArray<Map<number, number>>, ratio: number): number | undefined {
  const sum = new Map<number, number>()
  for (const counts of countsList) for (const [bucket, count] of counts) addTo(sum, bucket, count)
  const total = totalOf(sum)
  if (total < minReferenceLatencies) return undefined
  let count = 0
  for (const [bucket, bucketCount] of [...sum].sort(([a], [b]) => a - b)) {
    count += bucketCount
    if (count >= baselineQuantile * total) return bucket + bucketsBetween(ratio)
  }
  return undefined
}
