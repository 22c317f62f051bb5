/** What a node knows of the stops of others by their reports; with the code of the product. */
import { toId } from '../../../src/core/ids/index.ts'
import { createSilentLog } from '../../../src/core/log/index.ts'
import { createNodeStops } from '../../../src/core/node-stops/index.ts'
import type { Clock } from '../../../src/core/clock/index.ts'
import type { DomainId, NodeId } from '../../../src/core/ids/index.ts'
import type { NodeStops } from '../../../src/core/node-stops/index.ts'
import type { EntryNode } from './entry-node.ts'

/** As in the product. */
const downtimeMs = 8_500
const deregistrationMs = 2_700
/** Larger clusters have collectors, so that not every node gets the reports of all. */
const maxAllPairsNodes = 16

const idOf = ({ index }: EntryNode): NodeId => toId<NodeId>(`node-${index}`)
const domainOf = (domain: number): DomainId => toId<DomainId>(`domain-${domain}`)

/** Options of `createReportedStops`. */
interface ReportedStopsOptions {
  domain: number
  others: () => readonly EntryNode[]
  clock: Clock
  /** Whether reports of the node arrive. */
  isReporting: (other: EntryNode) => boolean
}

/** Creates what a node that starts knows. */
export function createReportedStops ({ domain, others, clock, isReporting }: ReportedStopsOptions): NodeStops {
  return createNodeStops({
    clock,
    log: createSilentLog(),
    domain: domainOf(domain),
    peers: () => others().map(other => ({ node: idOf(other), domain: domainOf(other.domain) })),
    reportingNodes: () => others().filter(isReporting).map(idOf),
    getsAllReports: () => others().length < maxAllPairsNodes,
    downtimeMs,
    deregistrationMs
  })
}

/** Gives a node a report of another one. */
export function deliverReport (to: EntryNode, from: EntryNode, isDraining: boolean): void {
  to.stops.onReport({ node: idOf(from), bootId: String(from.life), isDraining })
}
