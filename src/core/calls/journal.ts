/**
 * The journal of one shard: a log-structured list of segments, each the value of
 * one key in the key-value service. A commit adds one segment. The same transaction
 * merges runs of small segments into one and deletes segments that hold only
 * expired keys, so compaction needs no requests of its own. Segments are read in
 * key order; a later record of a call replaces an earlier one.
 */
import { createError } from '../errors/index.ts'
import { createId } from '../ids/index.ts'
import type { WriteId } from '../ids/index.ts'
import type { KeyValueEntry, Transaction } from '../platform/key-value/types.ts'
import type { CallTable } from './table.ts'
import type { CallRecord } from './types.ts'

/** Digits to which numbers in keys are padded, so that keys sort in numeric order. */
const numberDigits = 10
const shardDigits = 4
/** Number of segments of one level that are merged into one segment of the next level. */
const mergeFanIn = 8
/** Maximum number of expired segments that one commit deletes. */
const maxExpiredSegmentsPerCommit = 32

/** The value of one segment. */
interface SegmentValue {
  writeId: WriteId
  level: number
  records: CallRecord[]
}

interface Segment {
  key: string
  level: number
  sizeBytes: number
  ids: string[]
  latestExpiryAtMs: number
}

/** One commit, ready to be written. */
export interface JournalCommit {
  key: string
  writeId: WriteId
  puts: Transaction['puts']
  deletes: string[]
  /** Applies the commit to the local state, once it has taken effect at the key-value service. */
  markCommitted: () => void
}

/** The journal of one shard. */
export interface Journal {
  /** Prepares the commit of some records, oldest first. Once it is written, it must be applied with `markCommitted`. */
  plan: (records: CallRecord[], nowMs: number) => JournalCommit
  /** Sets the epoch of later segments. */
  setEpoch: (epoch: number) => void
  segmentCount: () => number
}

/** Options of a journal. */
export interface JournalOptions {
  shard: number
  epoch: number
  table: CallTable
  maxSegmentBytes: number
}

/** Prefix of all keys of a shard in the key-value service. */
export function shardPrefix (shard: number): string {
  return `calls/${String(shard).padStart(shardDigits, '0')}/`
}

/** The owner key of a shard in the key-value service. */
export function ownerKey (shard: number): string {
  return `${shardPrefix(shard)}owner`
}

function segmentKey (shard: number, epoch: number, number: number): string {
  return `${shardPrefix(shard)}${String(epoch).padStart(numberDigits, '0')}-${String(number).padStart(numberDigits, '0')}`
}

function encode (value: SegmentValue): string {
  return JSON.stringify(value)
}

function decode (entry: KeyValueEntry): SegmentValue {
  try {
    const value = JSON.parse(entry.value) as SegmentValue
    if (Array.isArray(value.records)) return value
  } catch (cause) {
    throw createError('JournalUnreadable', { key: entry.key }, { cause })
  }
  throw createError('JournalUnreadable', { key: entry.key })
}

/** Whether a segment value that was read back belongs to the given write. */
export function hasWriteId (value: string, writeId: WriteId): boolean {
  return (JSON.parse(value) as SegmentValue).writeId === writeId
}

function toSegment (key: string, level: number, value: string, records: CallRecord[]): Segment {
  return {
    key,
    level,
    sizeBytes: Buffer.byteLength(value),
    ids: records.map(record => record.id),
    latestExpiryAtMs: records.reduce((latest, record) => Math.max(latest, record.expiresAtMs), 0)
  }
}

/** Opens the journal with the segments that were read, and loads their records into the table. */
export function openJournal (options: JournalOptions, stored: KeyValueEntry[]): Journal {
  const { shard, table, maxSegmentBytes } = options
  let epoch = options.epoch
  let lastSegmentNumber = 0
  let segments: Segment[] = stored.map(load)

  function load (entry: KeyValueEntry): Segment {
    const { level, records } = decode(entry)
    for (const record of records) {
      table.put(record)
      table.markDurable(record, entry.key)
    }
    return toSegment(entry.key, level, entry.value, records)
  }

  /** Selects the trailing segments that a new segment of `sizeBytes` is merged with. */
  function selectMerge (sizeBytes: number): { merged: Segment[], level: number } {
    let level = 0
    let firstMerged = segments.length
    let mergedBytes = sizeBytes
    for (;;) {
      let first = firstMerged
      let bytes = mergedBytes
      while (first > 0 && segments[first - 1]!.level === level) {
        first -= 1
        bytes += segments[first]!.sizeBytes
      }
      if (firstMerged - first + 1 < mergeFanIn || bytes > maxSegmentBytes) break
      firstMerged = first
      mergedBytes = bytes
      level += 1
    }
    return { merged: segments.slice(firstMerged), level }
  }

  /** The unexpired records of a segment that no later segment replaces. */
  function currentRecords (segment: Segment, nowMs: number): CallRecord[] {
    return segment.ids.flatMap(id => {
      const durable = table.get(id)?.durable
      const current = durable !== undefined && durable.segment === segment.key && durable.record.expiresAtMs >= nowMs
      return current ? [durable.record] : []
    })
  }

  function expiredSegmentKeys (kept: Segment[], nowMs: number): string[] {
    return kept
      .filter(segment => segment.latestExpiryAtMs < nowMs)
      .slice(0, maxExpiredSegmentsPerCommit)
      .map(segment => segment.key)
  }

  function plan (records: CallRecord[], nowMs: number): JournalCommit {
    lastSegmentNumber += 1
    const key = segmentKey(shard, epoch, lastSegmentNumber)
    const writeId = createId<WriteId>('wri', nowMs)
    const { merged, level } = selectMerge(Buffer.byteLength(JSON.stringify(records)))
    const byId = new Map<string, CallRecord>()
    for (const segment of merged) {
      for (const record of currentRecords(segment, nowMs)) byId.set(record.id, record)
    }
    for (const record of records) byId.set(record.id, record)
    const written = [...byId.values()]
    const value = encode({ writeId, level, records: written })
    const kept = segments.slice(0, segments.length - merged.length)
    const expired = expiredSegmentKeys(kept, nowMs)
    const newSegment = toSegment(key, level, value, written)
    return {
      key,
      writeId,
      puts: [{ key, value }],
      deletes: [...merged.map(segment => segment.key), ...expired],
      markCommitted: () => {
        segments = [...kept.filter(segment => !expired.includes(segment.key)), newSegment]
        for (const record of written) table.markDurable(record, key)
      }
    }
  }

  return {
    plan,
    setEpoch: next => {
      epoch = next
      lastSegmentNumber = 0
    },
    segmentCount: () => segments.length
  }
}
