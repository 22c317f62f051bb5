/**
 * The data of an in-memory key-value service: entries, leases, history and
 * subscriptions, with compare-and-swap. Every function takes effect
 * synchronously; faults and delays are added by its callers.
 */
import { Result } from 'true-myth'
import { createError } from '../../../errors/index.ts'
import { toId } from '../../../ids/index.ts'
import { maxValueBytes } from '../types.ts'
import { createHistory } from './history.ts'
import type { CyclamenError } from '../../../errors/index.ts'
import type { LeaseId } from '../../../ids/index.ts'
import type { KeyValueChange, KeyValueEntry, Transaction, TransactionResult } from '../types.ts'
import type { HistoryListener } from './history.ts'

/** Errors of requests that the service refuses. */
export type StateError = CyclamenError<'KeyValueRejected'> | CyclamenError<'ValueTooLarge'>

/** Options of the data. */
export interface StateOptions {
  /** Monotonic time, by which leases expire. */
  nowMs: () => number
  /** Number of revisions kept for watches; older ones are compacted. */
  maxHistoryRevisions: number
}

interface Lease {
  ttlMs: number
  expiresAtMs: number
}

/** A copy of the data, to restore it later. */
export interface KeyValueCopy {
  revision: number
  entries: KeyValueEntry[]
  leases: Array<[LeaseId, { ttlMs: number }]>
  lastLease: number
}

/** The data of one service. */
export interface KeyValueState {
  revision: () => number
  get: (key: string) => KeyValueEntry | undefined
  list: (prefix: string) => KeyValueEntry[]
  transact: (transaction: Transaction) => Result<TransactionResult, StateError>
  grantLease: (ttlSeconds: number) => Result<LeaseId, StateError>
  /** Renews a lease; `false` if it doesn't exist. */
  keepAlive: (leaseId: LeaseId) => boolean
  /** Time to live of a lease in seconds; undefined if the lease doesn't exist. */
  ttlSeconds: (leaseId: LeaseId) => number | undefined
  revokeLease: (leaseId: LeaseId) => void
  /** Deletes the keys of every expired lease; returns the monotonic time at which the next one expires, if any. */
  expireLeases: () => number | undefined
  /** Calls the listener with the changes after a revision; an error if they were compacted. Returns a function that unsubscribes it. */
  subscribe: (prefix: string, afterRevision: number, listener: HistoryListener) => Result<() => void, StateError>
  /** Drops the history up to a revision. */
  compact: (revision: number) => void
  /** Last revision whose changes were dropped; 0 if none was. */
  compactedRevision: () => number
  copy: () => KeyValueCopy
  /** Replaces the data by a copy, as after the loss of all later writes: revisions and leases are given out again. */
  restore: (copy: KeyValueCopy) => void
}

/** Validates a transaction: the sizes of its values, and that no key is empty or changed twice. */
export function checkTransaction (transaction: Transaction): StateError | undefined {
  for (const put of transaction.puts) {
    const sizeBytes = Buffer.byteLength(put.value)
    if (sizeBytes > maxValueBytes) return createError('ValueTooLarge', { key: put.key, sizeBytes, maxBytes: maxValueBytes })
  }
  const keys = [...transaction.puts.map(put => put.key), ...transaction.deletes]
  if (keys.some(key => key === '')) return rejected('transact', 'a key is empty')
  if (new Set(keys).size !== keys.length) return rejected('transact', 'a key is changed twice')
  return undefined
}

function rejected (operation: string, cause: string): CyclamenError<'KeyValueRejected'> {
  return createError('KeyValueRejected', { operation, cause })
}

