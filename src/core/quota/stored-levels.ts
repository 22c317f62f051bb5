/**
 * Keeps low levels of quota buckets in the key-value service, for a start of all
 * nodes at once: nobody else knows then what a team has used. A team without a
 * stored level has used so little that the tolerance covers it, so that nothing is
 * written while teams stay within their quotas. A record from before a restore of
 * the service says nothing about what was used since; each era gets its own.
 */
import { z } from 'zod'
import { toId } from '../ids/index.ts'
import type { Clock } from '../clock/index.ts'
import type { TeamId } from '../ids/index.ts'
import type { Duty } from '../leases/index.ts'
import type { Log } from '../log/index.ts'
import type { KeyValueStore } from '../platform/key-value/types.ts'
import type { QuotaLevels, Quotas } from './types.ts'

/** Options of the stored levels. */
export interface StoredLevelsOptions {
  store: KeyValueStore
  clock: Clock
  log: Log
  quotas: Pick<Quotas, 'lowLevels' | 'onStoredLevels'>
  /** The holder of this duty writes. */
  duty: Duty
}

/** The stored levels as one node reads and writes them. */
export interface StoredLevels {
  /** Key of the record in the key-value service. */
  readonly key: string
  /** Passes the record, or its absence, on to the quotas when the content of the key-value service was read. */
  onContent: (value: string | undefined) => void
  /** Writes the low levels if they changed; does nothing without the duty. */
  reconcile: () => Promise<void>
}

const recordKey = 'cyclamenshunt/quota-levels'
/** Interval between two writes while a team's level is low; bounds what is forgotten when all nodes stop. */
const writeIntervalMs = 500
const callTimeoutMs = 800

const recordSchema = z.object({ era: z.number().default(0), atMs: z.number(), levels: z.record(z.string(), z.unknown()) })
const levelsSchema = z.object({ quota: z.number(), tolerance: z.number() })

/** Creates the stored levels; nothing is written before `reconcile`. */
export function createStoredLevels ({ store, clock, log, quotas, duty }: StoredLevelsOptions): StoredLevels {
  let nextWriteAtMs = -Infinity
  /** Whether the record may contain levels, so that it must be cleared. */
  let mayContainLevels = true
  /** Era of the service in which this node last wrote the record. */
  let writtenEra: number | undefined

  function onContent (value: string | undefined): void {
    const era = store.era()
    // Without a record, a service that was never restored says that no level is low.
    if (value === undefined && era === 0) return quotas.onStoredLevels(new Map(), 0)
    if (value === undefined) return log('quotaLevelsOutdated', { era })
    const record = recordSchema.safeParse(parseJson(value))
    // An unreadable record tells nothing, so buckets begin empty.
    if (!record.success) return log('quotaLevelsUnreadable', { cause: record.error.message })
    if (record.data.era !== era) return log('quotaLevelsOutdated', { era, recordedEra: record.data.era })
    const levels = new Map<TeamId, QuotaLevels>()
    for (const [team, stored] of Object.entries(record.data.levels)) {
      const level = levelsSchema.safeParse(stored)
      // As little as without a record is known of this team alone.
      if (level.success) levels.set(toId<TeamId>(team), level.data)
      else log('quotaLevelsUnreadable', { team, cause: level.error.message })
    }
    quotas.onStoredLevels(levels, Math.max(0, clock.wallMs() - record.data.atMs))
  }

  async function reconcile (): Promise<void> {
    const guard = duty.guard()
    const levels = quotas.lowLevels()
    const nowMs = clock.monotonicMs()
    const era = store.era()
    const isDue = levels !== undefined && (levels.size > 0 || mayContainLevels || writtenEra !== era)
    if (guard === undefined || !isDue || nowMs < nextWriteAtMs) return
    nextWriteAtMs = nowMs + writeIntervalMs
    const value = JSON.stringify({ era, atMs: clock.wallMs(), levels: Object.fromEntries(levels) })
    const written = await store.transact({ compares: [guard], puts: [{ key: recordKey, value }], deletes: [] }, { deadlineAtMs: clock.wallMs() + callTimeoutMs })
    if (written.isErr || !written.value.applied) return
    mayContainLevels = levels.size > 0
    writtenEra = era
  }

  return { key: recordKey, onContent, reconcile }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text) as unknown
  } catch {
    // The schema rejects undefined.
    return undefined
  }
}
