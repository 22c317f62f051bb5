/**
 * The times of a stop. They count from the signal and leave more time before the
 * end of the grace period on a node whose event loop lags, as each step of the
 * end then waits for its turn.
 */
import type { Clock } from '../clock/index.ts'
import type { PlannedStop } from './types.ts'

/** Options of the times of a stop. */
export interface StopTimesOptions {
  clock: Clock
  /** Monotonic time of the signal, which may be earlier than its handling. */
  requestedAtMs: number
  /** Time after the signal at which the platform kills the process. */
  graceMs: number
  /** Time after the signal from which a stream that is taken must not be cut. */
  streamsCompleteAfterMs: number
}

/** The times of a stop, all monotonic. Those that are functions move as the lag does. */
export interface StopTimes {
  /** Open requests are ended then. */
  endsAtMs: () => number
  /** The stop as the gate sees it at present. */
  plannedStop: () => PlannedStop
  /** The last connections are closed then. */
  closesAtMs: () => number
  /** The platform kills the process then. */
  killedAtMs: number
  /** Median delay of the timers that were due lately; a single stall doesn't count. */
  lagMs: () => number
  close: () => void
}

/** Time before the end of the grace period at which open requests are ended on a node without lag. */
const marginMs = 500
/** Part of the grace period that the end may take. The platform's rules excuse no cut before. */
const maxMarginRatio = 1 / 6
/** Turns of the event loop that the end may take: its timer, the answers, their delivery, the close, the last log lines and the exit. */
const endTurns = 6
const measureIntervalMs = 20
/** Part of the grace period for which a lag counts. */
const lagWindowRatio = 1 / 4

/** Starts to measure the lag, until `close`. */
export function createStopTimes ({ clock, requestedAtMs, graceMs, streamsCompleteAfterMs }: StopTimesOptions): StopTimes {
  const closed = new AbortController()
  const killedAtMs = requestedAtMs + graceMs
  const startedAtMs = clock.monotonicMs()
  /** Counts from the handling of the signal, which may have been sent at any time up to it. */
  const earliestEndAtMs = startedAtMs + graceMs - graceMs * maxMarginRatio
  /** Latest deadline of the requests that were taken because they end by it. */
  let heldUntilMs = -Infinity
  let lags = [{ atMs: startedAtMs, lagMs: startedAtMs - requestedAtMs }]

  async function measure (): Promise<void> {
    while (!closed.signal.aborted) {
      const dueAtMs = clock.monotonicMs() + measureIntervalMs
      await clock.sleep(measureIntervalMs, closed.signal)
      const nowMs = clock.monotonicMs()
      lags = lags.filter(({ atMs }) => atMs > nowMs - graceMs * lagWindowRatio)
      lags.push({ atMs: nowMs, lagMs: nowMs - dueAtMs })
    }
  }
  measure()

  function lagMs (): number {
    const sorted = lags.map(lag => lag.lagMs).sort((first, second) => first - second)
    return Math.max(0, sorted[Math.floor((sorted.length - 1) / 2)] ?? 0)
  }

  const endsAtMs = (): number => Math.min(killedAtMs - marginMs, Math.max(killedAtMs - lagMs() * endTurns, earliestEndAtMs, heldUntilMs))

  return {
    endsAtMs,
    plannedStop: () => ({
      requestedAtMs,
      streamsCompleteFromMs: requestedAtMs + streamsCompleteAfterMs,
      // A node that can't do one step within the margin takes nothing that it can't finish well before.
      endsAtMs: killedAtMs - (lagMs() > marginMs ? lagMs() * endTurns : marginMs),
      holdUntil: atMs => { heldUntilMs = Math.max(heldUntilMs, atMs) }
    }),
    closesAtMs: () => (endsAtMs() + killedAtMs) / 2,
    killedAtMs,
    lagMs,
    close: () => closed.abort()
  }
}
