/**
 * Keeps the quarantine records in the key-value service, for a start of all nodes
 * and for operators, and grants the trial of an expired record to one node at a time.
 */
import { z } from 'zod'
import { toId } from '../ids/index.ts'
import { combinationKey } from './records.ts'
import { featureLogFields } from './request-digest.ts'
import type { Clock } from '../clock/index.ts'
import type { BackendId, RequestFeature, TeamId } from '../ids/index.ts'
import type { Log } from '../log/index.ts'
import type { Compare, KeyValueEntry, KeyValueStore } from '../platform/key-value/types.ts'
import type { Quarantine, QuarantineRecord, RequestOrigin } from './types.ts'

/** Options of the stored records. */
export interface StoredQuarantineOptions {
  store: KeyValueStore
  clock: Clock
  log: Log
  /** The conditions under which this node may write the records, such as the guard of a duty; undefined if it may not. */
  writeConditions: () => Compare[] | undefined
  /** Reads the entry of a key. */
  read: (key: string) => Promise<Pick<KeyValueEntry, 'value' | 'modRevision'> | undefined>
  quarantine: Pick<Quarantine, 'records' | 'mergeRecords'>
}

/** The stored records as one node reads and writes them. */
export interface StoredQuarantine {
  /** Merges the stored records, at the start and at each change. */
  onContent: (value: string | undefined) => void
  /** Writes the records if they differ from the stored ones and this node may write them. */
  reconcile: () => Promise<void>
  /** Claims the trial of a record over all nodes; false if another node has one or the service doesn't confirm the claim. */
  claimTrial: (record: QuarantineRecord) => Promise<boolean>
}

/** Key of the records in the key-value service. */
export const quarantineKey = 'cyclamenshunt/quarantine'
const trialKey = 'cyclamenshunt/quarantine-trial'
const callTimeoutMs = 800
/** Interval between two writes of changed records. */
const writeIntervalMs = 500
/** Time within which the outcome of a trial is known to all nodes; after it, another node may claim one. */
const trialMs = 30_000

/** Latest wall time that a date can hold. */
const maxWallMs = 8.64e15
const wallSchema = z.number().min(0).max(maxWallMs)

const recordSchema = z.object({
  service: z.string(),
  /** Digests of whole requests, too; the name is of the first release. */
  parts: z.array(z.string()).min(1),
  state: z.enum(['quarantined', 'lifted']),
  changedAtMs: wallSchema,
  sinceMs: wallSchema,
  untilMs: wallSchema,
  crashes: z.number().min(0),
  backends: z.array(z.string()),
  origin: z.object({ team: z.string().optional(), route: z.string() }).optional()
})
const contentSchema = z.object({ records: z.array(z.unknown()) })
const trialSchema = z.object({ untilMs: z.number() })

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text) as unknown
  } catch {
    // The schemas reject undefined.
    return undefined
  }
}

/** Decodes stored records; undefined if they can't be read. `onInvalid` is called for each record that can't be read, which is left out. */
export function decodeQuarantine (value: string, onInvalid: () => void = () => {}): QuarantineRecord[] | undefined {
  const content = contentSchema.safeParse(parseJson(value))
  if (!content.success) return undefined
  return content.data.records.flatMap(stored => {
    const parsed = recordSchema.safeParse(stored)
    if (!parsed.success) {
      onInvalid()
      return []
    }
    const { parts, origin, ...record } = parsed.data
    return [{
      ...record,
      ...(origin === undefined ? {} : { origin: originOf(origin) }),
      features: parts.map(feature => toId<RequestFeature>(feature)),
      backends: record.backends.map(backend => toId<BackendId>(backend))
    }]
  })
}

function originOf ({ team, route }: { team?: string | undefined, route: string }): RequestOrigin {
  return { ...(team === undefined ? {} : { team: toId<TeamId>(team) }), route }
}

/** A record with the field names of the stored value, which reports for operators have, too. */
export function toStoredRecord ({ features, ...record }: QuarantineRecord): Omit<QuarantineRecord, 'features'> & { parts: readonly RequestFeature[] } {
  return { ...record, parts: features }
}

/** Encodes records in the order of their names, so that the same records give the same text. */
export function encodeQuarantine (records: readonly QuarantineRecord[]): string {
  const nameOf = ({ service, features }: QuarantineRecord): string => combinationKey(service, features)
  const sorted = records.toSorted((a, b) => nameOf(a) < nameOf(b) ? -1 : 1)
  return JSON.stringify({ records: sorted.map(toStoredRecord) })
}

/** Creates the stored records; nothing is written before `reconcile`. */
export function createStoredQuarantine ({ store, clock, log, writeConditions, read, quarantine }: StoredQuarantineOptions): StoredQuarantine {
  let nextWriteAtMs = -Infinity

  async function reconcile (): Promise<void> {
    const conditions = writeConditions()
    const nowMs = clock.monotonicMs()
    if (conditions === undefined || nowMs < nextWriteAtMs) return
    const stored = await read(quarantineKey)
    const value = encodeQuarantine(quarantine.records())
    const isStored = stored === undefined ? quarantine.records().length === 0 : stored.value === value
    if (isStored) return
    nextWriteAtMs = nowMs + writeIntervalMs
    const compares = [...conditions, { key: quarantineKey, modRevision: stored?.modRevision ?? 0 }]
    // If the compare fails, an operator has changed the records; they are merged before the next round.
    await store.transact({ compares, puts: [{ key: quarantineKey, value }], deletes: [] }, { deadlineAtMs: clock.wallMs() + callTimeoutMs })
  }

  async function claimTrial (record: QuarantineRecord): Promise<boolean> {
    const nowMs = clock.wallMs()
    const claimed = await read(trialKey)
    const earlier = claimed === undefined ? undefined : trialSchema.safeParse(parseJson(claimed.value))
    if (earlier?.success === true && nowMs < earlier.data.untilMs) return false
    const value = JSON.stringify({ combination: combinationKey(record.service, record.features), untilMs: nowMs + trialMs })
    const written = await store.transact(
      { compares: [{ key: trialKey, modRevision: claimed?.modRevision ?? 0 }], puts: [{ key: trialKey, value }], deletes: [] },
      { deadlineAtMs: nowMs + callTimeoutMs }
    )
    const isClaimed = written.isOk && written.value.applied
    if (isClaimed) log('promptTrial', { service: record.service, ...featureLogFields(record.features) })
    return isClaimed
  }

  return {
    onContent: value => {
      if (value === undefined) return
      let invalid = 0
      const records = decodeQuarantine(value, () => { invalid += 1 })
      if (records === undefined || invalid > 0) log('quarantineUnreadable', { sizeBytes: value.length, ...(records === undefined ? {} : { invalid }) })
      if (records !== undefined) quarantine.mergeRecords(records)
    },
    reconcile,
    claimTrial
  }
}
