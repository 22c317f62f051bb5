/**
 * Keys of calls: their shard, their digest, and the time that some embed.
 */
import { createHash } from 'node:crypto'
import type { IdempotencyKey, TeamId } from '../ids/index.ts'
import type { Call, CallLimits } from './types.ts'

const digestBytes = 16
const uuidV7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i

/** The name of a key in tables and journals. */
export function recordId (team: TeamId, key: IdempotencyKey): string {
  return `${team}\n${key}`
}

/** The shard of a key, the same on every node. */
export function shardOf (id: string, shards: number): number {
  return createHash('sha256').update(id).digest().readUInt32BE(0) % shards
}

/** Digest of what a repeat must have in common with the first call. */
export function digestOf (call: Call): string {
  return createHash('sha256')
    .update(`${call.route}\n${call.contentType}\n`)
    .update(call.body)
    .digest()
    .subarray(0, digestBytes)
    .toString('base64url')
}

/** Wall time embedded in a UUID of version 7 (RFC 9562), or undefined for other keys. */
export function embeddedTimeMs (key: IdempotencyKey): number | undefined {
  const match = uuidV7.exec(key)
  return match === null ? undefined : parseInt(`${match[1]}${match[2]}`, 16)
}

/** Whether a key's own time is usable: not too old to be remembered, not ahead of the clocks. */
export function checkKeyTime (key: IdempotencyKey, nowMs: number, limits: CallLimits): 'usable' | 'expired' | 'ahead' {
  const madeAtMs = embeddedTimeMs(key)
  if (madeAtMs === undefined) return 'usable'
  if (madeAtMs > nowMs + limits.clockSkewMs) return 'ahead'
  return madeAtMs + limits.retentionMs < nowMs ? 'expired' : 'usable'
}

/**
 * Wall time after which a key may be forgotten. A key with its own time is
 * refused as expired on every node by then, whatever their clocks' skew.
 */
export function expiryOf (key: IdempotencyKey, nowMs: number, limits: CallLimits): number {
  const fromMs = Math.max(nowMs, embeddedTimeMs(key) ?? 0)
  return fromMs + limits.retentionMs + 2 * limits.clockSkewMs
}
