/** Types of the report exchange. */
import type { LimitReport } from '../backend-limits/index.ts'
import type { Clock } from '../clock/index.ts'
import type { NodeId } from '../ids/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { QuotaDecider, QuotaDecision, QuotaRequest } from '../quota/index.ts'
import type { QuarantineReport } from '../quarantine/index.ts'
import type { ViewDelta } from '../store-view/index.ts'
import type { Activity, NodeAddress, NodeReport } from './types.ts'

/** Options of the report exchange. */
export interface NodeReportsOptions {
  host: string
  port: number
  node: NodeId
  /** Bandwidth of this node's network link in Mbit/s. */
  linkMbps: number
  clock: Clock
  log: Log
  metrics: Metrics
  /** Maps a text to a number in [0, 1), equal on every node. */
  draw: (text: string) => number
  /** Age of a node's content from which another one watches the key-value service in its place. */
  takeoverAgeMs: number
  /** Age of all other nodes' content from which this node watches the service itself. */
  maxPeerContentAgeMs: number
  /** The other registered nodes. */
  peers: () => NodeAddress[]
  /** The node whose duties need all reports. */
  dutyHolder: () => NodeId | undefined
  /** Collects the content of this node's report. */
  collectReport: () => Omit<NodeReport, 'node' | 'bootId' | 'sequence' | 'wantsDigest' | 'digestSource'>
  /** What a collector knows from all other nodes about prompts that may crash backend servers. */
  promptsFor: (node: NodeId) => QuarantineReport
  /** What a collector knows from all other nodes about the limits of backend servers, with the node's shares of them; a new receiver may not know any. */
  limitsFor: (node: NodeId, isNewReceiver: boolean) => LimitReport
  /** Called with each report of another node. */
  onReport: (report: NodeReport) => void
  /**
   * Called with the activity of one other node, or with a collector's totals of all
   * other nodes. With `isFirst` this node has no earlier activity of the source, so its
   * usage may have been counted from another source, or before this node started.
   */
  onActivity: (source: NodeId, bootId: string, activity: Activity, isFirst: boolean) => void
  /** Called when a source of activity stops reporting or is no longer used. */
  onSilent: (source: NodeId) => void
  /** The changes at the key-value service after a revision. */
  deltaAfter: (revision: number) => ViewDelta
  /** Called with the delta in each received digest. */
  onDelta: (delta: ViewDelta) => void
  /** Decides as a collector about another node's quota request. Without it, digests say that this node doesn't. */
  decideQuota?: (request: QuotaRequest) => QuotaDecision
  /** Called with a collector's response to a quota request. */
  onQuotaDecision?: (decision: QuotaDecision) => void
  /** Called with this node's own report before it is sent, unless all nodes report to each other. */
  onOwnReport?: (report: NodeReport) => void
  /** Id of this start of the node's process. */
  bootId: string
}

/** The report exchange of one node. */
export interface NodeReports {
  /** Binds the port and starts to send reports; rejects if the port can't be bound. */
  start: () => Promise<void>
  /** Nodes that report to this one. */
  reportingNodes: () => NodeId[]
  /** Number of other nodes whose activity is known here. */
  knownNodeCount: () => number
  /** Whether this node gets the reports of all others itself, and doesn't depend on a collector's digests. */
  getsAllReports: () => boolean
  /** Time after which what one node has found out is known to all others, despite the loss of one report. */
  evidenceDelayMs: () => number
  /** Number of other nodes whose activity is as recent as a lost report or two allow. */
  currentNodeCount: () => number
  /** The current reports of other nodes that don't use the digests of another collector. */
  ownReports: () => NodeReport[]
  /** The last report of a node, if it reported recently. */
  lastReport: (node: NodeId) => NodeReport | undefined
  /** The collectors to which this node reports. */
  collectors: () => NodeId[]
  /** Whether this node receives the reports of all reachable nodes. */
  isCollector: () => boolean
  /** Whether this node watches the key-value service for the others. */
  isWatcher: () => boolean
  /** Whether other nodes report changes at the key-value service, and their content is recent enough that this node needs no watch of its own. */
  hasPeerUpdates: () => boolean
  /** Whether nodes report to collectors, so that each learns of the others' activity late. */
  usesCollectors: () => boolean
  /** Mean age in ms of the other nodes' activity as this node knows it. */
  activityAgeMs: () => number
  /** Which node decides about quotas now. */
  quotaDecider: () => QuotaDecider
  /** Sends a quota request to the collector whose digests this node uses. */
  sendQuotaRequest: (request: QuotaRequest) => void
  /** Sends a report immediately to all nodes that get any, for example before the node stops. */
  sendReport: () => void
  /** Sends a report within some 20 ms instead of at the next interval. */
  sendSoon: () => void
  /** Ends the exchange; what was sent before still leaves. */
  close: () => void
}
