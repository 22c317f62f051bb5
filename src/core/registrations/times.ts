/** Derives the times of registrations from the interval at which they are renewed. */
import type { RegistrationTimes } from './types.ts'

/** Renewals that are missed before a registration is removed. */
const missedRenewals = 3
/** Time until a node's copy of the key-value service has a removal. */
const removalDelayMs = 400
/** Time after the return of the key-value service within which registrations that expired meanwhile are back. */
export const registrationReturnMs = 2_000
/** Time until the copies of all nodes have a renewal, also those that get it from other nodes. */
const renewalDelayMs = 1_800

/** Derives the times; `renewalIntervalMs` is the time between two renewals. */
export function createRegistrationTimes (renewalIntervalMs: number): RegistrationTimes {
  return {
    expiryMs: missedRenewals * renewalIntervalMs + removalDelayMs,
    settleMs: registrationReturnMs + renewalIntervalMs + renewalDelayMs
  }
}
