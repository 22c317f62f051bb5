/**
 * The journal of one shard: segments in the key-value service, each the value
 * of one key. A commit adds one segment; in the same transaction runs of small
 * segments are merged into one, and segments of forgotten keys are deleted, so
 * that keeping the journal short takes no calls of its own. Segments are read
 * in the order of their keys, and a later record of a call replaces an earlier.
 */
import { createError } from '../errors/index.ts'
import { createId } from '../ids/index.ts'
import type { WriteId } from '../ids/index.ts'
import type { KeyValueEntry, Transaction } from '../platform/key-value/types.ts'
import type { CallTable } from './table.ts'
import type { CallRecord } from './types.ts'

const numberDigits = 10
const shardDigits = 4
/** Segments of one level that are merged into one of the next. */
const mergeFanOut = 8
const maxExpiredPerCommit = 32

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
  newestExpiryMs: number
}

/** One commit, ready to be written. */
export interface JournalCommit {
  key: string
  writeId: WriteId
  puts: Transaction['puts']
  deletes: string[]
  /** Notes that the commit took effect. */
  landed: () => void
}

/** The journal of one shard. */
export interface Journal {
  /** Plans the commit of some records, oldest first. */
  plan: (records: CallRecord[], nowMs: number) => JournalCommit
  /** Goes on under another epoch. */
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

/** Key of the owner of a shard. */
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

/** Whether a segment that was read back is the one of a write. */
export function isSegmentOf (value: string, writeId: WriteId): boolean {
  return (JSON.parse(value) as SegmentValue).writeId === writeId
}

function describe (key: string, level: number, value: string, records: CallRecord[]): Segment {
  return {
    key,
    level,
    sizeBytes: Buffer.byteLength(value),
    ids: records.map(record => record.id),
    newestExpiryMs: records.reduce((newest, record) => Math.max(newest, record.expiresAtMs), 0)
  }
}

/** Opens the journal from the segments that were read, filling the table. */
export function openJournal (options: JournalOptions, stored: KeyValueEntry[]): Journal {
  const { shard, table, maxSegmentBytes } = options
  let epoch = options.epoch
  let lastNumber = 0
  let segments: Segment[] = stored.map(load)

  function load (entry: KeyValueEntry): Segment {
    const { level, records } = decode(entry)
    for (const record of records) {
      table.put(record)
      table.noteDurable(record, entry.key)
    }
    return describe(entry.key, level, entry.value, records)
  }

  /** The last segments that a new one of `sizeBytes` is merged with. */
  function chooseMerge (sizeBytes: number): { merged: Segment[], level: number } {
    let level = 0
    let from = segments.length
    let totalBytes = sizeBytes
    for (;;) {
      let first = from
      let bytes = totalBytes
      while (first > 0 && segments[first - 1]!.level === level) {
        first -= 1
        bytes += segments[first]!.sizeBytes
      }
      if (from - first + 1 < mergeFanOut || bytes > maxSegmentBytes) break
      from = first
      totalBytes = bytes
      level += 1
    }
    return { merged: segments.slice(from), level }
  }

  /** Records of a segment that no later segment replaces. */
  function currentRecords (segment: Segment, nowMs: number): CallRecord[] {
    return segment.ids.flatMap(id => {
      const durable = table.get(id)?.durable
      const current = durable !== undefined && durable.segment === segment.key && durable.record.expiresAtMs >= nowMs
      return current ? [durable.record] : []
    })
  }

  function expiredKeys (kept: Segment[], nowMs: number): string[] {
    return kept
      .filter(segment => segment.newestExpiryMs < nowMs)
      .slice(0, maxExpiredPerCommit)
      .map(segment => segment.key)
  }

  function plan (records: CallRecord[], nowMs: number): JournalCommit {
    lastNumber += 1
    const key = segmentKey(shard, epoch, lastNumber)
    const writeId = createId<WriteId>('wri', nowMs)
    const { merged, level } = chooseMerge(Buffer.byteLength(JSON.stringify(records)))
    const byId = new Map<string, CallRecord>()
    for (const segment of merged) {
      for (const record of currentRecords(segment, nowMs)) byId.set(record.id, record)
    }
    for (const record of records) byId.set(record.id, record)
    const written = [...byId.values()]
    const value = encode({ writeId, level, records: written })
    const kept = segments.slice(0, segments.length - merged.length)
    const expired = expiredKeys(kept, nowMs)
    const made = describe(key, level, value, written)
    return {
      key,
      writeId,
      puts: [{ key, value }],
      deletes: [...merged.map(segment => segment.key), ...expired],
      landed: () => {
        segments = [...kept.filter(segment => !expired.includes(segment.key)), made]
        for (const record of written) table.noteDurable(record, key)
      }
    }
  }

  return {
    plan,
    setEpoch: next => {
      epoch = next
      lastNumber = 0
    },
    segmentCount: () => segments.length
  }
}
