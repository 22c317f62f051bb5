/**
 * The failure domains that operators have evacuated. Operators request it in the
 * key-value service, whose content reaches every node; each node applies it by itself.
 */
import type { DomainId } from '../ids/index.ts'
import type { Evacuations, EvacuationsOptions } from './types.ts'

export type * from './types.ts'

/** Time after which a domain without a backend server is logged. A node that starts learns of the evacuations before the backend servers. */
const unknownCheckMs = 2_000
/**
 * Time after the end of an evacuation during which orders don't count on the domain:
 * 2 s until its load has returned, 3 s of cold starts and 1 s for late changes.
 */
export const capacityReturnMs = 6_000
/** Number of ended evacuations and of unknown domains that are remembered. */
const maxRemembered = 1_000

/** Creates the evacuations of one node; there are none at first. */
export function createEvacuations ({ clock, log, metrics, serverCount }: EvacuationsOptions): Evacuations {
  const closed = new AbortController()
  const evacuated = new Set<DomainId>()
  const endedAtMs = new Map<DomainId, number>()
  /** Domains that were logged as unknown, so that repeated evacuations don't log it again. */
  const loggedUnknown = new Set<DomainId>()

  function begin (domain: DomainId, isByRestore: boolean): void {
    evacuated.add(domain)
    endedAtMs.delete(domain)
    log('domainEvacuated', { domain, backends: serverCount(domain), isByRestore })
    if (serverCount(domain) === 0) checkLater(domain)
  }

  function end (domain: DomainId, isByRestore: boolean): void {
    evacuated.delete(domain)
    const oldest = endedAtMs.keys().next().value
    if (endedAtMs.size >= maxRemembered && oldest !== undefined) endedAtMs.delete(oldest)
    endedAtMs.set(domain, clock.monotonicMs())
    log('domainEvacuationEnded', { domain, backends: serverCount(domain), isByRestore })
  }

  async function checkLater (domain: DomainId): Promise<void> {
    await clock.sleep(unknownCheckMs, closed.signal)
    if (closed.signal.aborted || !evacuated.has(domain) || serverCount(domain) > 0 || loggedUnknown.has(domain)) return
    if (loggedUnknown.size >= maxRemembered) loggedUnknown.clear()
    loggedUnknown.add(domain)
    log('evacuatedDomainUnknown', { domain })
  }

  function latestEndMs (domain: DomainId): number {
    return endedAtMs.get(domain) ?? -Infinity
  }

  return {
    set: (domain, isRequested, isByRestore = false) => {
      if (evacuated.has(domain) === isRequested) return
      if (isRequested) begin(domain, isByRestore)
      else end(domain, isByRestore)
      metrics.setGauge('evacuated_domains', evacuated.size)
    },
    isEvacuated: domain => evacuated.has(domain),
    endedAtMs: latestEndMs,
    isWithoutCapacity: domain => evacuated.has(domain) || clock.monotonicMs() < latestEndMs(domain) + capacityReturnMs,
    close: () => closed.abort()
  }
}
