/** Who watches the service for a failure domain, and who pushes to whom in it. */
import { rankNodes } from '../../membership/index.ts'
import type { Membership, PeerAddress } from '../../peers/types.ts'
import type { FeedBounds } from './bounds.ts'

/** The order of the nodes of this node's domain. */
export interface Topology {
  /** This node's place among the watchers, which is also the tree it is the root of; -1 when it doesn't watch. */
  watcherIndex: () => number
  /** The nodes that watch for this node's domain. */
  watchers: () => readonly PeerAddress[]
  /** The nodes that the given one pushes to in a tree. */
  childrenOf: (node: PeerAddress, tree: number) => PeerAddress[]
  close: () => void
}

/** Follows the membership. */
export function createTopology (prefix: string, membership: Membership, bounds: Pick<FeedBounds, 'watchersPerDomain' | 'fanOut'>): Topology {
  const { self } = membership
  let watchers: PeerAddress[] = []
  let trees: PeerAddress[][] = []

  function treeOf (root: PeerAddress, nodes: PeerAddress[], tree: number): PeerAddress[] {
    const others = nodes.filter(address => address.node !== root.node)
    return [root, ...rankNodes(others, `${prefix}/tree/${tree}`)]
  }

  function rank (): void {
    const nodes = [self, ...membership.peers().filter(address => address.domain === self.domain)]
    watchers = rankNodes(nodes, `${prefix}/watch`).slice(0, bounds.watchersPerDomain)
    trees = watchers.map((root, tree) => treeOf(root, nodes, tree))
  }

  function childrenOf (node: PeerAddress, tree: number): PeerAddress[] {
    const order = trees[tree] ?? []
    const index = order.findIndex(address => address.node === node.node)
    if (index === -1) return []
    return order.slice(index * bounds.fanOut + 1, index * bounds.fanOut + 1 + bounds.fanOut)
  }

  rank()
  return {
    watcherIndex: () => watchers.findIndex(address => address.node === self.node),
    watchers: () => watchers,
    childrenOf,
    close: membership.onChange(rank)
  }
}
