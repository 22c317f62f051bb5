/**
 * Lets requests that arrive just after the start of a node wait for its first
 * configuration. When all nodes were killed, callers reach the new processes some tens
 * of milliseconds before these have read the key-value service; a refusal would cost
 * each caller one of its few retries.
 */
import type { Clock } from '../clock/index.ts'

/** Options of the wait. */
export interface ConfigurationWaitOptions {
  clock: Clock
  /** Monotonic time after which requests no longer wait, such as when the key-value service is unreachable. */
  untilMs: number
}

/** Requests that wait for the first configuration. */
export interface ConfigurationWait {
  /** Resolves with the first configuration, at the latest when requests no longer wait or `ended` is aborted. */
  wait: (ended: AbortSignal) => Promise<void>
  /** Must be called with the first configuration. */
  end: () => void
}

/** Maximum number of requests that wait; bounds the memory for their bodies. */
const maxWaiting = 64

/** Creates the wait of one node. */
export function createConfigurationWait ({ clock, untilMs }: ConfigurationWaitOptions): ConfigurationWait {
  const configured = new AbortController()
  let waitingCount = 0

  async function wait (ended: AbortSignal): Promise<void> {
    const leftMs = untilMs - clock.monotonicMs()
    if (leftMs <= 0 || waitingCount >= maxWaiting) return
    waitingCount += 1
    await clock.sleep(leftMs, AbortSignal.any([configured.signal, ended]))
    waitingCount -= 1
  }

  return { wait, end: () => configured.abort() }
}
