/** What nodes tell one another several times a second; each report replaces the one before. */
import type { BackendId, NodeId, TeamId } from '../ids/index.ts'
import type { QuotaTaken } from '../quota/index.ts'
import type { PeerLoad, PrefixUse } from '../routing/index.ts'

/** One node's report about itself. */
export interface NodeReport {
  node: NodeId
  /** One start of the node's process; counters begin anew with it. */
  life: string
  sequence: number
  /** Whether it is about to stop. */
  isDraining: boolean
  /** Revision of the key-value service that it knows, and whether the service answers it. */
  revision: number
  reachesStore: boolean
  /** Tokens or requests let in since its start, by team. */
  quotaTaken: Map<TeamId, QuotaTaken>
  loads: Map<BackendId, PeerLoad>
  /** Prefixes sent to backend servers lately. */
  prefixes: PrefixUse[]
  /** Requests that began to run, by usage window and team. */
  usage: Map<number, Map<TeamId, number>>
  /** Work sent to backend servers since its start, by service, in milliseconds of one backend server. */
  workMs: Map<string, number>
  /** Attempts by version on trial and not, as the judge of moves counts them. */
  evidence: unknown
}

/** Where a node is reached. */
export interface NodeAddress {
  node: NodeId
  host: string
  /** UDP port for reports. */
  reportPort: number
  /** TCP port that serves what the node knows of the key-value service. */
  viewPort: number
}
