/**
 * The epoch under which this node owns a shard. Raising it makes sure that no
 * earlier write of this node can still land.
 */
import { createId } from '../ids/index.ts'
import { ownerKey } from './journal.ts'
import { parseOwner } from './ownership.ts'
import type { Clock } from '../clock/index.ts'
import type { NodeId, WriteId } from '../ids/index.ts'
import type { Compare, KeyValueEntry, KeyValueStore, Transaction } from '../platform/key-value/types.ts'
import type { Ownership, OwnerValue } from './ownership.ts'
import type { CallLimits } from './types.ts'

/** The owner's key as it was found: still this node's, another's, or not read. */
export type Found = { kind: 'mine' } | { kind: 'lost', holder: NodeId | undefined } | { kind: 'unavailable' }

/** The epoch of one shard. */
export interface OwnerEpoch {
  epoch: () => number
  /** The condition that every write of the owner is under. */
  compares: () => Compare[]
  /** Judges the owner's key after a failed compare; a write of this node's own whose answer was lost is taken over. */
  judge: (current: KeyValueEntry | undefined) => Found
  raise: () => Promise<Found>
  /** Gives the shard up, so that any node may take it at once. */
  release: () => Promise<void>
}

/** What an epoch needs. */
export interface OwnerEpochOptions {
  shard: number
  ownership: Ownership
  store: KeyValueStore
  clock: Clock
  limits: CallLimits
  onChange: (epoch: number) => void
}

/** Starts with the epoch under which the shard was taken. */
export function createOwnerEpoch (options: OwnerEpochOptions): OwnerEpoch {
  const { shard, store, clock, limits } = options
  let ownership = options.ownership
  const ownWrites = new Set<WriteId>([ownership.owner.writeId])

  const compares = (): Compare[] => [{ key: ownerKey(shard), modRevision: ownership.modRevision }]

  function adopt (next: Ownership): void {
    ownership = next
    options.onChange(next.owner.epoch)
  }

  function judge (current: KeyValueEntry | undefined): Found {
    const found = parseOwner(current)
    if (found === undefined || !ownWrites.has(found.owner.writeId)) {
      return { kind: 'lost', holder: found?.owner.node ?? undefined }
    }
    adopt(found)
    return { kind: 'mine' }
  }

  function change (owner: OwnerValue): Transaction {
    return { compares: compares(), puts: [{ key: ownerKey(shard), value: JSON.stringify(owner) }], deletes: [] }
  }

  async function raise (): Promise<Found> {
    const nowMs = clock.wallMs()
    const owner = { ...ownership.owner, epoch: ownership.owner.epoch + 1, writeId: createId<WriteId>('wri', nowMs) }
    ownWrites.add(owner.writeId)
    const written = await store.transact(change(owner), { deadlineAtMs: nowMs + limits.storeTimeoutMs })
    if (written.isErr) return { kind: 'unavailable' }
    if (!written.value.applied) return judge(written.value.current[0])
    adopt({ owner, modRevision: written.value.revision })
    return { kind: 'mine' }
  }

  async function release (): Promise<void> {
    const nowMs = clock.wallMs()
    const owner = { ...ownership.owner, node: null, writeId: createId<WriteId>('wri', nowMs) }
    await store.transact(change(owner), { deadlineAtMs: nowMs + limits.storeTimeoutMs })
  }

  return { epoch: () => ownership.owner.epoch, compares, judge, raise, release }
}
