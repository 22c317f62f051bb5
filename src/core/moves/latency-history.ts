/** The latest latencies of a service's routes, so that a move can be compared with the time before it from its first request on. */
import { latencyBucketOf } from './latency-buckets.ts'
import type { AttemptCounts } from './attempt-counts.ts'
import type { LatencyKind } from './types.ts'

/** Number of latencies that are kept for each route and kind. */
const maxLatencies = 200

/** The latest latencies of one service. */
export interface LatencyHistory {
  add: (route: string, kind: LatencyKind, latencyMs: number) => void
  /** The latencies as counts of the old version, at a share of 0. */
  counts: () => AttemptCounts[]
}

/** Creates an empty history. */
export function createLatencyHistory (): LatencyHistory {
  const bucketsByKey = new Map<string, { route: string, kind: LatencyKind, buckets: number[], next: number }>()

  return {
    add: (route, kind, latencyMs) => {
      const key = `${kind}/${route}`
      const ring = bucketsByKey.get(key) ?? { route, kind, buckets: [], next: 0 }
      bucketsByKey.set(key, ring)
      ring.buckets[ring.next] = latencyBucketOf(latencyMs)
      ring.next = (ring.next + 1) % maxLatencies
    },
    counts: () => [...bucketsByKey.values()].flatMap(({ route, kind, buckets }) => {
      const countByBucket = new Map<number, number>()
      for (const bucket of buckets) countByBucket.set(bucket, (countByBucket.get(bucket) ?? 0) + 1)
      return [...countByBucket].map(([latencyBucket, oldTotal]): AttemptCounts => ({ route, kind, share: 0, latencyBucket, newBad: 0, oldBad: 0, newTotal: 0, oldTotal }))
    })
  }
}
