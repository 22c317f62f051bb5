/**
 * Notices pauses of the process: a frozen or starved process may have been
 * replaced as an owner without hearing of it.
 */
import type { Clock } from '../clock/index.ts'

/** Largest delay of a tick that is not taken for a pause. */
const toleranceMs = 1_000

/** Pauses of this process. */
export interface PauseWatch {
  /** Whether a pause ended after the given monotonic time. */
  pausedSince: (monotonicMs: number) => boolean
  /** Notes that the process runs; called at least once each interval. */
  tick: () => void
}

/** Watches for pauses, given the interval of the ticks. */
export function createPauseWatch (clock: Clock, tickIntervalMs: number): PauseWatch {
  let lastSeenMs = clock.monotonicMs()
  let lastPauseEndMs = -Infinity

  function tick (): void {
    const nowMs = clock.monotonicMs()
    if (nowMs - lastSeenMs > tickIntervalMs + toleranceMs) lastPauseEndMs = nowMs
    lastSeenMs = nowMs
  }

  return {
    pausedSince: monotonicMs => {
      tick()
      return lastPauseEndMs > monotonicMs
    },
    tick
  }
}
