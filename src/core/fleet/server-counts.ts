/**
 * Counts the backend servers of a service for its plan while a version move runs.
 * Those of the version under evaluation run beside the others and get little
 * traffic: they don't carry the load, and an order must not give them up.
 */
import type { DomainId, VersionId } from '../ids/index.ts'
import type { VersionRole } from '../moves/types.ts'
import type { DomainCount } from './counts.ts'

/** A backend server as it is registered. */
export interface CountedServer {
  domain: DomainId
  version: VersionId
  isReclaimable: boolean
  isLeaving: boolean
}

/** Numbers of backend servers that are not leaving, by failure domain and purchase option. */
export interface ServerCounts {
  /** Those that carry the load. */
  serving: DomainCount[]
  /** Those of a version under evaluation. */
  evaluated: DomainCount[]
}

function addOne (counts: DomainCount[], { domain, isReclaimable }: CountedServer): void {
  const purchase = isReclaimable ? 'reclaimable' : 'on-demand'
  const existing = counts.find(count => count.domain === domain && count.purchase === purchase)
  if (existing === undefined) counts.push({ domain, purchase, count: 1 })
  else existing.count += 1
}

/** Counts the backend servers of one service; replaced ones are about to be stopped and don't count. */
export function countServers (servers: readonly CountedServer[], roleOf: (version: VersionId) => VersionRole): ServerCounts {
  const counts: ServerCounts = { serving: [], evaluated: [] }
  for (const server of servers) {
    const role = roleOf(server.version)
    if (!server.isLeaving && role !== 'replaced') addOne(counts[role], server)
  }
  return counts
}
