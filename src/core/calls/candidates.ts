/**
 * Which nodes should own a shard: the live nodes in the order of their
 * rendezvous hashes, the same on all nodes that see the same live nodes.
 */
import { createHash } from 'node:crypto'
import type { NodeId } from '../ids/index.ts'
import type { Membership } from '../peers/types.ts'

const maxCandidates = 4

/** The candidates of each shard, as the membership stands. */
export interface Candidates {
  /** The first few nodes that should own the shard, best first. */
  of: (shard: number) => NodeId[]
  close: () => void
}

function weightOf (shard: number, node: NodeId): string {
  return createHash('sha256').update(`${shard}/${node}`).digest('hex')
}

/** Highest random weight (rendezvous) order of the nodes for a shard. */
export function rendezvousOrder (shard: number, nodes: NodeId[]): NodeId[] {
  return nodes
    .map(node => ({ node, weight: weightOf(shard, node) }))
    .sort((a, b) => (a.weight < b.weight ? 1 : -1))
    .map(({ node }) => node)
}

/** Follows the membership; orders are worked out once after each change. */
export function followCandidates (membership: Membership): Candidates {
  const known = new Map<number, NodeId[]>()
  const stop = membership.onChange(() => known.clear())

  function of (shard: number): NodeId[] {
    const cached = known.get(shard)
    if (cached !== undefined) return cached
    const nodes = [membership.self.node, ...membership.peers().map(peer => peer.node)]
    const order = rendezvousOrder(shard, nodes).slice(0, maxCandidates)
    known.set(shard, order)
    return order
  }

  return { of, close: stop }
}
