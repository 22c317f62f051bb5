/** The backend servers that one node knows, with hashes for comparison. */
import { createHash } from 'node:crypto'
import type { Backend } from '../backends/types.ts'
import type { BackendId } from '../ids/index.ts'
import type { FeedDigest, FeedEntry } from './types.ts'

/** Groups of backend servers, by a hash of the id, that are compared and repaired one by one. */
export const bucketCount = 256

/** The entries of one node. */
export interface FeedTable {
  get: (id: BackendId) => FeedEntry | undefined
  /** Takes in the entries that are newer; true when a listed backend server changed. */
  merge: (entries: FeedEntry[]) => boolean
  /** Drops what is not among the given entries of a bucket and older than the given wall time; true when there was any. */
  retain: (bucket: number, ids: Set<BackendId>, olderThanMs: number) => boolean
  /** Forgets gone entries with an older stamp. */
  forgetGone: (olderThanMs: number) => void
  entries: () => FeedEntry[]
  /** Entries of one bucket, the gone ones included. */
  bucket: (bucket: number) => FeedEntry[]
  /** A hash for each bucket, the gone ones left out. */
  bucketHashes: () => number[]
  digest: () => FeedDigest
}

function sha256 (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}

/** FNV-1a, of 32 bits (Fowler, Noll, Vo), because a watcher looks up every listed id each second. */
function bucketOf (id: BackendId): number {
  let hash = 0x811c9dc5
  for (let index = 0; index < id.length; index += 1) hash = Math.imul(hash ^ id.charCodeAt(index), 0x01000193)
  return (hash >>> 0) % bucketCount
}

/** Everything of a backend server in one order of fields, whoever read it. */
function textOf (backend: Backend): string {
  return JSON.stringify(Object.entries(backend).filter(([, value]) => value !== undefined).sort(([a], [b]) => a < b ? -1 : 1))
}

/** Whether two descriptions are the same in every field. */
export function isSameBackend (a: Backend, b: Backend): boolean {
  const keys = new Set([...Object.keys(a), ...Object.keys(b)]) as Set<keyof Backend>
  return [...keys].every(key => a[key] === b[key])
}

/** What is leaving stays leaving for the life of its instance, whatever a lagging list says. */
export function keepLeaving (known: Backend | undefined, next: Backend): Backend {
  if (known?.state !== 'leaving' || known.instance !== next.instance || next.state === 'leaving') return next
  const { goneAtMs } = known
  return { ...next, state: 'leaving', ...(goneAtMs === undefined ? {} : { goneAtMs }) }
}

/** An empty table. */
export function createFeedTable (): FeedTable {
  const buckets = Array.from({ length: bucketCount }, () => new Map<BackendId, FeedEntry>())
  const hashes = new Array<number>(bucketCount).fill(0)
  let count = 0

  /** Adds an entry to its bucket's hash or takes it away; exclusive or does both. */
  function toggle (bucket: number, entry: FeedEntry, sign: 1 | -1): void {
    if (entry.gone) return
    hashes[bucket] = (hashes[bucket]! ^ sha256(textOf(entry.backend)).readInt32BE(0)) >>> 0
    count += sign
  }

  function mergeOne (entry: FeedEntry): boolean {
    const bucket = bucketOf(entry.backend.id)
    const known = buckets[bucket]!.get(entry.backend.id)
    const isNewer = known === undefined || entry.stampMs > known.stampMs
    // A leaving is taken from an older message too, because it never reverts.
    const leaves = known !== undefined && entry.backend.state === 'leaving' && entry.backend.instance === known.backend.instance
    if (!isNewer && !(leaves && known.backend.state !== 'leaving')) return false
    const next = isNewer ? { ...entry, backend: keepLeaving(known?.backend, entry.backend) } : { ...known!, backend: keepLeaving(entry.backend, known!.backend) }
    buckets[bucket]!.set(entry.backend.id, next)
    if (known !== undefined && known.gone === next.gone && isSameBackend(known.backend, next.backend)) return false
    if (known !== undefined) toggle(bucket, known, -1)
    toggle(bucket, next, 1)
    return known !== undefined || !next.gone
  }

  function drop (bucket: number, entry: FeedEntry): void {
    buckets[bucket]!.delete(entry.backend.id)
    toggle(bucket, entry, -1)
  }

  function retain (bucket: number, ids: Set<BackendId>, olderThanMs: number): boolean {
    const dropped = [...buckets[bucket]!.values()].filter(entry => !ids.has(entry.backend.id) && entry.stampMs < olderThanMs)
    for (const entry of dropped) drop(bucket, entry)
    return dropped.some(entry => !entry.gone)
  }

  function forgetGone (olderThanMs: number): void {
    buckets.forEach((entries, bucket) => {
      for (const entry of entries.values()) if (entry.gone && entry.stampMs < olderThanMs) drop(bucket, entry)
    })
  }

  return {
    get: id => buckets[bucketOf(id)]!.get(id),
    merge: entries => entries.map(mergeOne).some(changed => changed),
    retain,
    forgetGone,
    entries: () => buckets.flatMap(entries => [...entries.values()]),
    bucket: bucket => [...buckets[bucket]!.values()],
    bucketHashes: () => [...hashes],
    digest: () => ({ count, hash: sha256(hashes.join()).toString('base64url').slice(0, 16) })
  }
}
