/** Types of the planned stops of nodes. */
import type { Clock } from '../clock/index.ts'
import type { DomainId, NodeId } from '../ids/index.ts'
import type { Log } from '../log/index.ts'

/** A node and its failure domain; nodes of an earlier release don't tell theirs. */
export interface NodeInDomain {
  node: NodeId
  domain?: DomainId | undefined
}

/** Options of `createNodeStops`. */
export interface NodeStopsOptions {
  clock: Clock
  log: Log
  /** Failure domain of this node. */
  domain: DomainId
  /** The other registered nodes. */
  peers: () => readonly NodeInDomain[]
  /** The nodes whose reports have arrived recently. */
  reportingNodes: () => readonly NodeId[]
  /** Whether this node gets the reports of all others, and so knows which of them serve. */
  getsAllReports: () => boolean
  /** Time from the request to stop a node until it serves again, at most, if it is started again at once. */
  downtimeMs: number
  /** Time from that request until the load balancer sends the node no new connections, at most. */
  deregistrationMs: number
}

/** The planned stops of this node and the others. */
export interface NodeStops {
  /** Called with each report of another node. */
  onReport: (report: { node: NodeId, bootId: string, isDraining: boolean }) => void
  /** Called when this node begins to stop. Monotonic time. */
  onOwnStop: (requestedAtMs: number) => void
  /** Time after which a caller that this node refuses, because it stops, will find a node that serves. */
  retryAfterMs: () => number
}
