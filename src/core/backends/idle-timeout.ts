/** Detects streams that receive no bytes, with one timer for all streams of a client. */
import type { Clock } from '../clock/index.ts'

/** A monitored stream. Its owner must update `lastByteAtMs` whenever bytes arrive. */
export interface WatchedStream {
  /** Monotonic time of the last received byte. */
  lastByteAtMs: number
  /** Idle timeout of the stream. */
  timeoutMs: number
  onIdleTimeout: () => void
}

/** Monitors streams for idle timeouts. */
export interface IdleTimeoutMonitor {
  add: (stream: WatchedStream) => void
  remove: (stream: WatchedStream) => void
}

const checksPerTimeout = 4

/** Creates a monitor that checks its streams every quarter of `timeoutMs`, as long as there are any. */
export function createIdleTimeoutMonitor (clock: Clock, timeoutMs: number): IdleTimeoutMonitor {
  const streams = new Set<WatchedStream>()
  let stopController = new AbortController()
  let isRunning = false

  async function checkPeriodically (): Promise<void> {
    isRunning = true
    while (streams.size > 0) {
      await clock.sleep(timeoutMs / checksPerTimeout, stopController.signal)
      const nowMs = clock.monotonicMs()
      for (const stream of [...streams]) {
        if (nowMs - stream.lastByteAtMs >= stream.timeoutMs) stream.onIdleTimeout()
      }
    }
    isRunning = false
  }

  return {
    add: stream => {
      streams.add(stream)
      if (!isRunning) checkPeriodically()
    },
    remove: stream => {
      streams.delete(stream)
      if (streams.size > 0) return
      stopController.abort()
      stopController = new AbortController()
    }
  }
}
