/** Reads the latest move records from the feed, and writes them by compare-and-swap. */
import { createId, toId } from '../ids/index.ts'
import { moveKey, moveKeyPrefix, parseMoveRecord } from './move-record.ts'
import type { Clock } from '../clock/index.ts'
import type { Feed } from '../configuration/index.ts'
import type { TeamId, WriteId } from '../ids/index.ts'
import type { Log } from '../log/index.ts'
import type { DurableWriter } from '../platform/durable-write/index.ts'
import type { MoveRecord } from './types.ts'

/** Longest time for one write. */
const writeTimeoutMs = 3_000

/** Options of the record store. */
export interface MoveRecordStoreOptions {
  clock: Clock
  log: Log
  feed: Feed
  writer: DurableWriter
}

/** The move records of all teams. */
export interface MoveRecordStore {
  /** The latest record known to this node, from the feed or from its own last write. */
  read: (team: TeamId) => MoveRecord | undefined
  /** Replaces the record that `read` returned; fails if another write came first. Returns whether it was written. */
  write: (record: MoveRecord) => Promise<boolean>
  all: () => MoveRecord[]
}

interface StoredRecord {
  record: MoveRecord
  revision: number
}

/** Creates the record store of a node. */
export function createMoveRecordStore (options: MoveRecordStoreOptions): MoveRecordStore {
  const { clock, log, feed, writer } = options
  const latest = new Map<TeamId, StoredRecord>()

  function latestOf (team: TeamId): StoredRecord | undefined {
    const entry = feed.get(moveKey(team))
    const current = latest.get(team)
    if (entry === undefined || entry.modRevision <= (current?.revision ?? 0)) return current
    const record = parseMoveRecord(entry.value)
    if (record === undefined) return current
    const updated = { record, revision: entry.modRevision }
    latest.set(team, updated)
    return updated
  }

  async function write (record: MoveRecord): Promise<boolean> {
    const nowMs = clock.wallMs()
    const writeId = createId<WriteId>('wr', nowMs)
    const isEnd = record.end !== undefined
    // "done" must not be written after the deadline, since all nodes have returned to the old version by then.
    const endDeadlineAtMs = record.end?.word === 'done' && nowMs < record.deadlineAtMs ? record.deadlineAtMs : Infinity
    const written = { ...record, writeId }
    const outcome = await writer.write({
      key: moveKey(record.team),
      expectedRevision: latestOf(record.team)?.revision ?? 0,
      value: JSON.stringify(written),
      isOwn: text => parseMoveRecord(text)?.writeId === writeId,
      deadlineAtMs: Math.min(endDeadlineAtMs, nowMs + writeTimeoutMs)
    })
    if (outcome.kind !== 'committed') return false
    if (outcome.revision > (latest.get(record.team)?.revision ?? 0)) latest.set(record.team, { record: written, revision: outcome.revision })
    if (isEnd && record.unloadedAtMs === undefined) {
      const { team, move, toVersion, end } = written
      log('moveEnded', { team, move, toVersion, word: end?.word, reason: end?.reason, detail: end?.detail })
    }
    return true
  }

  function all (): MoveRecord[] {
    return feed.entries().flatMap(({ key }) => latestOf(toId<TeamId>(key.slice(moveKeyPrefix.length)))?.record ?? [])
  }

  return { read: team => latestOf(team)?.record, write, all }
}
