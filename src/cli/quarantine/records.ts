/** The quarantine records in the key-value service, as operators read and change them. */
import { err, ok } from 'true-myth/result'
import { createError } from '../../core/errors/index.ts'
import { decodeQuarantine, encodeQuarantine, quarantineKey } from '../../core/quarantine/index.ts'
import type { Result } from 'true-myth'
import type { CyclamenError } from '../../core/errors/index.ts'
import type { KeyValueError, KeyValueStore } from '../../core/platform/key-value/index.ts'
import type { QuarantineRecord } from '../../core/quarantine/index.ts'

/** The stored records with the revision that a change is based on; 0 if nothing is stored. */
export interface StoredRecords {
  records: QuarantineRecord[]
  modRevision: number
}

/** Reads the records; an unreadable value counts as none. */
export async function readRecords (store: KeyValueStore, deadlineAtMs: number): Promise<Result<StoredRecords, KeyValueError>> {
  const read = await store.get(quarantineKey, { deadlineAtMs })
  return read.map(({ entry }) => ({ records: entry === undefined ? [] : decodeQuarantine(entry.value) ?? [], modRevision: entry?.modRevision ?? 0 }))
}

/** Lifts all quarantines that have the part; returns them. */
export async function liftRecords (store: KeyValueStore, part: string, { nowMs, deadlineAtMs }: { nowMs: number, deadlineAtMs: number }): Promise<Result<QuarantineRecord[], KeyValueError | CyclamenError<'QuarantineConflict'>>> {
  const stored = await readRecords(store, deadlineAtMs)
  if (stored.isErr) return err(stored.error)
  const { records, modRevision } = stored.value
  const isLifted = ({ state, features }: QuarantineRecord): boolean => state === 'quarantined' && features.some(other => other === part)
  const changed = records.map(record => isLifted(record) ? { ...record, state: 'lifted' as const, changedAtMs: Math.max(nowMs, record.changedAtMs + 1), untilMs: Math.max(nowMs, record.untilMs) } : record)
  const lifted = changed.filter((record, index) => record !== records[index])
  if (lifted.length === 0) return ok([])
  const written = await store.transact(
    { compares: [{ key: quarantineKey, modRevision }], puts: [{ key: quarantineKey, value: encodeQuarantine(changed) }], deletes: [] }, { deadlineAtMs }
  )
  if (written.isErr) return err(written.error)
  return written.value.applied ? ok(lifted) : err(createError('QuarantineConflict', { part }))
}
