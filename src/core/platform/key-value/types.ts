/**
 * The platform's key-value service as this system sees it: the only place
 * where something lasts. Any other service with the same functions can take
 * its place.
 */
import type { Result } from 'true-myth'
import type { CyclamenError } from '../../errors/index.ts'
import type { LeaseId } from '../../ids/index.ts'

/** Largest value the service holds, in bytes. */
export const maxValueBytes = 1024 * 1024

/** One key with its value. */
export interface KeyValueEntry {
  key: string
  value: string
  /** Revision of the whole store at the key's last change; grows with every write. */
  modRevision: number
  /** Lease that the key lives under, if any. */
  leaseId?: LeaseId
}

/**
 * `KeyValueUnavailable`: provably nothing was written. `KeyValueAmbiguous`: the
 * write may have taken effect, now or a little later. `KeyValueRejected`: the
 * service understood the request and will never take it.
 */
export type KeyValueError =
  | CyclamenError<'KeyValueUnavailable'>
  | CyclamenError<'KeyValueAmbiguous'>
  | CyclamenError<'KeyValueRejected'>
  | CyclamenError<'ValueTooLarge'>

/** A condition of a transaction: the key's modification revision, 0 for "absent". */
export interface Compare {
  key: string
  modRevision: number
}

/** Writes that are applied together, only if all compares hold. */
export interface Transaction {
  compares: Compare[]
  puts: Array<{ key: string, value: string, leaseId?: LeaseId }>
  deletes: string[]
}

/** Result of a transaction. When it wasn't applied, `current` holds the compared keys as they are. */
export interface TransactionResult {
  applied: boolean
  /** Revision of the store after the call; the `modRevision` of what was put. */
  revision: number
  current: KeyValueEntry[]
}

/** A change seen by a watch; `value` is undefined when the key was deleted. */
export interface KeyValueChange {
  key: string
  value: string | undefined
  modRevision: number
}

/** What a watch tells its owner. */
export interface WatchHandlers {
  onChanges: (changes: KeyValueChange[], revision: number) => void
  /** The watch lost its place or its connection; the owner lists again and opens a new watch. */
  onLost: (error: KeyValueError) => void
}

/** An open watch. */
export interface Watch {
  close: () => void
}

/** When a call of the service has to end, as wall time. */
export interface CallOptions {
  deadlineAtMs: number
}

/** The functions of the service. Each call counts one at the service; a waiting watch counts as one. */
export interface KeyValueStore {
  /** Reads one key; undefined when absent. `revision` is the store's revision of the read. */
  get: (key: string, options: CallOptions) => Promise<Result<{ entry: KeyValueEntry | undefined, revision: number }, KeyValueError>>
  /** Reads all keys with a prefix, in order of key. */
  list: (prefix: string, options: CallOptions) => Promise<Result<{ entries: KeyValueEntry[], revision: number }, KeyValueError>>
  transact: (transaction: Transaction, options: CallOptions) => Promise<Result<TransactionResult, KeyValueError>>
  /** Grants a lease; the service deletes its keys when it isn't kept alive for `ttlSeconds`. */
  grantLease: (ttlSeconds: number, options: CallOptions) => Promise<Result<LeaseId, KeyValueError>>
  /** Renews a lease; `false` when it had lapsed. */
  keepAlive: (leaseId: LeaseId, options: CallOptions) => Promise<Result<boolean, KeyValueError>>
  revokeLease: (leaseId: LeaseId, options: CallOptions) => Promise<Result<void, KeyValueError>>
  /** Watches a prefix from the given revision on (exclusive). */
  watch: (prefix: string, afterRevision: number, handlers: WatchHandlers) => Watch
  close: () => Promise<void>
}
