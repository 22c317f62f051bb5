/**
 * Tells from which window on the key-value service, or this process, knows the
 * counts of each window that was reported. A restore from an older copy undoes
 * counts that were stored and sent, and a process that starts knows neither what
 * was sent before nor whether the service was restored since. So the era in
 * which all counts are known to be stored is stored with them.
 */
import { z } from 'zod'
import { eraOf } from '../platform/key-value/revision.ts'
import type { Clock } from '../clock/index.ts'
import type { Duty } from '../leases/index.ts'
import type { Compare, KeyValueStore } from '../platform/key-value/types.ts'
import type { StoreView } from '../store-view/index.ts'

/** Options of `createUsageContinuity`. */
export interface UsageContinuityOptions {
  clock: Clock
  store: KeyValueStore
  view: Pick<StoreView, 'reachableSinceMs' | 'snapshot'>
  duty: Duty
  /** Whether the system starts for the first time, so that nothing was reported before. */
  isFirstStart: boolean
  /** First window that can't have been reported by a wall time, on a node whose clock may be ahead. */
  firstUnreportedWindow: (wallMs: number) => number
}

/** Counts that are fixed for a window, as they are stored. */
export interface FixedCounts {
  window: number
  key: string
  /** Undefined while they aren't fixed. */
  value: string | undefined
}

/** What one process knows of windows that were reported. */
export interface UsageContinuity {
  /** Notices a restore; called in each round. */
  observeEra: () => void
  /** Reads what earlier holders of the duty stored; called when the duty was taken. False if the service isn't available. */
  readStored: () => Promise<boolean>
  /** Windows before this one may have been reported with counts that nobody knows any more. */
  firstKnownWindow: () => number
  /** Stores, once an era, that the counts of all windows up to now are stored, and those that a restore undid. */
  store: (settled: readonly FixedCounts[]) => Promise<void>
}

const eraKey = 'cyclamenshunt/usage-era'
const callTimeoutMs = 1_200
/** Time for which a node counts as the last holder of the duty; several rounds. */
const recentlyHeldMs = 1_500

const recordSchema = z.object({ era: z.number(), firstWindow: z.number() })
type EraRecord = z.infer<typeof recordSchema>

function parseRecord (value: string | undefined): EraRecord | undefined {
  try {
    return recordSchema.safeParse(JSON.parse(value ?? '')).data
  } catch {
    // Was not written by a node, so it says nothing.
    return undefined
  }
}

/** Creates the state of a process that knows nothing yet. */
export function createUsageContinuity (options: UsageContinuityOptions): UsageContinuity {
  const { clock, store, view, duty } = options
  let era: number | undefined
  let storedEra: number | undefined
  let firstKnownWindow = 0
  let lastHeldAtMs = -Infinity
  /** Wall time up to which others may have reported windows without this process or the service knowing. */
  let unknownUntilMs = -Infinity

  function observeEra (): void {
    // Before the first response the era isn't known.
    if (era === undefined && view.reachableSinceMs() === undefined) return
    const latest = Math.max(store.era(), eraOf(view.snapshot().revision))
    const nowMs = clock.wallMs()
    const knowsEarlier = era === undefined ? options.isFirstStart : nowMs - lastHeldAtMs < recentlyHeldMs
    if ((era === undefined || latest > era) && !knowsEarlier) unknownUntilMs = nowMs
    era = latest
    if (duty.fencingNumber() !== undefined) lastHeldAtMs = nowMs
  }

  async function readStored (): Promise<boolean> {
    const read = await store.get(eraKey, { deadlineAtMs: clock.wallMs() + callTimeoutMs })
    if (read.isErr) return false
    observeEra()
    // Without a record nothing was stored since a restore. A service that was never restored has lost nothing.
    const record = parseRecord(read.value.entry?.value) ?? { era: 0, firstWindow: 0 }
    if (record.era === era) {
      storedEra = era
      firstKnownWindow = record.firstWindow
      unknownUntilMs = -Infinity
    } else if (unknownUntilMs !== -Infinity) {
      firstKnownWindow = Math.max(firstKnownWindow, options.firstUnreportedWindow(unknownUntilMs))
    }
    return true
  }

  async function storeEra (settled: readonly FixedCounts[]): Promise<void> {
    const guard = duty.guard()
    if (era === undefined || storedEra === era || guard === undefined) return
    const recordedEra = era
    const deadlineAtMs = clock.wallMs() + callTimeoutMs
    const compares: Compare[] = [guard]
    const record: EraRecord = { era: recordedEra, firstWindow: firstKnownWindow }
    const puts = [{ key: eraKey, value: JSON.stringify(record) }]
    for (const { key, value, window } of settled) {
      if (window < firstKnownWindow) continue
      if (value === undefined) return
      const read = await store.get(key, { deadlineAtMs })
      if (read.isErr) return
      if (read.value.entry !== undefined) continue
      compares.push({ key, modRevision: 0 })
      puts.push({ key, value })
    }
    const written = await store.transact({ compares, puts, deletes: [] }, { deadlineAtMs })
    if (written.isOk && written.value.applied) storedEra = recordedEra
  }

  return { observeEra, readStored, firstKnownWindow: () => firstKnownWindow, store: storeEra }
}
