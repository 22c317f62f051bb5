/**
 * Reports the usage of each window on the node that holds the duty. The counts
 * are stored in the key-value service before they are sent, so that a repeated
 * report of a window contains the same counts, whichever node sends it. A window
 * that may have been reported with counts that a restore undid is skipped.
 */
import { z } from 'zod'
import { toId } from '../ids/index.ts'
import { createUsageContinuity } from './continuity.ts'
import type { Result } from 'true-myth'
import type { Clock } from '../clock/index.ts'
import type { CyclamenError } from '../errors/index.ts'
import type { TeamId } from '../ids/index.ts'
import type { Duty } from '../leases/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { KeyValueStore } from '../platform/key-value/types.ts'
import type { StoreView, ViewChange } from '../store-view/index.ts'
import type { Usage, WindowCounts } from './types.ts'

const countsSchema = z.record(z.string(), z.number().int().min(0))

/** Result of a report: accepted, or rejected because another node holds the duty. */
export type UsageReportResult = 'taken' | 'fenced'

/** Options of the reporter. */
export interface UsageReporterOptions {
  clock: Clock
  log: Log
  metrics: Metrics
  store: KeyValueStore
  view: StoreView
  usage: Usage
  duty: Duty
  /** Whether the receiver rejects calls with an outdated fencing number; otherwise no call may overlap with those of the previous holder. */
  checksFencing: boolean
  /** Time after the end of a window by which it must be reported. */
  dueMs: number
  /** Whether the system starts for the first time, so that earlier windows have no usage. */
  isFirstStart: boolean
  send: (window: number, counts: WindowCounts, fencingNumber: number, deadlineAtMs: number) => Promise<Result<UsageReportResult, CyclamenError>>
}

/** Reports the usage on one node. */
export interface UsageReporter {
  /** Stores and sends the counts of the due windows; does nothing without the duty. */
  reportDueWindows: () => Promise<void>
}

const usagePrefix = 'cyclamenshunt/usage/'
/** Time after the end of a window until the reports of all nodes have arrived: several of their report intervals. */
const settleMs = 1_500
/** Largest difference between the clocks of two nodes that is expected. */
const maxClockSkewMs = 1_000
/** Timeout of one call. */
const callTimeoutMs = 1_200
/** Number of windows whose stored counts are kept for a later holder of the duty. */
const keptWindows = 6

