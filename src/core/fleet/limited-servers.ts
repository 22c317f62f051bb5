/**
 * Counts the capacity that a service misses because some of its backend servers limit the
 * requests that they take: each counts with what it takes. Answers the load of a service whose
 * other backend servers get the rest for longer than a new one needs to start.
 */
import type { Clock } from '../clock/index.ts'

/** Load and limits of one service. */
export interface LimitedService {
  /** Limits in force, in requests a second, and how long each has been. */
  limits: ReadonlyArray<{ perSecond: number, forMs: number }>
  /** Time from the order of a backend server until it serves. A limit that is younger may end before it. */
  bootMs: number
  /** Backend servers that the load keeps busy, and the requests a second that it consists of. */
  busyServers: number
  requestsPerSecond: number
}

/** The missing capacity of one service. */
export interface LimitedServers {
  /** Backend servers that are missing, in whole ones. */
  missing: (service: LimitedService) => number
}

/** Time for which missing capacity counts after limits end; they return when the load does. */
const holdMs = 10_000

/** Capacity of one limited backend server, as a part of an unlimited one. */
function remainingPart (perSecond: number, { busyServers, requestsPerSecond }: LimitedService): number {
  return requestsPerSecond === 0 ? 1 : Math.min(1, perSecond * busyServers / requestsPerSecond)
}

/** Creates the count of one service. */
export function createLimitedServers (clock: Clock): LimitedServers {
  let highest = { missing: 0, untilMs: -Infinity }

  return {
    missing: service => {
      const lasting = service.limits.filter(({ forMs }) => forMs >= service.bootMs)
      const missing = Math.round(lasting.reduce((sum, { perSecond }) => sum + 1 - remainingPart(perSecond, service), 0))
      const nowMs = clock.monotonicMs()
      if (missing >= highest.missing || nowMs >= highest.untilMs) highest = { missing, untilMs: nowMs + holdMs }
      return highest.missing
    }
  }
}
