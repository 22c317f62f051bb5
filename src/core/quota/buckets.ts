/** The token bucket of one team: its quota and the part of the tolerance beyond it that may be used. */
import type { QuotaLevels, QuotaLimit, QuotaOptions } from './types.ts'

/** Token bucket of a team's quota and of the tolerance beyond it. */
export interface Bucket {
  /** Available tokens; negative when peers reported more than was left. */
  level: number
  toleranceLevel: number
  updatedAtMs: number
  limit: QuotaLimit
  /** Whether other nodes know the level, too, so that they subtract what this one admits. */
  isKnownByAll: boolean
  /** What is left to nodes that aren't heard, if it may be taken back when they are: what they used is subtracted then. */
  reserved: QuotaLevels
}

/** How far a quota may be exceeded in a window. */
export type Tolerance = NonNullable<QuotaOptions['tolerance']>

/** The amounts that follow from a limit and the tolerance; `share` is the part of all nodes that may use them. */
export interface BucketRules {
  /** How many tokens may be taken beyond a quota in one window. */
  toleranceOf: (limit: QuotaLimit) => number
  capacityOf: (limit: QuotaLimit, share: number) => QuotaLevels
  /** Rate at which quota and tolerance are refilled together. */
  refillPerSecond: (limit: QuotaLimit) => number
  /** Adds what was refilled since the last update. With `keepsReserve`, what exceeds the capacity of the share is kept for the nodes that aren't heard. */
  refresh: (bucket: Bucket, share: number, nowMs: number, keepsReserve: boolean) => void
}

const secondMs = 1_000
/** Parts of the tolerance that may be used at once and over one window. The rest covers admissions that other nodes haven't reported yet. */
const toleranceBurstRatio = 0.2
const toleranceRefillRatio = 0.45

/** Longest delay for a request that was refused although tokens were left. */
const maxExcessDelayMs = 4_000

/** Time in which the excess of one second is worked off; `admissible` is the part of the requests that may be admitted. */
export function excessDelayMs (admissible: number): number {
  return admissible < 1 ? Math.min(maxExcessDelayMs, (1 / Math.max(admissible, Number.EPSILON) - 1) * secondMs) : 0
}

/** Creates the rules for a tolerance. */
export function createBucketRules (tolerance: Tolerance): BucketRules {
  function toleranceOf ({ perSecond, burst }: QuotaLimit): number {
    return (perSecond * tolerance.windowMs / secondMs + burst) * tolerance.share + tolerance.extra
  }

  function capacityOf (limit: QuotaLimit, share: number): QuotaLevels {
    return { quota: limit.burst * share, tolerance: toleranceOf(limit) * toleranceBurstRatio * share }
  }

  /** Moves tokens between the levels and what is left to nodes that aren't heard, according to the part of the burst that both may have. */
  function moveReserved (bucket: Bucket, capacity: QuotaLevels): void {
    const whole = capacityOf(bucket.limit, 1)
    const available = { quota: bucket.level, tolerance: bucket.toleranceLevel }
    for (const part of ['quota', 'tolerance'] as const) {
      const maxReserved = whole[part] - capacity[part]
      const returned = Math.max(0, bucket.reserved[part] - maxReserved)
      available[part] += returned
      const excess = Math.max(0, available[part] - capacity[part])
      bucket.reserved[part] = Math.min(maxReserved, bucket.reserved[part] - returned + excess)
    }
    bucket.level = available.quota
    bucket.toleranceLevel = available.tolerance
  }

  function refresh (bucket: Bucket, share: number, nowMs: number, keepsReserve: boolean): void {
    const effectiveElapsedMs = (nowMs - bucket.updatedAtMs) * share
    const capacity = capacityOf(bucket.limit, share)
    bucket.level += bucket.limit.perSecond * effectiveElapsedMs / secondMs
    bucket.toleranceLevel += toleranceOf(bucket.limit) * toleranceRefillRatio * effectiveElapsedMs / tolerance.windowMs
    bucket.updatedAtMs = nowMs
    if (keepsReserve) moveReserved(bucket, capacity)
    bucket.level = Math.min(capacity.quota, bucket.level)
    bucket.toleranceLevel = Math.min(capacity.tolerance, bucket.toleranceLevel)
  }

  return {
    toleranceOf,
    capacityOf,
    refillPerSecond: limit => limit.perSecond + toleranceOf(limit) * toleranceRefillRatio * secondMs / tolerance.windowMs,
    refresh
  }
}
