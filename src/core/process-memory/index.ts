/**
 * Watches how much memory this process uses of its machine's, because a process that
 * exceeds it is ended from outside and can't say why.
 */
import type { Clock } from '../clock/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { MemoryUsage } from './types.ts'

export type * from './types.ts'

/** Options of the watch. */
export interface MemoryWatchOptions {
  clock: Clock
  log: Log
  metrics: Metrics
  /** Memory of the machine; Infinity if unknown. */
  limitBytes: number
  /** Memory of the process now. */
  readUsage: () => MemoryUsage
  /** What holds memory, by the log field and in its unit, such as `openRequests`. */
  holders: () => Record<string, number>
}

/** A running watch. */
export interface MemoryWatch {
  close: () => void
}

const bytesPerMegabyte = 1_000_000
const intervalMs = 250
/** Shares of the machine's memory that are logged, once each until the use has fallen below the share again by the margin. */
const loggedShares = [0.5, 0.7, 0.85]
const shareMargin = 0.05

/** The memory of this process as Node.js reports it. */
export function readProcessMemory (): MemoryUsage {
  const { rss, heapUsed, arrayBuffers } = process.memoryUsage()
  return { residentBytes: rss, heapBytes: heapUsed, arrayBufferBytes: arrayBuffers }
}

/** Starts the watch. */
export function watchMemory ({ clock, log, metrics, limitBytes, readUsage, holders }: MemoryWatchOptions): MemoryWatch {
  const closed = new AbortController()
  let loggedCount = 0

  function check (): void {
    const { residentBytes, heapBytes, arrayBufferBytes } = readUsage()
    metrics.setGauge('process_resident_bytes', residentBytes)
    const share = residentBytes / limitBytes
    while (loggedCount > 0 && share < loggedShares[loggedCount - 1]! - shareMargin) loggedCount -= 1
    const reachedCount = loggedShares.filter(logged => share >= logged).length
    if (reachedCount <= loggedCount) return
    loggedCount = reachedCount
    const megabytes = (bytes: number): number => Math.round(bytes / bytesPerMegabyte)
    log('memoryHigh', { usedMb: megabytes(residentBytes), limitMb: megabytes(limitBytes), heapMb: megabytes(heapBytes), arrayBuffersMb: megabytes(arrayBufferBytes), ...holders() })
  }

  async function run (): Promise<void> {
    while (!closed.signal.aborted) {
      check()
      await clock.sleep(intervalMs, closed.signal)
    }
  }

  run()
  return { close: () => closed.abort() }
}
