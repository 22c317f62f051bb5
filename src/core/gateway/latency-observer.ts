/**
 * Observes the latencies of one attempt. They are reported as soon as they are
 * known, and for an aborted attempt as lower bounds: if only completed attempts
 * counted, a slow version would look faster than it is, since its slowest
 * attempts complete last or never.
 */
import type { LatencyReport } from './active-request.ts'

/** Number of events of a stream after which the time between two of them is reported. */
const reportedEvents = 8

type Latency = Pick<LatencyReport, 'kind' | 'latencyMs' | 'isLowerBound'>

/** Observer of one attempt. Times are monotonic, in ms. */
export interface LatencyObserver {
  onFirstByte: (nowMs: number) => void
  /** Called when complete events of a stream have arrived; `count` is their number so far. */
  onEvents: (count: number, nowMs: number) => void
  onEnded: (isAborted: boolean, nowMs: number) => void
}

/** Creates the observer of an attempt that is sent now. */
export function createLatencyObserver (sentAtMs: number, report: (latency: Latency) => void): LatencyObserver {
  let firstByteAtMs: number | undefined
  let lastEventAtMs = sentAtMs
  let eventCount = 0
  let isBetweenReported = false

  function reportBetween (latencyMs: number, isLowerBound: boolean): void {
    isBetweenReported = true
    report({ kind: 'between-events', latencyMs, isLowerBound })
  }

  return {
    onFirstByte: nowMs => {
      if (firstByteAtMs !== undefined) return
      firstByteAtMs = nowMs
      report({ kind: 'first-byte', latencyMs: nowMs - sentAtMs, isLowerBound: false })
    },
    onEvents: (count, nowMs) => {
      eventCount = count
      lastEventAtMs = nowMs
      if (!isBetweenReported && firstByteAtMs !== undefined && count >= reportedEvents) reportBetween((nowMs - firstByteAtMs) / (count - 1), false)
    },
    onEnded: (isAborted, nowMs) => {
      if (firstByteAtMs === undefined) {
        if (isAborted) report({ kind: 'first-byte', latencyMs: nowMs - sentAtMs, isLowerBound: true })
        return
      }
      if (isBetweenReported || eventCount === 0) return
      if (isAborted) reportBetween((nowMs - firstByteAtMs) / eventCount, true)
      else if (eventCount > 1) reportBetween((lastEventAtMs - firstByteAtMs) / (eventCount - 1), false)
    }
  }
}
