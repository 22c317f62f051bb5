/** Waiting for a promise with a deadline. */
import type { Clock } from '../clock/index.ts'

/** Resolves with the promise's value, or with undefined if the wall time `deadlineAtMs` comes first. */
export async function valueOrTimeout<Value> (clock: Clock, promise: Promise<Value>, deadlineAtMs: number): Promise<Value | undefined> {
  const settled = new AbortController()
  const timeout = clock.sleep(deadlineAtMs - clock.wallMs(), settled.signal).then(() => undefined)
  try {
    return await Promise.race([promise, timeout])
  } finally {
    settled.abort()
  }
}
