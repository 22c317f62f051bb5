/**
 * Concurrency limits of backend servers, learned from measured latency by
 * additive increase and multiplicative decrease (D. Chiu, R. Jain, Computer
 * Networks and ISDN Systems 17, 1989). The decrease follows the ratio of the
 * latency target to the measured latency.
 */
import type { Clock } from '../clock/index.ts'
import type { BackendId } from '../ids/index.ts'
import type { ConcurrencyLimit, ConcurrencyLimits, LatencySample } from './types.ts'

/** Lower bound of the factor of one decrease; also the factor on overload. */
const minDecreaseFactor = 0.5
/** Upper bound of the factor of one decrease, for latencies just above the target. */
const maxDecreaseFactor = 0.9
/** Utilisation of the limit, as a ratio, below which it doesn't grow. */
const minUtilisationRatio = 0.75

/** Initial value and bounds of a limit, in concurrent requests. */
export interface ConcurrencyLimitOptions {
  clock: Clock
  initial: number
  min: number
  max: number
}

function decreaseFactor (sample: LatencySample): number {
  if (sample.overloaded) return minDecreaseFactor
  return Math.min(maxDecreaseFactor, Math.max(minDecreaseFactor, sample.targetMs / sample.latencyMs))
}

/** Creates the limit of one backend server. */
export function createConcurrencyLimit (options: ConcurrencyLimitOptions): ConcurrencyLimit {
  const { clock, min, max } = options
  let limit = options.initial
  let nextDecreaseAtMs = -Infinity

  // Attempts that began before the last decrease show the latency under the old limit, so they don't cause another decrease.
  function decrease (sample: LatencySample): void {
    const nowMs = clock.monotonicMs()
    if (nowMs < nextDecreaseAtMs) return
    limit = Math.max(min, limit * decreaseFactor(sample))
    nextDecreaseAtMs = nowMs + Math.max(sample.latencyMs, sample.targetMs)
  }

  function increase (sample: LatencySample): void {
    if (sample.inFlight < limit * minUtilisationRatio) return
    limit = Math.min(max, limit + 1 / limit)
  }

  function record (sample: LatencySample): void {
    if (sample.overloaded || sample.latencyMs > sample.targetMs) decrease(sample)
    else increase(sample)
  }

  return { current: () => Math.floor(limit), record }
}

/** Creates the limits of all backend servers; the limit of each is created on first use. */
export function createConcurrencyLimits (options: ConcurrencyLimitOptions): ConcurrencyLimits {
  const limits = new Map<BackendId, ConcurrencyLimit>()

  function limitFor (backend: BackendId): ConcurrencyLimit {
    const existing = limits.get(backend)
    if (existing !== undefined) return existing
    const created = createConcurrencyLimit(options)
    limits.set(backend, created)
    return created
  }

  return {
    limitOf: backend => limitFor(backend).current(),
    record: (backend, sample) => limitFor(backend).record(sample),
    removeBackend: backend => { limits.delete(backend) }
  }
}
