/** Waits that end at a time, whatever they wait for. */
import type { Clock } from '../clock/index.ts'

/** The value of a promise, or undefined once the wall time `untilMs` has come first. */
export async function valueUntil<Value> (clock: Clock, promise: Promise<Value>, untilMs: number): Promise<Value | undefined> {
  const done = new AbortController()
  const late = clock.sleep(untilMs - clock.wallMs(), done.signal).then(() => undefined)
  try {
    return await Promise.race([promise, late])
  } finally {
    done.abort()
  }
}
