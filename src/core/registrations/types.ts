/** Types of what a node may conclude from the registrations of backend servers. */
import type { Clock } from '../clock/index.ts'
import type { BackendId } from '../ids/index.ts'

/** Times that follow from the interval at which backend servers renew their registrations, in ms. */
export interface RegistrationTimes {
  /** Time after its last renewal within which the registration of a stopped backend server is removed, and nodes know of it. */
  expiryMs: number
  /** Time after a restore of the key-value service, or its first content, within which running backend servers are registered, and have renewed their registrations. */
  settleMs: number
}

/** What a node knows of the backend servers of one version of a service. */
export type VersionPresence =
  /** One of them answered, or renewed its registration, so that it runs. */
  | 'running'
  /** They are only registered. */
  | 'registered'
  /** None is registered, or those that are can't be reached and don't renew their registrations. */
  | 'absent'

/** Options of `createRegistrationProofs`. */
export interface RegistrationProofsOptions {
  clock: Clock
  times: RegistrationTimes
  /** Revision at which this node's copy of the key-value service has the registration; undefined if it has none. */
  revisionOf: (backend: BackendId) => number | undefined
}

/** Which registered backend servers are proven to run. */
export interface RegistrationProofs {
  /** Discards all proofs; for the first content of the key-value service, and after each restore. */
  reset: () => void
  /** Records that something was received from a backend server. */
  recordAnswer: (backend: BackendId) => void
  /** Discards the proof of a backend server whose registration was removed or replaced. */
  remove: (backend: BackendId) => void
  /** Whether it has answered or renewed its registration since the last reset. */
  isProven: (backend: BackendId) => boolean
  /** Whether running backend servers have had the time to register and to prove that they run since the last reset. */
  isSettled: () => boolean
}
