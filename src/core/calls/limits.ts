/** Default limits of at-most-once calls. */
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
  maxStoredBodyBytes: 16 * kibibyte,
  maxSegmentBytes: 256 * kibibyte,
  maxWaitingRecords: 10_000,
  storeTimeoutMs: secondMs,
  outcomeWaitMs: 250,
  handoverWaitMs: 2 * secondMs,
  storeRetryMs: 250,
  minOwnershipMs: 3 * secondMs,
  ownershipProofMs: 2 * secondMs,
  shardCheckIntervalMs: 500,
  maxAttempts: 3,
  retryPauseMs: 50,
  maxForwards: 6
}

/** Minimum interval between two commits of one shard; keeps the commits of all shards within `journalWritesPerSecond`. */
export function commitIntervalMs (limits: CallLimits): number {
  return limits.callShards * secondMs / limits.journalWritesPerSecond
}
