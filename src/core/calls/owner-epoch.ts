/**
 * The epoch under which this node owns a shard. Incrementing it ensures that no
 * earlier write of this node can still take effect.
 */
import { createId } from '../ids/index.ts'
import { ownerKey } from './journal.ts'
import { parseOwner } from './ownership.ts'
import type { Clock } from '../clock/index.ts'
import type { NodeId, WriteId } from '../ids/index.ts'
import type { Compare, KeyValueEntry, KeyValueStore, Transaction } from '../platform/key-value/types.ts'
import type { Ownership, OwnerValue } from './ownership.ts'
import type { CallLimits } from './types.ts'

/** The state of the owner key: still this node's, another node's, or not readable. */
export type OwnerKeyStatus = { kind: 'owned' } | { kind: 'lost', holder: NodeId | undefined } | { kind: 'unavailable' }

/** The epoch of one shard. */
export interface OwnerEpoch {
  epoch: () => number
  /** The precondition of every write of the owner: the owner key is unchanged. */
  compares: () => Compare[]
  /**
   * Evaluates the owner key after a failed compare. If the key holds a write of
   * this node whose response was lost, that write becomes the current ownership.
   */
  resolveConflict: (current: KeyValueEntry | undefined) => OwnerKeyStatus
  increment: () => Promise<OwnerKeyStatus>
  /** Releases the shard, so that any node may take it immediately. */
  release: () => Promise<void>
}

/** Options of an owner epoch. */
export interface OwnerEpochOptions {
  shard: number
  ownership: Ownership
  store: KeyValueStore
  clock: Clock
  limits: CallLimits
  onChange: (epoch: number) => void
}

/** Creates the owner epoch, starting with the epoch under which the shard was taken. */
export function createOwnerEpoch (options: OwnerEpochOptions): OwnerEpoch {
  const { shard, store, clock, limits } = options
  let ownership = options.ownership
  const ownWrites = new Set<WriteId>([ownership.owner.writeId])

  const compares = (): Compare[] => [{ key: ownerKey(shard), modRevision: ownership.modRevision }]

  function setOwnership (next: Ownership): void {
    ownership = next
    options.onChange(next.owner.epoch)
  }

  function resolveConflict (current: KeyValueEntry | undefined): OwnerKeyStatus {
    const found = parseOwner(current)
    if (found === undefined || !ownWrites.has(found.owner.writeId)) {
      return { kind: 'lost', holder: found?.owner.node ?? undefined }
    }
    setOwnership(found)
    return { kind: 'owned' }
  }

  function replaceOwner (owner: OwnerValue): Transaction {
    return { compares: compares(), puts: [{ key: ownerKey(shard), value: JSON.stringify(owner) }], deletes: [] }
  }

  async function increment (): Promise<OwnerKeyStatus> {
    const nowMs = clock.wallMs()
    const owner = { ...ownership.owner, epoch: ownership.owner.epoch + 1, writeId: createId<WriteId>('wri', nowMs) }
    ownWrites.add(owner.writeId)
    const written = await store.transact(replaceOwner(owner), { deadlineAtMs: nowMs + limits.storeTimeoutMs })
    if (written.isErr) return { kind: 'unavailable' }
    if (!written.value.applied) return resolveConflict(written.value.current[0])
    setOwnership({ owner, modRevision: written.value.revision })
    return { kind: 'owned' }
  }

  async function release (): Promise<void> {
    const nowMs = clock.wallMs()
    const owner = { ...ownership.owner, node: null, writeId: createId<WriteId>('wri', nowMs) }
    await store.transact(replaceOwner(owner), { deadlineAtMs: nowMs + limits.storeTimeoutMs })
  }

  return { epoch: () => ownership.owner.epoch, compares, resolveConflict, increment, release }
}
