/** Logarithmic buckets of latencies, so that nodes can add up each other's counts. */

/** Ratio of the bounds of a bucket. */
const bucketRatio = 1.2

/** Number of the bucket that contains a latency; latencies below 1 ms share a bucket. */
export function latencyBucketOf (latencyMs: number): number {
  return Math.ceil(Math.log(Math.max(1, latencyMs)) / Math.log(bucketRatio))
}

/** Number of buckets between a latency and its multiple, rounded down. */
export function bucketsBetween (multiple: number): number {
  return Math.floor(Math.log(multiple) / Math.log(bucketRatio))
}
