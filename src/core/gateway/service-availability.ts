/** Which backend servers of a service take requests at all, and when those that don't will again. */
import { anyDomain } from './allowed-domains.ts'
import type { MayUseDomain } from './allowed-domains.ts'
import type { BackendTable, BackendTableOptions, KnownBackend, Unavailability } from './backend-table-types.ts'

/** Options of the availability. */
export interface ServiceAvailabilityOptions extends Pick<BackendTableOptions, 'clock' | 'versionRolesOf' | 'limits'> {
  evacuations: Pick<NonNullable<BackendTableOptions['evacuations']>, 'isEvacuated'>
  /** All registered backend servers. */
  known: () => Iterable<KnownBackend>
}

/** The availability of services. */
export interface ServiceAvailability extends Pick<BackendTable, 'unavailability' | 'allPausedForMs' | 'allLimitedForMs'> {
  /** The backend servers that aren't leaving, evacuated or replaced, in the domains that a request may use; paused, limited and suspected ones are among them. */
  liveOf: (service: string, mayUse?: MayUseDomain) => KnownBackend[]
}

/** Whether a backend server is about to stop, by its registration or by a response. */
export function isLeaving ({ entry, leavingSinceMs }: KnownBackend): boolean {
  return entry.isLeaving || leavingSinceMs !== undefined
}

/** Creates the availability of the services of a table. */
export function createServiceAvailability ({ clock, versionRolesOf, limits, evacuations, known }: ServiceAvailabilityOptions): ServiceAvailability {
  function isCandidate (candidate: KnownBackend, service: string): boolean {
    return candidate.entry.service === service && !isLeaving(candidate) && !candidate.isMisdirected
  }

  function liveOf (service: string, mayUse = anyDomain): KnownBackend[] {
    const roleOf = versionRolesOf(service)
    return [...known()].filter(candidate => isCandidate(candidate, service) && mayUse(candidate.entry.domain) && !evacuations.isEvacuated(candidate.entry.domain) && roleOf(candidate.entry.version) !== 'replaced')
  }

  /** Asked for each request, so it ends with the first backend server that may be used. */
  function unavailability (service: string, mayUse: MayUseDomain): Unavailability | undefined {
    let reason: Unavailability | undefined
    for (const candidate of known()) {
      if (!isCandidate(candidate, service)) continue
      const { domain } = candidate.entry
      // A replaced one in another domain may still be the last resort.
      if (mayUse(domain) && !evacuations.isEvacuated(domain)) return undefined
      if (mayUse(domain)) reason = 'evacuated'
      else reason ??= 'not-allowed'
    }
    return reason
  }

  return {
    liveOf,
    unavailability,
    allPausedForMs: (service, mayUse) => {
      const nowMs = clock.monotonicMs()
      const live = liveOf(service, mayUse)
      if (live.length === 0 || live.some(({ pausedUntilMs }) => pausedUntilMs <= nowMs)) return undefined
      return Math.min(...live.map(({ pausedUntilMs }) => pausedUntilMs)) - nowMs
    },
    allLimitedForMs: (service, claim, excluded, mayUse) => {
      const nowMs = clock.monotonicMs()
      const unpaused = liveOf(service, mayUse).filter(({ pausedUntilMs }) => pausedUntilMs <= nowMs).map(({ entry }) => entry)
      const limited = unpaused.filter(limits.isLimited)
      const hasUnlimited = unpaused.some(entry => !excluded.has(entry.id) && !limits.isLimited(entry))
      if (limited.length === 0 || hasUnlimited) return undefined
      return limits.onRefused(service, limited, claim)
    }
  }
}
