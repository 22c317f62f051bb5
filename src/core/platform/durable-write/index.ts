/**
 * Compare-and-swap that determines its outcome even when the response is lost.
 * Every write also compares a barrier key that only its writer changes. After a
 * lost response the writer reads the key back. If the write isn't there, the
 * writer changes the barrier key before it reads again, so that a request that
 * is still delayed in the network fails its compare and can't take effect later.
 */
import { createId } from '../../ids/index.ts'
import { revisionInEra } from '../key-value/revision.ts'
import type { Clock } from '../../clock/index.ts'
import type { LeaseId, WriteId } from '../../ids/index.ts'
import type { KeyValueEntry, KeyValueStore } from '../key-value/types.ts'
import type { DurableOutcome, DurableWrite, DurableWriter } from './types.ts'

export type * from './types.ts'

/** Options of a writer. */
export interface DurableWriterOptions {
  store: KeyValueStore
  clock: Clock
  /** Barrier key, such as `barriers/<node>`. Only this writer may change it. */
  barrierKey: string
  /** Returns the lease that the barrier key is attached to, so that it is deleted when its writer is gone. Without a lease the key stays. */
  barrierLease?: () => Promise<LeaseId | undefined>
}

const retryDelayMs = 100
/** Timeout of one call, so that a connection that doesn't respond leaves time for a retry before the deadline. */
const callTimeoutMs = 2_000

/** Creates a writer. Its first write needs one additional call to create the barrier key. */
export function createDurableWriter (options: DurableWriterOptions): DurableWriter {
  const { store, clock, barrierKey } = options
  let barrierRevision: number | undefined
  /** Barrier revision that each write was last sent with; needed by `resolveOutcome`. */
  const sentBarrierRevisions = new WeakMap<DurableWrite, number>()

  function callDeadline (deadlineAtMs: number): { deadlineAtMs: number } {
    return { deadlineAtMs: Math.min(deadlineAtMs, clock.wallMs() + callTimeoutMs) }
  }

  /** Waits before a retry; `false` when the deadline leaves no time for one. */
  async function waitToRetry (deadlineAtMs: number): Promise<boolean> {
    if (clock.wallMs() + retryDelayMs >= deadlineAtMs) return false
    await clock.sleep(retryDelayMs)
    return true
  }

  /** Reads a key and retries until the deadline; undefined when it could not be read. */
  async function read (key: string, deadlineAtMs: number): Promise<{ entry: KeyValueEntry | undefined } | undefined> {
    do {
      const response = await store.get(key, callDeadline(deadlineAtMs))
      if (response.isOk) return response.value
    } while (await waitToRetry(deadlineAtMs))
    return undefined
  }

  /**
   * Changes the barrier key until its revision is above the given one, also as the
   * service itself counts it after it was restored from an older copy. A delayed
   * change of the barrier key is harmless: it only makes a later write fail its
   * compare, and that write is then sent again with the new revision.
   */
  async function advanceBarrier (currentRevision: number, deadlineAtMs: number): Promise<boolean> {
    do {
      const value = createId<WriteId>('bar', clock.wallMs())
      const leaseId = await options.barrierLease?.()
      const put = leaseId === undefined ? { key: barrierKey, value } : { key: barrierKey, value, leaseId }
      const response = await store.transact({ compares: [], puts: [put], deletes: [] }, callDeadline(deadlineAtMs))
      if (response.isOk) barrierRevision = response.value.revision
      else barrierRevision = (await store.get(barrierKey, callDeadline(deadlineAtMs))).unwrapOr(undefined)?.entry?.modRevision
      if (barrierRevision !== undefined && barrierRevision > currentRevision && revisionInEra(barrierRevision) > revisionInEra(currentRevision)) return true
    } while (await waitToRetry(deadlineAtMs))
    barrierRevision = undefined
    return false
  }

  async function write (durable: DurableWrite): Promise<DurableOutcome> {
    const { key, expectedRevision, value, leaseId, deadlineAtMs } = durable
    do {
      if (barrierRevision === undefined && !await advanceBarrier(0, deadlineAtMs)) break
      const sentRevision = barrierRevision ?? 0
      sentBarrierRevisions.set(durable, sentRevision)
      const put = leaseId === undefined ? { key, value } : { key, value, leaseId }
      const compares = [{ key, modRevision: expectedRevision }, { key: barrierKey, modRevision: sentRevision }]
      const response = await store.transact({ compares, puts: [put], deletes: [] }, callDeadline(deadlineAtMs))
      if (response.isErr) {
        const { kind } = response.error
        if (kind === 'KeyValueAmbiguous') return await resolveOutcome(durable, deadlineAtMs)
        if (kind !== 'KeyValueUnavailable') return { kind: 'rejected', error: response.error }
        continue
      }
      const result = response.value
      if (result.applied) return { kind: 'committed', revision: result.revision }
      const current = result.current.find(entry => entry.key === key)
      if ((current?.modRevision ?? 0) !== expectedRevision) return { kind: 'not-applied', cause: 'conflict', current }
      // Only the barrier key can have changed, so the next attempt uses its current revision.
      barrierRevision = result.current.find(entry => entry.key === barrierKey)?.modRevision
    } while (await waitToRetry(deadlineAtMs))
    // No attempt was made, or every attempt provably had no effect.
    return { kind: 'not-applied', cause: 'unavailable', current: undefined }
  }

  async function resolveOutcome (durable: DurableWrite, deadlineAtMs: number): Promise<DurableOutcome> {
    const { key, expectedRevision, isOwn } = durable
    const firstRead = await read(key, deadlineAtMs)
    if (firstRead === undefined) return { kind: 'undecided' }
    if (firstRead.entry !== undefined && isOwn(firstRead.entry.value)) return { kind: 'committed', revision: firstRead.entry.modRevision }
    // Revisions aren't reused, so a changed one proves that the write can't take effect any more. A key that was absent may be absent again.
    if (expectedRevision !== 0 && (firstRead.entry?.modRevision ?? 0) !== expectedRevision) return { kind: 'superseded', current: firstRead.entry }
    const sentRevision = sentBarrierRevisions.get(durable) ?? 0
    const hasAdvanced = barrierRevision !== undefined && barrierRevision > sentRevision
    if (!hasAdvanced && !await advanceBarrier(sentRevision, deadlineAtMs)) return { kind: 'undecided' }
    const secondRead = await read(key, deadlineAtMs)
    if (secondRead === undefined) return { kind: 'undecided' }
    if (secondRead.entry !== undefined && isOwn(secondRead.entry.value)) return { kind: 'committed', revision: secondRead.entry.modRevision }
    const isUnchanged = (secondRead.entry?.modRevision ?? 0) === expectedRevision
    return isUnchanged ? { kind: 'not-applied', cause: 'unavailable', current: secondRead.entry } : { kind: 'superseded', current: secondRead.entry }
  }

  return { write, resolveOutcome }
}
