/** Applies a plan in one transaction and determines whether it took effect, also when responses are lost. */
import { err, ok } from 'true-myth/result'
import { createError } from '../errors/index.ts'
import { createId } from '../ids/index.ts'
import { parseDeclaredValue } from '../configuration/index.ts'
import { maxValueBytes } from '../platform/key-value/types.ts'
import { findDifferences } from './differences.ts'
import { historyKeyOf, parseHistory, renderHistory } from './history.ts'
import type { Result } from 'true-myth'
import type { CyclamenError } from '../errors/index.ts'
import type { Clock } from '../clock/index.ts'
import type { WriteId } from '../ids/index.ts'
import type { DeclaredValue } from '../configuration/index.ts'
import type { KeyValueEntry, KeyValueError, KeyValueStore, Transaction } from '../platform/key-value/types.ts'
import type { ApplyConflict, ApplyOutcome, ApplyPlan, PlannedChange } from './types.ts'

/** Timeout of one call of the service. */
const attemptTimeoutMs = 2_000

/** Delay before the next attempt. */
const retryDelayMs = 200

/** Options of applying a plan. */
export interface ApplyOptions {
  store: KeyValueStore
  clock: Clock
  /** Name of the operator, recorded in the history and shown to operators whose writes conflict with this one. */
  by: string
  /** Wall time until which attempts are made and the outcome is looked up. */
  deadlineAtMs: number
}

interface PreparedWrite {
  plan: ApplyPlan
  changed: PlannedChange[]
  writeId: WriteId
  transaction: Transaction
}

function prepare (plan: ApplyPlan, options: ApplyOptions): Result<PreparedWrite, CyclamenError<'ValueTooLarge'>> {
  const atMs = options.clock.wallMs()
  const writeId = createId<WriteId>('write', atMs)
  const changed = plan.changes.filter(({ action }) => action !== 'keep')
  const revisions = new Map(plan.compares.map(({ key, modRevision }) => [key, modRevision]))
  const puts = changed.flatMap(({ key, content }) => {
    const value: DeclaredValue<unknown> = { writeId, by: options.by, atMs, content }
    const historyKey = historyKeyOf(key)
    const history = renderHistory(plan.histories.get(historyKey), value, revisions.get(key) ?? 0)
    return [{ key, value: JSON.stringify(value) }, { key: historyKey, value: history }]
  })
  for (const { key, value } of puts) {
    const sizeBytes = Buffer.byteLength(value)
    if (sizeBytes > maxValueBytes) return err(createError('ValueTooLarge', { key, sizeBytes, maxBytes: maxValueBytes }))
  }
  return ok({ plan, changed, writeId, transaction: { compares: plan.compares, puts, deletes: [] } })
}

/** Looks this write up in the history of one of its keys; undefined when it provably did not take effect. */
async function findInHistory (write: PreparedWrite, options: ApplyOptions): Promise<Result<ApplyOutcome | undefined, KeyValueError>> {
  const key = write.changed[0]!.key
  const read = await options.store.get(historyKeyOf(key), { deadlineAtMs: options.clock.wallMs() + attemptTimeoutMs })
  if (read.isErr) return err(read.error)
  const entries = parseHistory(read.value.entry)
  const index = entries.findIndex(entry => entry.writeId === write.writeId)
  const baseRevision = write.plan.compares.find(compare => compare.key === key)?.modRevision ?? 0
  const coversBaseRevision = entries.some(entry => entry.replacedRevision <= baseRevision)
  // The write may have been dropped from a history whose oldest entry is newer than the revision that the write started from.
  if (index === -1 && !coversBaseRevision) return ok({ outcome: 'unknown', writeId: write.writeId })
  if (index === -1) return ok(undefined)
  const revision = entries[index]!.revision ?? 0
  return ok({ outcome: index === 0 ? 'landed' : 'superseded', writeId: write.writeId, revision })
}

function conflictOf (change: PlannedChange, entry: KeyValueEntry | undefined): ApplyConflict {
  const theirs = entry === undefined ? undefined : parseDeclaredValue(entry.value).unwrapOr(undefined)
  return { key: change.key, theirs, differences: findDifferences(theirs?.content ?? {}, change.content) }
}

/** Returns the compared keys that another write has changed, with their current values. A history key is left out, because its declaration's key is reported. */
function findConflicts (write: PreparedWrite, current: KeyValueEntry[]): ApplyConflict[] {
  const currentEntries = new Map(current.map(entry => [entry.key, entry]))
  const staleKeys = write.plan.compares
    .filter(({ key, modRevision }) => (currentEntries.get(key)?.modRevision ?? 0) !== modRevision)
    .map(({ key }) => key)
  const changedStaleKeys = write.changed.filter(({ key }) => staleKeys.includes(key))
  const others = staleKeys.filter(key => !write.changed.some(change => change.key === key || historyKeyOf(change.key) === key))
  return [
    ...changedStaleKeys.map(change => conflictOf(change, currentEntries.get(change.key))),
    ...others.map(key => ({ key, theirs: parseDeclaredValue(currentEntries.get(key)?.value ?? '').unwrapOr(undefined), differences: [] }))
  ]
}

/**
 * Applies a plan. After an ambiguous error the same transaction is sent again:
 * its compares let it take effect at most once. When a later attempt fails its
 * compares, the write id in the history shows whether an earlier attempt took
 * effect.
 */
export async function applyPlan (plan: ApplyPlan, options: ApplyOptions): Promise<Result<ApplyOutcome, CyclamenError>> {
  const { store, clock, deadlineAtMs } = options
  const prepared = prepare(plan, options)
  if (prepared.isErr) return err(prepared.error)
  const write = prepared.value
  if (write.changed.length === 0) return ok({ outcome: 'unchanged' })
  let mayHaveCommitted = false
  let lastError: KeyValueError | undefined
  while (clock.wallMs() < deadlineAtMs) {
    const attempt = await store.transact(write.transaction, { deadlineAtMs: Math.min(deadlineAtMs, clock.wallMs() + attemptTimeoutMs) })
    if (attempt.isOk && attempt.value.applied) return ok({ outcome: 'landed', writeId: write.writeId, revision: attempt.value.revision })
    if (attempt.isOk) {
      const earlierOutcome = mayHaveCommitted ? await findInHistory(write, options) : ok<ApplyOutcome | undefined, KeyValueError>(undefined)
      if (earlierOutcome.isOk) return ok(earlierOutcome.value ?? { outcome: 'conflict', conflicts: findConflicts(write, attempt.value.current) })
    } else {
      lastError = attempt.error
      if (attempt.error.kind === 'KeyValueRejected' || attempt.error.kind === 'ValueTooLarge') return err(attempt.error)
      if (attempt.error.kind === 'KeyValueAmbiguous') mayHaveCommitted = true
    }
    await clock.sleep(retryDelayMs)
  }
  if (mayHaveCommitted) return ok({ outcome: 'unknown', writeId: write.writeId })
  return err(lastError ?? createError('KeyValueUnavailable', { operation: 'apply', cause: 'the deadline had passed' }))
}
