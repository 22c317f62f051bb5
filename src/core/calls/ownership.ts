/**
 * Ownership of a shard. The owner key in the key-value service holds the owner's
 * node and an epoch. Every journal commit compares the revision of this key, so
 * commits of a previous owner fail regardless of clocks.
 */
import { Result } from 'true-myth'
import { createId } from '../ids/index.ts'
import { ownerKey, shardPrefix } from './journal.ts'
import type { Clock } from '../clock/index.ts'
import type { NodeId, WriteId } from '../ids/index.ts'
import type { PeerAddress } from '../peers/types.ts'
import type { KeyValueEntry, KeyValueStore } from '../platform/key-value/types.ts'
import type { CallLimits } from './types.ts'

/** The value of the owner key. `node` is null after the owner released the shard. */
export interface OwnerValue {
  node: NodeId | null
  /** Address of the node, so that it can be asked to release the shard even after it left the membership. */
  address: PeerAddress
  epoch: number
  writeId: WriteId
  takenAtMs: number
}

/** The owner key as it was read or written. */
export interface Ownership {
  owner: OwnerValue
  modRevision: number
}

/** A shard that was just taken, with its journal segments in order. */
export interface TakenShard extends Ownership {
  previousOwner: OwnerValue | undefined
  segments: KeyValueEntry[]
}

/** Why a shard was not taken: another node owns it, or the key-value service gave no answer. */
export type TakeFailure = { kind: 'held', holder: NodeId | undefined } | { kind: 'unavailable' }

/** Options for taking a shard. */
export interface TakeOptions {
  shard: number
  self: PeerAddress
  store: KeyValueStore
  clock: Clock
  limits: CallLimits
  /** Whether the shard may be taken from its current owner. */
  mayTake: (owner: OwnerValue) => boolean
}

/** Parses an entry of the owner key. */
export function parseOwner (entry: KeyValueEntry | undefined): Ownership | undefined {
  if (entry === undefined) return undefined
  return { owner: JSON.parse(entry.value) as OwnerValue, modRevision: entry.modRevision }
}

/** Takes a shard by compare-and-swap, then reads its journal, which previous owners can no longer change. */
export async function takeShard (options: TakeOptions): Promise<Result<TakenShard, TakeFailure>> {
  const { shard, self, store, clock, limits } = options
  const requestOptions = () => ({ deadlineAtMs: clock.wallMs() + limits.storeTimeoutMs })
  const read = await store.get(ownerKey(shard), requestOptions())
  if (read.isErr) return Result.err({ kind: 'unavailable' })
  const before = parseOwner(read.value.entry)
  if (before !== undefined && before.owner.node !== null && !options.mayTake(before.owner)) {
    return Result.err({ kind: 'held', holder: before.owner.node })
  }
  const owner: OwnerValue = {
    node: self.node,
    address: self,
    epoch: (before?.owner.epoch ?? 0) + 1,
    writeId: createId<WriteId>('wri', clock.wallMs()),
    takenAtMs: clock.wallMs()
  }
  const written = await store.transact({
    compares: [{ key: ownerKey(shard), modRevision: before?.modRevision ?? 0 }],
    puts: [{ key: ownerKey(shard), value: JSON.stringify(owner) }],
    deletes: []
  }, requestOptions())
  if (written.isOk && !written.value.applied) {
    return Result.err({ kind: 'held', holder: parseOwner(written.value.current[0])?.owner.node ?? undefined })
  }
  // If the response was lost, the list shows whether the write took effect: it contains the owner key with its write id.
  if (written.isErr && written.error.kind !== 'KeyValueAmbiguous') return Result.err({ kind: 'unavailable' })
  const listed = await store.list(shardPrefix(shard), requestOptions())
  if (listed.isErr) return Result.err({ kind: 'unavailable' })
  const after = parseOwner(listed.value.entries.find(entry => entry.key === ownerKey(shard)))
  if (after?.owner.writeId !== owner.writeId) {
    const unchanged = after?.modRevision === before?.modRevision
    return Result.err(unchanged ? { kind: 'unavailable' } : { kind: 'held', holder: after?.owner.node ?? undefined })
  }
  return Result.ok({
    ...after,
    previousOwner: before?.owner,
    segments: listed.value.entries.filter(entry => entry.key !== ownerKey(shard))
  })
}
