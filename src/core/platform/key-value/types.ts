/**
 * Interface of the platform's key-value service, the only durable storage of
 * this system. Any other service with the same functions can replace it.
 */
import type { Result } from 'true-myth'
import type { CyclamenError } from '../../errors/index.ts'
import type { LeaseId } from '../../ids/index.ts'

/** Largest value that the service accepts, in bytes. */
export const maxValueBytes = 1024 * 1024

/** One key with its value. */
export interface KeyValueEntry {
  key: string
  value: string
  /** Revision of the store at the key's last change, with its era (see `revision.ts`). The store's revision grows with every write to any key. */
  modRevision: number
  /** Lease that the key is attached to, if any. */
  leaseId?: LeaseId
}

/**
 * `KeyValueUnavailable`: provably nothing was written. `KeyValueAmbiguous`: the
 * write may have taken effect or may still do so. `KeyValueRejected`: the service
 * refuses the request permanently. `ValueTooLarge`: the value exceeds
 * `maxValueBytes`; nothing was sent.
 */
export type KeyValueError =
  | CyclamenError<'KeyValueUnavailable'>
  | CyclamenError<'KeyValueAmbiguous'>
  | CyclamenError<'KeyValueRejected'>
  | CyclamenError<'ValueTooLarge'>

/** A condition of a transaction: the key has the given modification revision; 0 means that the key is absent. */
export interface Compare {
  key: string
  modRevision: number
}

/** Writes that are applied atomically if all compares hold. */
export interface Transaction {
  compares: Compare[]
  puts: Array<{ key: string, value: string, leaseId?: LeaseId }>
  deletes: string[]
}

/** Result of a transaction. If it wasn't applied, `current` contains the current entries of the compared keys. */
export interface TransactionResult {
  applied: boolean
  /** Revision of the store after the transaction; if it was applied, the `modRevision` of the entries it put. */
  revision: number
  current: KeyValueEntry[]
}

/** A change reported by a watch; `value` is undefined if the key was deleted. */
export interface KeyValueChange {
  key: string
  value: string | undefined
  modRevision: number
}

/** Callbacks of a watch. */
export interface WatchHandlers {
  /** `contentAtMs` is a monotonic time up to which all acknowledged changes are known with these; without it, that is the time of the call. */
  onChanges: (changes: KeyValueChange[], revision: number, contentAtMs?: number) => void
  /** Called once when the watch ends with its connection lost or its start revision compacted. The owner then lists the keys again and opens a new watch. */
  onLost: (error: KeyValueError) => void
}

/** An open watch. */
export interface Watch {
  close: () => void
}

/** Options of a call: the wall time by which it must end. */
export interface CallOptions {
  deadlineAtMs: number
}

/** The functions of the service. The service's rate limit counts each call as one request, and each open watch as one read per second. */
export interface KeyValueStore {
  /** Reads one key; `entry` is undefined if it is absent. `revision` is the store's revision at the read. */
  get: (key: string, options: CallOptions) => Promise<Result<{ entry: KeyValueEntry | undefined, revision: number }, KeyValueError>>
  /** Reads all keys with a prefix, sorted by key. */
  list: (prefix: string, options: CallOptions) => Promise<Result<{ entries: KeyValueEntry[], revision: number }, KeyValueError>>
  transact: (transaction: Transaction, options: CallOptions) => Promise<Result<TransactionResult, KeyValueError>>
  /** Grants a lease. The service deletes the lease's keys when it isn't renewed within `ttlSeconds`. */
  grantLease: (ttlSeconds: number, options: CallOptions) => Promise<Result<LeaseId, KeyValueError>>
  /** Renews a lease; `false` if it had expired. */
  keepAlive: (leaseId: LeaseId, options: CallOptions) => Promise<Result<boolean, KeyValueError>>
  revokeLease: (leaseId: LeaseId, options: CallOptions) => Promise<Result<void, KeyValueError>>
  /** Watches a prefix for changes after the given revision. */
  watch: (prefix: string, afterRevision: number, handlers: WatchHandlers) => Watch
  /** The latest known era of the service; 0 before its first response, and always if it has none. Leases and compares of an earlier era are no longer valid. */
  era: () => number
  /** Records an era that another node has seen. */
  observeEra: (era: number) => void
  close: () => Promise<void>
}
