/** Idempotency keys of calls: shard, request hash, embedded timestamp and expiry. */
import { createHash } from 'node:crypto'
import type { IdempotencyKey, TeamId } from '../ids/index.ts'
import type { Call, CallLimits } from './types.ts'

const digestBytes = 16
const uuidV7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i

/** Identifies a key in tables and journals. */
export function recordId (team: TeamId, key: IdempotencyKey): string {
  return `${team}\n${key}`
}

/** The shard of a record id; the same on every node. */
export function shardOf (id: string, shards: number): number {
  return createHash('sha256').update(id).digest().readUInt32BE(0) % shards
}

/** Hash of the parts of a call that must be equal in every request with the same key. */
export function digestOf (call: Call): string {
  return createHash('sha256')
    .update(`${call.route}\n${call.contentType}\n`)
    .update(call.body)
    .digest()
    .subarray(0, digestBytes)
    .toString('base64url')
}

/** The wall time embedded in a UUID version 7 (RFC 9562); undefined for other keys. */
export function embeddedTimeMs (key: IdempotencyKey): number | undefined {
  const match = uuidV7.exec(key)
  return match === null ? undefined : parseInt(`${match[1]}${match[2]}`, 16)
}

/** Checks the timestamp embedded in a key: `expired` if it is older than the retention time, `ahead` if it is in the future. */
export function checkKeyTime (key: IdempotencyKey, nowMs: number, limits: CallLimits): 'usable' | 'expired' | 'ahead' {
  const createdAtMs = embeddedTimeMs(key)
  if (createdAtMs === undefined) return 'usable'
  if (createdAtMs > nowMs + limits.clockSkewMs) return 'ahead'
  return createdAtMs + limits.retentionMs < nowMs ? 'expired' : 'usable'
}

/**
 * Wall time after which a key may be deleted. A key with an embedded timestamp is
 * refused as expired on every node by then, within the allowed clock skew.
 */
export function expiryOf (key: IdempotencyKey, nowMs: number, limits: CallLimits): number {
  const startMs = Math.max(nowMs, embeddedTimeMs(key) ?? 0)
  return startMs + limits.retentionMs + 2 * limits.clockSkewMs
}
