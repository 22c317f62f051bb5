/**
 * Knows which nodes are stopping, and tells the callers that a stopping node
 * refuses when to return. The load balancer keeps callers in their failure domain
 * until all of its nodes are out of rotation, so a caller that returns earlier may
 * only reach another node that refuses it.
 */
import type { NodeId } from '../ids/index.ts'
import type { NodeStops, NodeStopsOptions } from './types.ts'

export type * from './types.ts'

/** Retry time while another node of the failure domain serves, or nothing is known of the others. */
const shortRetryMs = 100

interface Stop {
  bootId: string
  /** Monotonic time of the first report of the stop, or of this node's own signal. */
  beganAtMs: number
}

/** Creates the knowledge of stops; nodes that were not heard of are neither stopping nor serving. */
export function createNodeStops ({ clock, log, domain, peers, reportingNodes, getsAllReports, downtimeMs, deregistrationMs }: NodeStopsOptions): NodeStops {
  const stops = new Map<NodeId, Stop>()
  let ownStopAtMs: number | undefined

  function onReport ({ node, bootId, isDraining }: { node: NodeId, bootId: string, isDraining: boolean }): void {
    const known = stops.get(node)
    if (!isDraining) {
      if (known !== undefined && stops.delete(node)) log('nodeServesAgain', { peer: node, life: bootId, stoppedForMs: Math.round(clock.monotonicMs() - known.beganAtMs) })
    } else if (known?.bootId !== bootId) {
      forgetDeparted()
      stops.set(node, { bootId, beganAtMs: clock.monotonicMs() })
      log('nodeStopHeard', { peer: node, life: bootId })
    }
  }

  /** Keeps the memory bounded by the number of registered nodes. */
  function forgetDeparted (): void {
    const registered = new Set(peers().map(({ node }) => node))
    for (const node of stops.keys()) if (!registered.has(node)) stops.delete(node)
  }

  /** Begin of the stops of these nodes that may be over next; one that never returned is left out. */
  function stopTimesOf (nodes: readonly NodeId[]): number[] {
    const nowMs = clock.monotonicMs()
    return nodes.flatMap(node => stops.get(node)?.beganAtMs ?? []).filter(beganAtMs => beganAtMs + downtimeMs > nowMs)
  }

  function retryAfterMs (): number {
    const nowMs = clock.monotonicMs()
    if (ownStopAtMs === undefined || !getsAllReports()) return shortRetryMs
    const reporting = new Set(reportingNodes())
    const serves = ({ node }: { node: NodeId }): boolean => reporting.has(node) && !stops.has(node)
    const known = peers()
    if (known.length === 0) return shortRetryMs
    // A node that doesn't tell its failure domain may be in this one.
    const inDomain = known.filter(peer => (peer.domain ?? domain) === domain)
    if (inDomain.some(serves)) return shortRetryMs
    const elsewhere = known.filter(peer => !inDomain.includes(peer))
    const domainStops = [ownStopAtMs, ...stopTimesOf(inDomain.map(({ node }) => node))]
    if (elsewhere.some(serves)) {
      const outOfRotationAtMs = Math.max(...domainStops) + deregistrationMs
      return Math.max(shortRetryMs, Math.min(outOfRotationAtMs, Math.min(...domainStops) + downtimeMs) - nowMs)
    }
    return Math.max(shortRetryMs, Math.min(...domainStops, ...stopTimesOf(elsewhere.map(({ node }) => node))) + downtimeMs - nowMs)
  }

  return { onReport, onOwnStop: requestedAtMs => { ownStopAtMs ??= requestedAtMs }, retryAfterMs }
}
