/** The backend servers that one node knows, with a hash per bucket for comparison between nodes. */
import { createHash } from 'node:crypto'
import type { Backend } from '../backends/types.ts'
import type { BackendId } from '../ids/index.ts'
import type { InstanceFeedDigest, InstanceFeedEntry } from './types.ts'

/** Number of buckets. A backend server belongs to a bucket by the hash of its id; each bucket is compared and repaired separately. */
export const bucketCount = 256

/** The entries that one node knows, including tombstones: entries with `gone`. */
export interface InstanceTable {
  get: (id: BackendId) => InstanceFeedEntry | undefined
  /** Merges the entries that are newer than the known ones; true when a listed backend server changed. */
  merge: (entries: InstanceFeedEntry[]) => boolean
  /** Removes the entries of a bucket whose ids aren't given and whose stamp is before the given wall time; true when a listed one was removed. */
  removeMissing: (bucket: number, ids: Set<BackendId>, olderThanMs: number) => boolean
  /** Removes the tombstones whose stamp is before the given wall time. */
  expireTombstones: (olderThanMs: number) => void
  entries: () => InstanceFeedEntry[]
  /** Entries of one bucket, including tombstones. */
  bucket: (bucket: number) => InstanceFeedEntry[]
  /** A hash for each bucket, without tombstones and without stamps. */
  bucketHashes: () => number[]
  digest: () => InstanceFeedDigest
}

function sha256 (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}

/** 32-bit FNV-1a hash (Fowler, Noll, Vo), chosen for speed because a watcher looks up every listed id once per second. */
function bucketOf (id: BackendId): number {
  let hash = 0x811c9dc5
  for (let index = 0; index < id.length; index += 1) hash = Math.imul(hash ^ id.charCodeAt(index), 0x01000193)
  return (hash >>> 0) % bucketCount
}

/** Serialises a backend server with its fields in a fixed order, so that its hash is the same on all nodes. */
function canonicalText (backend: Backend): string {
  return JSON.stringify(Object.entries(backend).filter(([, value]) => value !== undefined).sort(([a], [b]) => a < b ? -1 : 1))
}

/** Whether two backend servers are equal in every field. */
export function isSameBackend (a: Backend, b: Backend): boolean {
  const keys = new Set([...Object.keys(a), ...Object.keys(b)]) as Set<keyof Backend>
  return [...keys].every(key => a[key] === b[key])
}

/** Keeps the state `leaving` for the lifetime of the instance, because a list that lags may still show it as live. */
export function preserveLeaving (known: Backend | undefined, next: Backend): Backend {
  if (known?.state !== 'leaving' || known.instance !== next.instance || next.state === 'leaving') return next
  const { goneAtMs } = known
  return { ...next, state: 'leaving', ...(goneAtMs === undefined ? {} : { goneAtMs }) }
}

/** Creates an empty table. */
export function createInstanceTable (): InstanceTable {
  const buckets = Array.from({ length: bucketCount }, () => new Map<BackendId, InstanceFeedEntry>())
  const hashes = new Array<number>(bucketCount).fill(0)
  let count = 0

  /** Adds an entry to its bucket's hash (`sign` 1) or removes it (-1). XOR does both; `sign` only changes the count. */
  function updateBucketHash (bucket: number, entry: InstanceFeedEntry, sign: 1 | -1): void {
    if (entry.gone) return
    hashes[bucket] = (hashes[bucket]! ^ sha256(canonicalText(entry.backend)).readInt32BE(0)) >>> 0
    count += sign
  }

  function mergeOne (entry: InstanceFeedEntry): boolean {
    const bucket = bucketOf(entry.backend.id)
    const known = buckets[bucket]!.get(entry.backend.id)
    const isNewer = known === undefined || entry.stampMs > known.stampMs
    // The state `leaving` is merged from an older entry too, because it is final.
    const leaves = known !== undefined && entry.backend.state === 'leaving' && entry.backend.instance === known.backend.instance
    if (!isNewer && !(leaves && known.backend.state !== 'leaving')) return false
    const next = isNewer ? { ...entry, backend: preserveLeaving(known?.backend, entry.backend) } : { ...known!, backend: preserveLeaving(entry.backend, known!.backend) }
    buckets[bucket]!.set(entry.backend.id, next)
    if (known !== undefined && known.gone === next.gone && isSameBackend(known.backend, next.backend)) return false
    if (known !== undefined) updateBucketHash(bucket, known, -1)
    updateBucketHash(bucket, next, 1)
    return known !== undefined || !next.gone
  }

  function removeEntry (bucket: number, entry: InstanceFeedEntry): void {
    buckets[bucket]!.delete(entry.backend.id)
    updateBucketHash(bucket, entry, -1)
  }

  function removeMissing (bucket: number, ids: Set<BackendId>, olderThanMs: number): boolean {
    const removed = [...buckets[bucket]!.values()].filter(entry => !ids.has(entry.backend.id) && entry.stampMs < olderThanMs)
    for (const entry of removed) removeEntry(bucket, entry)
    return removed.some(entry => !entry.gone)
  }

  function expireTombstones (olderThanMs: number): void {
    buckets.forEach((entries, bucket) => {
      for (const entry of entries.values()) if (entry.gone && entry.stampMs < olderThanMs) removeEntry(bucket, entry)
    })
  }

  return {
    get: id => buckets[bucketOf(id)]!.get(id),
    merge: entries => entries.map(mergeOne).some(changed => changed),
    removeMissing,
    expireTombstones,
    entries: () => buckets.flatMap(entries => [...entries.values()]),
    bucket: bucket => [...buckets[bucket]!.values()],
    bucketHashes: () => [...hashes],
    digest: () => ({ count, hash: sha256(hashes.join()).toString('base64url').slice(0, 16) })
  }
}