/** Creates empty data at revision 1, at which the real service starts too. */
export function createKeyValueState (options: StateOptions): KeyValueState {
  const entries = new Map<string, KeyValueEntry>()
  const leases = new Map<LeaseId, Lease>()
  const history = createHistory(options.maxHistoryRevisions)
  let revision = 1
  let lastLease = 1000

  function expireLeases (): number | undefined {
    const nowMs = options.nowMs()
    let next: number | undefined
    for (const [leaseId, lease] of leases) {
      if (lease.expiresAtMs <= nowMs) revokeLease(leaseId)
      else next = Math.min(next ?? Infinity, lease.expiresAtMs)
    }
    return next
  }

  function revokeLease (leaseId: LeaseId): void {
    if (!leases.delete(leaseId)) return
    const keys = [...entries.values()].filter(entry => entry.leaseId === leaseId).map(entry => entry.key)
    write([], keys)
  }

  /** Applies puts and deletes under one new revision. Deletes of absent keys have no effect and create no revision. */
  function write (puts: Transaction['puts'], deletes: string[]): void {
    const present = deletes.filter(key => entries.has(key))
    if (puts.length === 0 && present.length === 0) return
    revision += 1
    const changes: KeyValueChange[] = []
    for (const { key, value, leaseId } of puts) {
      entries.set(key, { key, value, modRevision: revision, ...(leaseId === undefined ? {} : { leaseId }) })
      changes.push({ key, value, modRevision: revision })
    }
    for (const key of present) {
      entries.delete(key)
      changes.push({ key, value: undefined, modRevision: revision })
    }
    history.append(revision, changes)
  }

  function transact (transaction: Transaction): Result<TransactionResult, StateError> {
    const problem = checkTransaction(transaction)
    if (problem !== undefined) return Result.err(problem)
    const holds = transaction.compares.every(({ key, modRevision }) => (entries.get(key)?.modRevision ?? 0) === modRevision)
    if (!holds) {
      const current = transaction.compares.flatMap(({ key }) => entries.get(key) ?? [])
      return Result.ok({ applied: false, revision, current })
    }
    const missing = transaction.puts.find(({ leaseId }) => leaseId !== undefined && !leases.has(leaseId))
    if (missing !== undefined) return Result.err(rejected('transact', `lease ${missing.leaseId} does not exist`))
    write(transaction.puts, transaction.deletes)
    return Result.ok({ applied: true, revision, current: [] })
  }

  function grantLease (ttlSeconds: number): Result<LeaseId, StateError> {
    if (!(ttlSeconds > 0)) return Result.err(rejected('grantLease', 'the time to live is not positive'))
    lastLease += 1
    const leaseId = toId<LeaseId>(String(lastLease))
    const ttlMs = ttlSeconds * 1000
    leases.set(leaseId, { ttlMs, expiresAtMs: options.nowMs() + ttlMs })
    return Result.ok(leaseId)
  }

  function keepAlive (leaseId: LeaseId): boolean {
    const lease = leases.get(leaseId)
    if (lease === undefined) return false
    lease.expiresAtMs = options.nowMs() + lease.ttlMs
    return true
  }

  function list (prefix: string): KeyValueEntry[] {
    return [...entries.values()]
      .filter(entry => entry.key.startsWith(prefix))
      .sort((a, b) => (a.key < b.key ? -1 : 1))
  }

  function subscribe (prefix: string, afterRevision: number, listener: HistoryListener): Result<() => void, StateError> {
    const compacted = history.compactedRevision()
    if (afterRevision < compacted) return Result.err(rejected('watch', `revisions up to ${compacted} were compacted`))
    return Result.ok(history.subscribe(prefix, afterRevision, listener))
  }

  return {
    revision: () => revision,
    get: key => entries.get(key),
    list,
    transact,
    grantLease,
    keepAlive,
    ttlSeconds: leaseId => {
      const lease = leases.get(leaseId)
      return lease === undefined ? undefined : lease.ttlMs / 1000
    },
    revokeLease,
    expireLeases,
    subscribe,
    compact: until => history.compact(until),
    compactedRevision: history.compactedRevision,
    copy: () => ({ revision, entries: [...entries.values()], leases: [...leases].map(([id, { ttlMs }]) => [id, { ttlMs }]), lastLease }),
    restore: copy => {
      revision = copy.revision
      lastLease = copy.lastLease
      entries.clear()
      for (const entry of copy.entries) entries.set(entry.key, entry)
      leases.clear()
      for (const [id, { ttlMs }] of copy.leases) leases.set(id, { ttlMs, expiresAtMs: options.nowMs() + ttlMs })
      history.rewind(copy.revision)
    }
  }
}
