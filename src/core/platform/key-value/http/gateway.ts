/**
 * Messages of the service's JSON gateway, as documented for etcd v3: bytes in
 * base64, 64-bit integers as strings, fields with default values omitted.
 */
import type { KeyValueEntry } from '../types.ts'
import type { LeaseId } from '../../../ids/index.ts'
import { toId } from '../../../ids/index.ts'

/** Paths of the gateway. */
export const gatewayPaths = {
  range: '/v3/kv/range',
  txn: '/v3/kv/txn',
  leaseGrant: '/v3/lease/grant',
  leaseKeepAlive: '/v3/lease/keepalive',
  leaseRevoke: '/v3/lease/revoke',
  watch: '/v3/watch'
} as const

/** The gateway's error codes (gRPC status codes) that this system distinguishes. */
export const gatewayCodes = { invalidArgument: 3, notFound: 5, resourceExhausted: 8, outOfRange: 11, unavailable: 14 } as const

/** Header of every response. */
export interface GatewayHeader {
  revision: string
}

/** One key of a response. */
export interface GatewayKeyValue {
  key: string
  value?: string
  mod_revision?: string
  lease?: string
}

/** A range request. With `range_end` it covers several keys. */
export interface GatewayRangeRequest {
  key: string
  range_end?: string
}

/** A range response. */
export interface GatewayRangeResponse {
  header: GatewayHeader
  kvs?: GatewayKeyValue[]
}

/** A transaction whose compares are on modification revisions. */
export interface GatewayTxnRequest {
  compare: Array<{ key: string, target: 'MOD', result: 'EQUAL', mod_revision: string }>
  success: Array<{ request_put?: { key: string, value: string, lease?: string }, request_delete_range?: { key: string } }>
  failure: Array<{ request_range?: GatewayRangeRequest }>
}

/** A transaction response; `succeeded` is omitted when false. */
export interface GatewayTxnResponse {
  header: GatewayHeader
  succeeded?: boolean
  responses?: Array<{ response_range?: { kvs?: GatewayKeyValue[] } }>
}

/** One message of a watch stream. */
export interface GatewayWatchResponse {
  header: GatewayHeader
  created?: boolean
  canceled?: boolean
  compact_revision?: string
  events?: Array<{ type?: 'PUT' | 'DELETE', kv: GatewayKeyValue }>
}

/** The body of an error response. */
export interface GatewayError {
  code: number
  message: string
}

/** Encodes text as the gateway's bytes. */
export function encodeText (text: string): string {
  return Buffer.from(text).toString('base64')
}

/** Decodes the gateway's bytes to text; an omitted field is the empty string. */
export function decodeText (encoded: string | undefined): string {
  return encoded === undefined ? '' : Buffer.from(encoded, 'base64').toString()
}

/** Returns the first key after all keys with a prefix, in base64. The prefix must not be empty. */
export function encodePrefixEnd (prefix: string): string {
  const bytes = Buffer.from(prefix)
  // UTF-8 never contains the byte 255, so incrementing the last byte can't overflow.
  bytes[bytes.length - 1] = (bytes[bytes.length - 1] ?? 0) + 1
  return bytes.toString('base64')
}

/** Creates the request for all keys with a prefix. For the empty prefix, a zero byte means the first key as start and no limit as end. */
export function encodePrefix (prefix: string): GatewayRangeRequest {
  if (prefix === '') return { key: encodeText('\0'), range_end: encodeText('\0') }
  return { key: encodeText(prefix), range_end: encodePrefixEnd(prefix) }
}

/** Decodes one key of a response. */
export function decodeKeyValue (kv: GatewayKeyValue): KeyValueEntry {
  const entry: KeyValueEntry = { key: decodeText(kv.key), value: decodeText(kv.value), modRevision: Number(kv.mod_revision ?? 0) }
  return kv.lease === undefined || kv.lease === '0' ? entry : { ...entry, leaseId: toId<LeaseId>(kv.lease) }
}

/** Encodes one key of a response. */
export function encodeKeyValue (entry: KeyValueEntry): GatewayKeyValue {
  const kv = { key: encodeText(entry.key), value: encodeText(entry.value), mod_revision: String(entry.modRevision) }
  return entry.leaseId === undefined ? kv : { ...kv, lease: entry.leaseId }
}
