/**
 * Who owns a shard. The owner's key in the key-value service holds its node
 * and an epoch; every commit to the journal compares the key's revision, so a
 * former owner's commits fail whatever the clocks do.
 */
import { Result } from 'true-myth'
import { createId } from '../ids/index.ts'
import { ownerKey, shardPrefix } from './journal.ts'
import type { Clock } from '../clock/index.ts'
import type { NodeId, WriteId } from '../ids/index.ts'
import type { PeerAddress } from '../peers/types.ts'
import type { KeyValueEntry, KeyValueStore } from '../platform/key-value/types.ts'
import type { CallLimits } from './types.ts'

/** The value of an owner's key. `node` is null after an owner gave its shard up. */
export interface OwnerValue {
  node: NodeId | null
  /** Where the node listens, so that it can be asked to let go after it left the membership. */
  address: PeerAddress
  epoch: number
  writeId: WriteId
  takenAtMs: number
}

/** An owner as it was read or written. */
export interface Ownership {
  owner: OwnerValue
  modRevision: number
}

/** A shard just taken, with the segments of its journal in order. */
export interface TakenShard extends Ownership {
  previous: OwnerValue | undefined
  segments: KeyValueEntry[]
}

/** Why a shard was not taken: another node holds it, or the key-value service did not tell. */
export type TakeFailure = { kind: 'held', holder: NodeId | undefined } | { kind: 'unavailable' }

/** What taking a shard needs. */
export interface TakeOptions {
  shard: number
  self: PeerAddress
  store: KeyValueStore
  clock: Clock
  limits: CallLimits
  /** Whether the shard may be taken from its present owner. */
  mayTake: (owner: OwnerValue) => boolean
}

/** Reads the owner out of its entry. */
export function parseOwner (entry: KeyValueEntry | undefined): Ownership | undefined {
  if (entry === undefined) return undefined
  return { owner: JSON.parse(entry.value) as OwnerValue, modRevision: entry.modRevision }
}

/** Takes a shard by compare-and-swap, then reads its journal, which no former owner can change any more. */
export async function takeShard (options: TakeOptions): Promise<Result<TakenShard, TakeFailure>> {
  const { shard, self, store, clock, limits } = options
  const until = () => ({ deadlineAtMs: clock.wallMs() + limits.storeTimeoutMs })
  const read = await store.get(ownerKey(shard), until())
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
  }, until())
  if (written.isOk && !written.value.applied) {
    return Result.err({ kind: 'held', holder: parseOwner(written.value.current[0])?.owner.node ?? undefined })
  }
  // A lost answer is decided by the list, which holds the owner's key with its write id.
  if (written.isErr && written.error.kind !== 'KeyValueAmbiguous') return Result.err({ kind: 'unavailable' })
  const listed = await store.list(shardPrefix(shard), until())
  if (listed.isErr) return Result.err({ kind: 'unavailable' })
  const now = parseOwner(listed.value.entries.find(entry => entry.key === ownerKey(shard)))
  if (now?.owner.writeId !== owner.writeId) {
    const unchanged = now?.modRevision === before?.modRevision
    return Result.err(unchanged ? { kind: 'unavailable' } : { kind: 'held', holder: now?.owner.node ?? undefined })
  }
  return Result.ok({
    ...now,
    previous: before?.owner,
    segments: listed.value.entries.filter(entry => entry.key !== ownerKey(shard))
  })
}
