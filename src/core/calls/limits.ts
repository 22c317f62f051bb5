/** Default bounds of at-most-once calls. */
import type { CallLimits } from './types.ts'

const secondMs = 1_000
const hourMs = 3_600 * secondMs
const kibibyte = 1_024

export const defaultCallLimits: CallLimits = {
  callShards: 3,
  journalWritesPerSecond: 200,
  retentionMs: 24 * hourMs,
  clockSkewMs: 60 * secondMs,
  maxKeysPerShard: 200_000,
  maxKeptBodyBytes: 16 * kibibyte,
  maxSegmentBytes: 256 * kibibyte,
  maxWaitingRecords: 10_000,
  storeTimeoutMs: secondMs,
  outcomeWaitMs: 250,
  handOverWaitMs: 2 * secondMs,
  storeRetryMs: 250,
  minTenureMs: 3 * secondMs,
  trustMs: 2 * secondMs,
  maintainIntervalMs: 500,
  maxAttempts: 3,
  attemptPauseMs: 50,
  maxForwards: 6
}

/** Shortest time between two commits of one shard, so that all shards together stay under their rate. */
export function commitIntervalMs (limits: CallLimits): number {
  return limits.callShards * secondMs / limits.journalWritesPerSecond
}
