/** Selects the limits for one report or digest, so that it fits into few packets. */
import type { LimitEvidence } from './evidence.ts'
import type { LimitedBackend, ReportedLimit } from './types.ts'

/** A limit that may be reported. Times are monotonic, in ms. */
export interface ReportableLimit {
  backend: Pick<LimitedBackend, 'id' | 'startedAtMs'>
  evidence: LimitEvidence
  changedAtMs: number
  /** Undefined if it isn't in force. */
  sinceMs: number | undefined
  endedAtMs: number
}

/** Time for which an ended limit is reported. */
const reportEndedMs = 3_000
/** Time after a change for which a limit is in every report; some reports are lost. */
const reportChangedMs = 1_000
/** Limits in one report beside the changed ones, in turn, and in all. */
const maxRepeatedLimits = 16
export const maxReportedLimits = 64
/** Interval at which the next limits are repeated: that of the reports. */
const repeatIntervalMs = 200

function toReported ({ backend, evidence, sinceMs }: ReportableLimit, nowMs: number): ReportedLimit {
  const { perSecond, sentAtMs, readAtMs } = sinceMs === undefined && evidence.cleared !== undefined ? evidence.cleared : evidence.named
  return { backend: backend.id, startedAtMs: backend.startedAtMs, perSecond, sentAgeMs: nowMs - sentAtMs, readAgeMs: nowMs - readAtMs }
}

/** Returns the limits that changed lately, and the others in turn; for a new receiver, as many as fit. */
export function selectLimits (known: Iterable<ReportableLimit>, nowMs: number, isNewReceiver = false): ReportedLimit[] {
  const reportable = [...known].filter(({ sinceMs, endedAtMs }) => sinceMs !== undefined || endedAtMs >= nowMs - reportEndedMs)
  const changed = reportable.filter(({ changedAtMs }) => changedAtMs >= nowMs - reportChangedMs)
  const others = reportable.filter(({ changedAtMs }) => changedAtMs < nowMs - reportChangedMs)
  const maxRepeated = isNewReceiver ? maxReportedLimits : maxRepeatedLimits
  const first = others.length <= maxRepeated ? 0 : Math.floor(nowMs / repeatIntervalMs) * maxRepeated % others.length
  const repeated = [...others.slice(first), ...others.slice(0, first)].slice(0, maxRepeated)
  return [...changed, ...repeated].slice(0, maxReportedLimits).map(limit => toReported(limit, nowMs))
}
