/** Clocks that are passed in as values, so that tests can control time. */
import { performance } from 'node:perf_hooks'

export { startTimerAfterReads } from './timer-after-reads.ts'

/** Wall clock, monotonic clock and timer of a process. */
export interface Clock {
  /** Wall time in milliseconds since the epoch; may jump. For deadlines that are sent to other processes. */
  wallMs: () => number
  /** Monotonic time in milliseconds since an arbitrary start. For leases and timeouts within the process. */
  monotonicMs: () => number
  /** Resolves after `durationMs`, at most 24 days, or at once when the signal aborts; never rejects. */
  sleep: (durationMs: number, signal?: AbortSignal) => Promise<void>
}

/** Longest wait of a timer of Node.js; a longer one would end at once. */
const maxTimerMs = 2 ** 31 - 1

/** Implemented without the timers of node:timers/promises, which create an error with its stack for each one that is aborted. */
function sleepUntilAborted (durationMs: number, signal?: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    if (signal?.aborted === true) return resolve()
    const timer = setTimeout(() => {
      signal?.removeEventListener('abort', onAbort)
      resolve()
    }, Math.min(maxTimerMs, durationMs))
    function onAbort (): void {
      clearTimeout(timer)
      resolve()
    }
    signal?.addEventListener('abort', onAbort)
  })
}

/** The clock of the operating system. */
export function createSystemClock (): Clock {
  return {
    wallMs: () => Date.now(),
    monotonicMs: () => performance.now(),
    sleep: sleepUntilAborted
  }
}

/** Processor time of this process in milliseconds, which doesn't pass while the system runs other processes. */
export function processorTimeMs (): number {
  const { user, system } = process.cpuUsage()
  return (user + system) / 1_000
}

/** A clock for tests that only moves when `advance` is called. */
export interface ManualClock extends Clock {
  /** Moves both clocks forward and resolves the sleeps that end on the way, in the order of their wake times. */
  advance: (durationMs: number) => Promise<void>
}

interface Sleeper {
  wakeAtMs: number
  wake: () => void
}

/** Lets pending tasks run before time moves on. */
function yieldToEventLoop (): Promise<void> {
  return new Promise(resolve => setImmediate(resolve))
}

/** A clock for tests, starting at `startAtMs` of wall time. */
export function createManualClock (startAtMs = 1_700_000_000_000): ManualClock {
  let nowMs = 0
  let sleepers: Sleeper[] = []

  function sleep (durationMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted === true) return Promise.resolve()
    return new Promise(resolve => {
      function wake (): void {
        signal?.removeEventListener('abort', abort)
        resolve()
      }
      function abort (): void {
        sleepers = sleepers.filter(other => other !== sleeper)
        resolve()
      }
      const sleeper = { wakeAtMs: nowMs + Math.max(0, durationMs), wake }
      sleepers.push(sleeper)
      signal?.addEventListener('abort', abort, { once: true })
    })
  }

  /** The sleeper with the earliest wake time; for equal wake times, the one that was added first. */
  function nextSleeper (): Sleeper | undefined {
    let next: Sleeper | undefined
    for (const sleeper of sleepers) {
      if (next === undefined || sleeper.wakeAtMs < next.wakeAtMs) next = sleeper
    }
    return next
  }

  async function advance (durationMs: number): Promise<void> {
    const endAtMs = nowMs + durationMs
    await yieldToEventLoop()
    for (;;) {
      const next = nextSleeper()
      if (next === undefined || next.wakeAtMs > endAtMs) break
      sleepers = sleepers.filter(sleeper => sleeper !== next)
      nowMs = Math.max(nowMs, next.wakeAtMs)
      next.wake()
      await yieldToEventLoop()
    }
    nowMs = endAtMs
  }

  return { wallMs: () => startAtMs + nowMs, monotonicMs: () => nowMs, sleep, advance }
}
