/**
 * Counts the calls of an in-memory key-value service by operation and client,
 * and limits their rates. An open watch uses one read per second of the limit.
 */
import { isWrite } from './faults.ts'
import type { KeyValueOperation } from './faults.ts'

/** Calls since the start or the last reset. */
export interface CallCounts {
  total: number
  reads: number
  writes: number
  /** Number of open watches. */
  waitingWatches: number
  refusedByRate: number
  byOperation: Record<KeyValueOperation, number>
  byClient: Record<string, number>
}

/** Rate limits of the service; calls above them are refused. */
export interface RateLimits {
  maxReadsPerSecond: number
  maxWritesPerSecond: number
}

function emptyCounts (waitingWatches: number): CallCounts {
  return {
    total: 0,
    reads: 0,
    writes: 0,
    waitingWatches,
    refusedByRate: 0,
    byOperation: { get: 0, list: 0, transact: 0, grantLease: 0, keepAlive: 0, revokeLease: 0, watch: 0 },
    byClient: {}
  }
}

/** Creates a token bucket with a capacity of one second. The returned function takes one token; false if there is none. */
function createTokenBucket (nowMs: () => number): (perSecond: number) => boolean {
  let tokens: number | undefined
  let lastRefillAtMs = nowMs()
  return perSecond => {
    if (perSecond === Infinity) return true
    const atMs = nowMs()
    tokens = Math.min(perSecond, (tokens ?? perSecond) + perSecond * (atMs - lastRefillAtMs) / 1000)
    lastRefillAtMs = atMs
    if (tokens < 1) return false
    tokens -= 1
    return true
  }
}

/** Counts calls and enforces the rate limits. */
export interface CallCounter {
  /** Counts a call; `false` if it exceeds the rate limit. */
  admit: (client: string, operation: KeyValueOperation) => boolean
  watchOpened: () => void
  watchClosed: () => void
  counts: () => CallCounts
  reset: () => void
}

/** Creates the counter of one service. */
export function createCallCounter (nowMs: () => number, limits: RateLimits): CallCounter {
  let counts = emptyCounts(0)
  const takeRead = createTokenBucket(nowMs)
  const takeWrite = createTokenBucket(nowMs)

  function admit (client: string, operation: KeyValueOperation): boolean {
    counts.total += 1
    counts.byOperation[operation] += 1
    counts.byClient[client] = (counts.byClient[client] ?? 0) + 1
    const write = isWrite(operation)
    if (write) counts.writes += 1
    else counts.reads += 1
    const admitted = write
      ? takeWrite(limits.maxWritesPerSecond)
      : takeRead(Math.max(0, limits.maxReadsPerSecond - counts.waitingWatches))
    if (!admitted) counts.refusedByRate += 1
    return admitted
  }

  return {
    admit,
    watchOpened: () => { counts.waitingWatches += 1 },
    watchClosed: () => { counts.waitingWatches -= 1 },
    counts: () => structuredClone(counts),
    reset: () => { counts = emptyCounts(counts.waitingWatches) }
  }
}
