/**
 * Records which backend servers run. After a restore of the key-value service from an
 * older copy, or a start of the node, the registration of a server that has stopped looks
 * like any other; only an answer or a later renewal proves that its server runs.
 */
import { registrationReturnMs } from './times.ts'
import type { BackendId } from '../ids/index.ts'
import type { RegistrationProofs, RegistrationProofsOptions } from './types.ts'

/** Creates the proofs; nothing is settled or renewed before the first `reset`. */
export function createRegistrationProofs ({ clock, times, revisionOf }: RegistrationProofsOptions): RegistrationProofs {
  const proven = new Set<BackendId>()
  /** Revisions that prove nothing: what was lost in a restore is written again within `registrationReturnMs`, also for servers that have stopped. */
  const baselines = new Map<BackendId, number>()
  let resetAtMs = Infinity

  function isRenewed (backend: BackendId): boolean {
    if (clock.monotonicMs() < resetAtMs + registrationReturnMs) return false
    const revision = revisionOf(backend)
    if (revision === undefined) return false
    const baseline = baselines.get(backend)
    if (baseline === undefined) baselines.set(backend, revision)
    return baseline !== undefined && revision > baseline
  }

  return {
    reset: () => {
      proven.clear()
      baselines.clear()
      resetAtMs = clock.monotonicMs()
    },
    recordAnswer: backend => { proven.add(backend) },
    remove: backend => {
      proven.delete(backend)
      baselines.delete(backend)
    },
    isProven: backend => {
      if (!proven.has(backend) && isRenewed(backend)) proven.add(backend)
      return proven.has(backend)
    },
    isSettled: () => clock.monotonicMs() >= resetAtMs + times.settleMs
  }
}
