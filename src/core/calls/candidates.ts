/**
 * Candidate owners of a shard: the live nodes in rendezvous hash order. Nodes that
 * see the same live nodes compute the same order.
 */
import { createHash } from 'node:crypto'
import type { NodeId } from '../ids/index.ts'
import type { Membership } from '../peers/types.ts'

const maxCandidates = 4

/** The candidate owners of each shard under the current membership. */
export interface Candidates {
  /** Up to four candidates for a shard, preferred owner first. */
  of: (shard: number) => NodeId[]
  close: () => void
}

function weightOf (shard: number, node: NodeId): string {
  return createHash('sha256').update(`${shard}/${node}`).digest('hex')
}

/** Sorts nodes by highest random weight (rendezvous hashing) for a shard. */
export function rendezvousOrder (shard: number, nodes: NodeId[]): NodeId[] {
  return nodes
    .map(node => ({ node, weight: weightOf(shard, node) }))
    .sort((a, b) => (a.weight < b.weight ? 1 : -1))
    .map(({ node }) => node)
}

/** Creates the candidate lists; each is computed once and cached until the membership changes. */
export function createCandidates (membership: Membership): Candidates {
  const cache = new Map<number, NodeId[]>()
  const unsubscribe = membership.onChange(() => cache.clear())

  function of (shard: number): NodeId[] {
    const cached = cache.get(shard)
    if (cached !== undefined) return cached
    const nodes = [membership.self.node, ...membership.peers().map(peer => peer.node)]
    const order = rendezvousOrder(shard, nodes).slice(0, maxCandidates)
    cache.set(shard, order)
    return order
  }

  return { of, close: unsubscribe }
}
