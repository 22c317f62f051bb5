/**
 * The state of a feed on one node: exactly what the key-value service held under
 * the prefix at one revision. The revision only grows, so late or duplicate
 * messages and reads from a stale replica can't restore old or deleted values.
 */
import { createHash } from 'node:crypto'
import type { KeyValueChange, KeyValueEntry } from '../../platform/key-value/types.ts'
import type { FeedDelta, FeedDigest, FeedSnapshot } from './types.ts'

/** Number of recent changes, including deletions, that are kept to send deltas to peers that lag. */
const maxHistoryChanges = 2_000

/** Result of a delta: applied, not newer than the table, or starting after the table's revision. */
export type DeltaOutcome = 'applied' | 'old' | 'gap'

/** The table of one feed. */
export interface FeedTable {
  revision: () => number
  digest: () => FeedDigest
  get: (key: string) => KeyValueEntry | undefined
  entries: () => KeyValueEntry[]
  applyDelta: (delta: FeedDelta) => DeltaOutcome
  /** Replaces the state by a snapshot if the snapshot is newer; returns whether it was. */
  installSnapshot: (snapshot: FeedSnapshot) => boolean
  /** Advances to a newer revision whose content has the same hash. */
  advanceRevision: (digest: FeedDigest) => void
  /** All changes after a revision; undefined when some of them are no longer in the history. */
  deltaSince: (revision: number) => FeedDelta | undefined
}

function entryHash (entry: KeyValueEntry): bigint {
  return createHash('sha256').update(`${entry.modRevision}\n${entry.key}`).digest().readBigUInt64BE(0)
}

/** Creates an empty table. `onChanged` is called with the changed keys after a delta or snapshot has been applied in full. */
export function createFeedTable (onChanged: (keys: string[]) => void): FeedTable {
  let revision = 0
  let entries = new Map<string, KeyValueEntry>()
  let history: KeyValueChange[] = []
  let historyFromRevision = 0
  // XOR of the entries' hashes: independent of their order and updated in constant time per change.
  let hash = 0n

  function set (key: string, entry: KeyValueEntry | undefined): void {
    const known = entries.get(key)
    if (known !== undefined) hash ^= entryHash(known)
    if (entry === undefined) {
      entries.delete(key)
      return
    }
    hash ^= entryHash(entry)
    entries.set(key, entry)
  }

  function appendHistory (changes: KeyValueChange[]): void {
    history.push(...changes)
    if (history.length <= maxHistoryChanges) return
    const dropped = history.splice(0, history.length - maxHistoryChanges)
    historyFromRevision = dropped.at(-1)!.modRevision
    // Drops the rest of a partly dropped revision too, so that deltas always hold complete revisions.
    history = history.filter(change => change.modRevision > historyFromRevision)
  }

  function applyDelta (delta: FeedDelta): DeltaOutcome {
    if (delta.toRevision <= revision) return 'old'
    if (delta.fromRevision > revision || revision === 0) return 'gap'
    const changes = delta.changes
      .filter(change => change.modRevision > revision)
      .sort((a, b) => a.modRevision - b.modRevision)
    for (const { key, value, modRevision } of changes) {
      set(key, value === undefined ? undefined : { key, value, modRevision })
    }
    revision = delta.toRevision
    appendHistory(changes)
    if (changes.length > 0) onChanged([...new Set(changes.map(change => change.key))])
    return 'applied'
  }

  function installSnapshot (snapshot: FeedSnapshot): boolean {
    if (snapshot.revision <= revision) return false
    const before = entries
    entries = new Map()
    hash = 0n
    for (const entry of snapshot.entries) set(entry.key, entry)
    revision = snapshot.revision
    history = []
    historyFromRevision = revision
    const keys = new Set([...before.keys(), ...entries.keys()])
    const changed = [...keys].filter(key => before.get(key)?.modRevision !== entries.get(key)?.modRevision)
    if (changed.length > 0) onChanged(changed)
    return true
  }

  function digest (): FeedDigest {
    return { revision, hash: hash.toString(36) }
  }

  return {
    revision: () => revision,
    digest,
    get: key => entries.get(key),
    entries: () => [...entries.values()],
    applyDelta,
    installSnapshot,
    advanceRevision: other => {
      if (revision === 0 || other.revision <= revision || other.hash !== digest().hash) return
      revision = other.revision
      // Keys may have been created and deleted in between, so the history doesn't cover the revisions skipped here.
      history = []
      historyFromRevision = revision
    },
    deltaSince: since => {
      if (since < historyFromRevision || revision === 0) return undefined
      return { fromRevision: since, toRevision: revision, changes: history.filter(change => change.modRevision > since) }
    }
  }
}
