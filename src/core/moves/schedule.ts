/**
 * The traffic share of a move's new version over time, computed back from the
 * deadline. It is a pure function of the record and the wall time, so that nodes
 * with the same record agree without communication.
 */
import type { MoveRecord } from './types.ts'

interface Step {
  share: number
  /** Start of the step, as a fraction of the time from the first traffic to the commit. */
  from: number
}

/**
 * The share stays small for most of the time, because a regression may begin
 * late. Over the whole schedule the new version gets less than 5% of the team's
 * traffic.
 */
const steps: readonly Step[] = [
  { share: 0.015, from: 0 },
  { share: 0.1, from: 0.925 },
  { share: 0.25, from: 0.95 },
  { share: 0.5, from: 0.975 }
]

/** Fraction of a move's time between the commit and the deadline, as a reserve for outages. */
const marginRatio = 0.15
/** Bounds of that reserve. */
const minMarginMs = 5_000
const maxMarginMs = 120_000
/** A step without a next one expires after this multiple of its length; the share then returns to that of the first step. */
const stepExpiryRatio = 1.25
/** Shortest time until a step expires: the holder reconciles every second, and a write takes additional time. */
const minStepExpiryMs = 1_500
/** A step that began late lasts at least this fraction of its length. */
const minStepRatio = 0.5

/** Index of the last step. */
export const lastStepIndex = steps.length - 1

/** Wall time at which the result is to be written, before the deadline. */
export function commitAtMs ({ startedAtMs, deadlineAtMs }: MoveRecord): number {
  const marginMs = (deadlineAtMs - startedAtMs) * marginRatio
  return deadlineAtMs - Math.min(maxMarginMs, Math.max(minMarginMs, marginMs))
}

function trafficTimeMs (record: MoveRecord): number {
  return Math.max(0, commitAtMs(record) - (record.trafficAtMs ?? record.startedAtMs))
}

function stepAt (index: number): Step {
  return steps[index] ?? { share: 1, from: 1 }
}

function stepLengthMs (record: MoveRecord, index: number): number {
  return (stepAt(index + 1).from - stepAt(index).from) * trafficTimeMs(record)
}

/** Earliest wall time of the next step, or of the end after the last step. */
export function nextStepAtMs (record: MoveRecord): number {
  const plannedAtMs = (record.trafficAtMs ?? record.startedAtMs) + stepAt(record.step + 1).from * trafficTimeMs(record)
  return Math.max(plannedAtMs, record.stepAtMs + minStepRatio * stepLengthMs(record, record.step))
}

function stepExpiryMs (record: MoveRecord): number {
  return Math.max(minStepExpiryMs, stepExpiryRatio * stepLengthMs(record, record.step))
}

/** Earliest wall time at which a step that goes on is written again, well before it expires. */
export function stepRenewalAtMs (record: MoveRecord): number {
  return record.stepAtMs + stepExpiryMs(record) / 2
}

/** Traffic share of the new version, from 0 to 1. */
export function newVersionShare (record: MoveRecord, nowMs: number): number {
  if (record.end !== undefined) return record.end.word === 'done' ? 1 : 0
  if (record.trafficAtMs === undefined || nowMs >= record.deadlineAtMs) return 0
  const hasExpired = record.step > 0 && nowMs > record.stepAtMs + stepExpiryMs(record)
  return stepAt(hasExpired ? 0 : record.step).share
}