/** Creates the reporter. */
export function createUsageReporter (options: UsageReporterOptions): UsageReporter {
  const { clock, log, metrics, store, view, usage, duty, checksFencing, dueMs } = options
  const sentWindows = new Set<number>()
  const agreedCounts = new Map<number, WindowCounts>()
  let firstWindow: number | undefined
  let startedAtMs: number | undefined
  let currentFencingNumber: number | undefined
  const continuity = createUsageContinuity({
    clock,
    store,
    view,
    duty,
    isFirstStart: options.isFirstStart,
    firstUnreportedWindow: wallMs => usage.windowAt(wallMs - settleMs + maxClockSkewMs)
  })
  view.onChanges(rememberAgreedCounts)
  /** Fencing number that was rejected because of a later holder; nothing more is sent with it. */
  let overtakenFencingNumber: number | undefined

  function keyOf (window: number): string {
    return usagePrefix + window
  }

  /** Counts that can't be read were not written by a node; the window then counts as not agreed. */
  function parseCounts (value: string): WindowCounts | undefined {
    try {
      const counts = countsSchema.safeParse(JSON.parse(value)).data
      return counts === undefined ? undefined : new Map(Object.entries(counts).map(([team, count]) => [toId<TeamId>(team), count]))
    } catch {
      return undefined
    }
  }

  /** Windows that are complete and not past their due time. */
  function settledWindows (): number[] {
    const nowMs = clock.wallMs()
    const last = usage.windowAt(nowMs - settleMs) - 1
    const first = Math.max(firstWindow ?? 0, usage.windowAt(nowMs - dueMs) - 1)
    return Array.from({ length: Math.max(0, last - first + 1) }, (_, index) => first + index)
  }

  function dueWindows (): number[] {
    return settledWindows().filter(window => !sentWindows.has(window))
  }

  function encodeCounts (counts: WindowCounts): string {
    return JSON.stringify(Object.fromEntries(counts))
  }

  /** Remembers the counts that are fixed for windows, because the key-value service may be restored from a copy without them. */
  function rememberAgreedCounts (changes: readonly ViewChange[]): void {
    for (const { key, value } of changes) {
      if (value === undefined || !key.startsWith(usagePrefix)) continue
      const window = Number(key.slice(usagePrefix.length))
      const counts = !Number.isSafeInteger(window) || agreedCounts.has(window) ? undefined : parseCounts(value)
      if (counts !== undefined) agreedCounts.set(window, counts)
    }
    for (const oldWindow of agreedCounts.keys()) if (oldWindow < usage.windowAt(clock.wallMs()) - 2 * keptWindows) agreedCounts.delete(oldWindow)
  }

  /** Skips windows whose counts an earlier holder may have fixed and sent before a restore that undid the record; other counts must not be sent for them. */
  function skipUncertainWindows (): void {
    for (const window of dueWindows()) {
      if (agreedCounts.has(window) || readAgreedCounts(window) !== undefined || window >= continuity.firstKnownWindow()) continue
      sentWindows.add(window)
      log('usageSkipped', { window })
    }
  }

  /** The counts that all holders send for a window; undefined when the key-value service is not available. */
  async function agreeOnCounts (window: number): Promise<WindowCounts | undefined> {
    const stored = readAgreedCounts(window)
    const known = agreedCounts.get(window) ?? stored
    if (known !== undefined && stored !== undefined) return known
    const guard = duty.guard()
    if (guard === undefined) return undefined
    const counts = known ?? usage.totalOf(window)
    const key = keyOf(window)
    const oldKey = keyOf(window - keptWindows)
    const written = await store.transact({
      compares: [guard, { key, modRevision: 0 }],
      puts: [{ key, value: encodeCounts(counts) }],
      deletes: view.get(oldKey) === undefined ? [] : [oldKey]
    }, { deadlineAtMs: clock.wallMs() + callTimeoutMs })
    if (written.isOk && written.value.applied) {
      log('usageFixed', { window, counts: Object.fromEntries(counts), revision: written.value.revision })
      return counts
    }
    if (known !== undefined) return known
    // After a lost response or a conflict, the stored value decides.
    const read = await store.get(key, { deadlineAtMs: clock.wallMs() + callTimeoutMs })
    if (read.isErr || read.value.entry === undefined) return undefined
    return parseCounts(read.value.entry.value)
  }

  function readAgreedCounts (window: number): WindowCounts | undefined {
    const entry = view.get(keyOf(window))
    return entry === undefined ? undefined : parseCounts(entry.value)
  }

  async function report (window: number): Promise<void> {
    const counts = await agreeOnCounts(window)
    const orderWindow = duty.orderWindow(checksFencing)
    if (counts === undefined || orderWindow === undefined) return
    const { fencingNumber, deadlineAtMs } = orderWindow
    agreedCounts.set(window, counts)
    const response = await options.send(window, counts, fencingNumber, Math.min(deadlineAtMs, clock.wallMs() + callTimeoutMs))
    const result = response.isOk ? response.value : 'failed'
    metrics.count('usage_reports_total', { result })
    log('usageReported', { window, result, fencingNumber, ...(response.isErr ? { cause: response.error.message } : {}) })
    if (result === 'taken') sentWindows.add(window)
    if (result === 'fenced') overtakenFencingNumber = fencingNumber
    for (const oldWindow of sentWindows) if (oldWindow < window - keptWindows) sentWindows.delete(oldWindow)
  }

  return {
    reportDueWindows: async () => {
      startedAtMs ??= clock.monotonicMs()
      continuity.observeEra()
      if (options.isFirstStart) firstWindow ??= usage.windowAt(clock.wallMs())
      // The counts of other nodes for earlier windows arrive with their next reports.
      if (clock.monotonicMs() < startedAtMs + settleMs) return
      const fencingNumber = duty.orderWindow(checksFencing)?.fencingNumber
      if (fencingNumber === undefined || fencingNumber === overtakenFencingNumber) return
      if (currentFencingNumber !== fencingNumber) {
        if (!await continuity.readStored()) return
        // It is not known what the previous holder has sent; sending a window again has no effect.
        currentFencingNumber = fencingNumber
        sentWindows.clear()
        skipUncertainWindows()
      }
      for (const window of dueWindows()) await report(window)
      await continuity.store(settledWindows().map(window => {
        const counts = agreedCounts.get(window)
        return { window, key: keyOf(window), value: counts === undefined ? undefined : encodeCounts(counts) }
      }))
    }
  }
}
