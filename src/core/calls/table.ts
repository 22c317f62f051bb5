/**
 * What the owner of a shard remembers of its keys, bounded in number.
 */
import type { CallRecord, ServeResult } from './types.ts'

/** One key. */
export interface CallEntry {
  /** What is known of the key now. */
  record: CallRecord
  /** The last record that is known to be in the journal, and its segment. */
  durable?: { record: CallRecord, segment: string }
  /** The end of the call while this node runs it or looks it up. */
  running?: Promise<ServeResult>
}

/** The keys of one shard. */
export interface CallTable {
  get: (id: string) => CallEntry | undefined
  /** Sets the record of a key; a new entry when the key is not known. */
  put: (record: CallRecord) => CallEntry
  /** Notes that a record is in a segment of the journal. */
  noteDurable: (record: CallRecord, segment: string) => void
  remove: (id: string) => void
  /** Forgets keys whose time has passed. */
  forgetExpired: (nowMs: number) => void
  size: () => number
  /** Ends of the calls that run here. */
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

  function noteDurable (record: CallRecord, segment: string): void {
    const entry = entries.get(record.id)
    if (entry !== undefined) entry.durable = { record, segment }
  }

  // Keys stand in the order of their claims, so the oldest come first.
  function forgetExpired (nowMs: number): void {
    for (const [id, entry] of entries) {
      if (entry.record.expiresAtMs >= nowMs || entry.running !== undefined) return
      entries.delete(id)
    }
  }

  return {
    get: id => entries.get(id),
    put,
    noteDurable,
    remove: id => { entries.delete(id) },
    forgetExpired,
    size: () => entries.size,
    running: () => [...entries.values()].flatMap(entry => entry.running ?? [])
  }
}
