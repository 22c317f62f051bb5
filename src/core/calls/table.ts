/** The in-memory table of a shard's keys at its owner. */
import type { CallRecord, ServeResult } from './types.ts'

/** The state of one key. */
export interface CallEntry {
  /** The current record of the key. */
  record: CallRecord
  /** The latest record that is known to be in the journal, and the key of its segment. */
  durable?: { record: CallRecord, segment: string }
  /** The pending result while this node runs the call or looks it up. */
  running?: Promise<ServeResult>
}

/** The keys of one shard. */
export interface CallTable {
  get: (id: string) => CallEntry | undefined
  /** Sets the record of a key; adds an entry if the key has none. */
  put: (record: CallRecord) => CallEntry
  /** Stores that a record is in a segment of the journal. */
  markDurable: (record: CallRecord, segment: string) => void
  remove: (id: string) => void
  /** Deletes expired keys, oldest first, up to the first one that hasn't expired or is still running. */
  deleteExpired: (nowMs: number) => void
  size: () => number
  /** Pending results of the calls that run on this node. */
  running: () => Array<Promise<ServeResult>>
}

/** Creates an empty table. */
export function createCallTable (): CallTable {
  const entries = new Map<string, CallEntry>()

  function moveToEnd (id: string, entry: CallEntry): void {
    entries.delete(id)
    entries.set(id, entry)
  }

  function put (record: CallRecord): CallEntry {
    const known = entries.get(record.id)
    if (known !== undefined) {
      if (record.expiresAtMs > known.record.expiresAtMs) moveToEnd(record.id, known)
      known.record = record
      return known
    }
    const entry: CallEntry = { record }
    entries.set(record.id, entry)
    return entry
  }

  function markDurable (record: CallRecord, segment: string): void {
    const entry = entries.get(record.id)
    if (entry !== undefined) entry.durable = { record, segment }
  }

  // Entries are in the order of their claims, so the oldest come first.
  function deleteExpired (nowMs: number): void {
    for (const [id, entry] of entries) {
      if (entry.record.expiresAtMs >= nowMs || entry.running !== undefined) return
      entries.delete(id)
    }
  }

  return {
    get: id => entries.get(id),
    put,
    markDurable,
    remove: id => { entries.delete(id) },
    deleteExpired,
    size: () => entries.size,
    running: () => [...entries.values()].flatMap(entry => entry.running ?? [])
  }
}
