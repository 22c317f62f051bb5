/** Types of the reports that nodes exchange several times a second; each report replaces the previous one. */
import type { LimitReport } from '../backend-limits/index.ts'
import type { SpeedReport } from '../backend-speeds/index.ts'
import type { BackendId, DomainId, NodeId, TeamId } from '../ids/index.ts'
import type { QuotaGrants, QuotaLevels, QuotaUsage } from '../quota/index.ts'
import type { QuarantineReport } from '../quarantine/index.ts'
import type { PeerLoad, PrefixPlacement } from '../routing/index.ts'
import type { ViewDelta } from '../store-view/index.ts'

/** The activity of one node, or the totals of several nodes. */
export interface Activity {
  /** Tokens or requests admitted since the node started, by team. */
  quotaUsage: Map<TeamId, QuotaUsage>
  loads: Map<BackendId, PeerLoad>
  /** Prompt prefixes recently sent to backend servers. */
  prefixes: PrefixPlacement[]
  /** Backend servers that nodes find unreachable or silent. */
  suspects: ReadonlyMap<BackendId, SuspectCounts>
  /** Backend servers that said to a node that they are about to leave, by id, with the start of their process if known. */
  leaving?: ReadonlyMap<BackendId, number | undefined> | undefined
  /** The levels of the sender's quota buckets; only for receivers that may not know them, and undefined while the sender itself doesn't. */
  quotaLevels?: ReadonlyMap<TeamId, QuotaLevels> | undefined
  /** Prompts that may crash backend servers. */
  prompts?: QuarantineReport | undefined
  /** Request limits that backend servers named. */
  limits?: LimitReport | undefined
  /** Measured speeds of backend servers; a part of them in each message. */
  speeds?: SpeedReport | undefined
}

/** What nodes say of a backend server that some of them suspect. */
export interface SuspectCounts {
  /** Number of nodes whose recent attempts could not reach it, or got no response. */
  suspecting: number
  /** Number of nodes that recently received something from it. */
  hearing: number
}

/** One node's report about itself. */
export interface NodeReport extends Activity {
  node: NodeId
  /** Id of one start of the node's process; counters start at zero with it. */
  bootId: string
  sequence: number
  /** Whether the node is about to stop. */
  isDraining: boolean
  /** Whether the receiver must respond with a digest. */
  wantsDigest: boolean
  /** The collector whose totals the node uses; only that one includes them in its digest. Undefined in reports of earlier versions. */
  digestSource: NodeId | undefined
  /** Revision of the key-value service up to which the node knows the content. */
  revision: number
  /** Number of requests started, by usage window and team. */
  usage: Map<number, Map<TeamId, number>>
  /** Work sent to backend servers since the node started, by service, in milliseconds of one backend server's time. */
  workMs: Map<string, number>
  /** What collectors granted to the node from teams' quotas, which its quota usage contains; undefined in reports of earlier versions. */
  quotaGrants?: QuotaGrants | undefined
  /** Outcomes of attempts by version, for the evaluation of version moves; opaque here. */
  evidence: unknown
}

/** A collector's response to a report. */
export interface NodeDigest {
  /** The collector. */
  node: NodeId
  bootId: string
  isDraining: boolean
  /** Whether the collector responds to quota requests; those of earlier versions don't. */
  decidesQuotas: boolean
  /** Number of nodes in the totals, with the collector and without the receiver. */
  nodes: number
  /** The total activity of all nodes except the one that reported; undefined for a node that uses another collector's totals. */
  activity: Activity | undefined
  /** Changes at the key-value service since the reported revision. */
  delta: ViewDelta
}

/** A node with the properties by which collectors are chosen. */
export interface RankedNode {
  node: NodeId
  /** Bandwidth of the node's network link in Mbit/s. */
  linkMbps: number
}

/** The addresses of a node. */
export interface NodeAddress extends RankedNode {
  host: string
  /** UDP port for reports. */
  reportPort: number
  /** TCP port that serves the node's view of the key-value service. */
  viewPort: number
  /** Nodes of earlier releases don't tell it. */
  domain?: DomainId | undefined
}
