/**
 * Naive admission control, the baseline of differential tests and measurements: one
 * queue in order of arrival, without team limits or deadlines.
 */
import type { Result } from 'true-myth'
import { err, ok } from 'true-myth/result'
import type { Refusal } from '../outcomes/index.ts'
import type { Admission, AdmissionOptions, AdmissionRequest, Permit } from './types.ts'

/** Creates an admission control that only limits the number of requests in flight. */
export function createNaiveAdmission (options: AdmissionOptions): Admission {
  const { clock, metrics, maxConcurrent } = options
  const waiting: Array<() => void> = []
  let inFlight = 0
  let draining = false

  function release (): void {
    inFlight -= 1
    waiting.shift()?.()
  }

  function createPermit (request: AdmissionRequest, enqueuedAtMs: number): Permit {
    inFlight += 1
    let released = false
    return {
      team: request.team,
      waitedMs: clock.monotonicMs() - enqueuedAtMs,
      release: () => {
        if (released) return
        released = true
        release()
      }
    }
  }

  async function admit (request: AdmissionRequest): Promise<Result<Permit, Refusal>> {
    const enqueuedAtMs = clock.monotonicMs()
    if (draining) {
      metrics.countRefusal('draining')
      return err({ reason: 'draining', run: 'not-run', detail: 'The node is about to stop.' })
    }
    if (inFlight >= maxConcurrent) await new Promise<void>(resolve => waiting.push(resolve))
    return ok(createPermit(request, enqueuedAtMs))
  }

  return {
    admit,
    load: () => ({ inFlight, waiting: waiting.length }),
    drain: () => { draining = true },
    close: () => { draining = true }
  }
}
