/**
 * Selects the watchers of a failure domain and builds the push trees, both by
 * rendezvous hashing over the members of the domain.
 */
import { rankNodes } from '../../membership/index.ts'
import type { Membership, PeerAddress } from '../../peers/types.ts'
import type { FeedBounds } from './bounds.ts'

/** Watchers and push trees of this node's failure domain. */
export interface Topology {
  /** Index of this node among the watchers, which is also the index of the tree that it is the root of; -1 when it isn't a watcher. */
  watcherIndex: () => number
  /** The watchers of this node's failure domain. */
  watchers: () => readonly PeerAddress[]
  /** The children of a node in a tree, to which it pushes. */
  childrenOf: (node: PeerAddress, tree: number) => PeerAddress[]
  close: () => void
}

/** Creates the topology and recomputes it on each change of the membership until `close`. */
export function createTopology (prefix: string, membership: Membership, bounds: Pick<FeedBounds, 'watchersPerDomain' | 'fanOut'>): Topology {
  const { self } = membership
  let watchers: PeerAddress[] = []
  let trees: PeerAddress[][] = []

  function buildTree (root: PeerAddress, nodes: PeerAddress[], tree: number): PeerAddress[] {
    const others = nodes.filter(address => address.node !== root.node)
    return [root, ...rankNodes(others, `${prefix}/tree/${tree}`)]
  }

  function recompute (): void {
    const nodes = [self, ...membership.peers().filter(address => address.domain === self.domain)]
    watchers = rankNodes(nodes, `${prefix}/watch`).slice(0, bounds.watchersPerDomain)
    trees = watchers.map((root, tree) => buildTree(root, nodes, tree))
  }

  function childrenOf (node: PeerAddress, tree: number): PeerAddress[] {
    const order = trees[tree] ?? []
    const index = order.findIndex(address => address.node === node.node)
    if (index === -1) return []
    return order.slice(index * bounds.fanOut + 1, index * bounds.fanOut + 1 + bounds.fanOut)
  }

  recompute()
  return {
    watcherIndex: () => watchers.findIndex(address => address.node === self.node),
    watchers: () => watchers,
    childrenOf,
    close: membership.onChange(recompute)
  }
}
