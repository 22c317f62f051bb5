/** Compares the entries of two starts of a backend server. */
import type { BackendEntry } from './types.ts'

/** Whether both are of the same start at the same address. */
export function isSameRegistration (before: BackendEntry, after: BackendEntry): boolean {
  return before.startedAtMs === after.startedAtMs && before.service === after.service &&
    before.address.host === after.address.host && before.address.port === after.address.port
}

/** Whether the second one is of an earlier start than the first. */
export function isEarlierStart (before: BackendEntry, after: BackendEntry): boolean {
  return before.startedAtMs !== undefined && after.startedAtMs !== undefined && after.startedAtMs < before.startedAtMs
}
