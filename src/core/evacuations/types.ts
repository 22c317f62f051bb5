/** Types of the evacuations of failure domains. */
import type { Clock } from '../clock/index.ts'
import type { DomainId } from '../ids/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'

/** Which failure domains are evacuated: their backend servers get no requests. */
export interface Evacuations {
  /** Applies an operator's request, or its end. `isByRestore` marks a change by which the key-value service returned to an older copy. */
  set: (domain: DomainId, isRequested: boolean, isByRestore?: boolean) => void
  isEvacuated: (domain: DomainId) => boolean
  /** Monotonic time at which the latest evacuation of a domain ended; -Infinity if this process saw none end, and while the domain is evacuated. */
  endedAtMs: (domain: DomainId) => number
  /** Whether orders must treat the domain as one without capacity: while it is evacuated, and until its backend servers take load again. */
  isWithoutCapacity: (domain: DomainId) => boolean
  /** Ends the pending checks. */
  close: () => void
}

/** Options of `createEvacuations`. */
export interface EvacuationsOptions {
  clock: Clock
  log: Log
  metrics: Metrics
  /** Number of known backend servers in a domain. */
  serverCount: (domain: DomainId) => number
}
