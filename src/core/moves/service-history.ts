/** The latest attempts of a service's routes, so that a move can be compared with the time before it from its first request on. */
import { latencyBucketOf } from './latency-buckets.ts'
import type { AttemptCounts } from './attempt-counts.ts'
import type { LatencyKind, RegressionKind } from './types.ts'

/** Number of attempts that are kept for each route and kind. */
const maxAttempts = 200
/** Time over which the rate of attempts is averaged. */
const rateWindowMs = 10_000

/** The latest attempts of one service. Times are monotonic, in ms. */
export interface ServiceHistory {
  addLatency: (route: string, kind: LatencyKind, latencyMs: number) => void
  addAttempt: (route: string, ok: boolean, nowMs: number) => void
  /** The attempts as counts of the old version, at a share of 0. */
  counts: () => AttemptCounts[]
  /** Recent attempts per second on this node; 0 without any. */
  attemptsPerSecond: (nowMs: number) => number
}

/** The latest values of one route and kind: buckets of latencies, or 1 for each failed attempt and 0 for others. */
interface Ring { route: string, kind: RegressionKind, values: number[], next: number }

function countsOf ({ route, kind, values }: Ring): AttemptCounts[] {
  const none = { route, kind, share: 0, newBad: 0, newTotal: 0 }
  if (kind === 'failing') return [{ ...none, oldBad: values.reduce((sum, value) => sum + value, 0), oldTotal: values.length }]
  const countByBucket = new Map<number, number>()
  for (const bucket of values) countByBucket.set(bucket, (countByBucket.get(bucket) ?? 0) + 1)
  return [...countByBucket].map(([latencyBucket, oldTotal]) => ({ ...none, latencyBucket, oldBad: 0, oldTotal }))
}

/** Creates an empty history. */
export function createServiceHistory (): ServiceHistory {
  const rings = new Map<string, Ring>()
  let firstAtMs: number | undefined
  let recentAtMs: number[] = []

  function add (route: string, kind: RegressionKind, value: number): void {
    const key = `${kind}/${route}`
    const ring = rings.get(key) ?? { route, kind, values: [], next: 0 }
    rings.set(key, ring)
    ring.values[ring.next] = value
    ring.next = (ring.next + 1) % maxAttempts
  }

  return {
    addLatency: (route, kind, latencyMs) => add(route, kind, latencyBucketOf(latencyMs)),
    addAttempt: (route, ok, nowMs) => {
      firstAtMs ??= nowMs
      recentAtMs.push(nowMs)
      if (recentAtMs.length > maxAttempts) recentAtMs = recentAtMs.slice(-maxAttempts / 2)
      add(route, 'failing', ok ? 0 : 1)
    },
    counts: () => [...rings.values()].flatMap(countsOf),
    attemptsPerSecond: nowMs => {
      const recent = recentAtMs.filter(atMs => atMs > nowMs - rateWindowMs)
      const sinceMs = recent.length === recentAtMs.length ? firstAtMs : recent[0]
      if (recent.length === 0 || sinceMs === undefined) return 0
      return recent.length * 1_000 / Math.max(1_000, nowMs - Math.max(sinceMs, nowMs - rateWindowMs))
    }
  }
}
