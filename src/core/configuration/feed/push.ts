/**
 * Pushes changes to the nodes of a failure domain. Each watcher is the root of
 * its own tree, so a slow or dead inner node of one tree doesn't delay the nodes
 * below it, which also receive the change through the other tree.
 */
import type { Clock } from '../../clock/index.ts'
import type { Metrics } from '../../metrics/index.ts'
import type { PeerAddress, PeerNetwork } from '../../peers/types.ts'
import type { FeedBounds } from './bounds.ts'
import type { FeedTable } from './table.ts'
import type { Topology } from './topology.ts'
import type { FeedDelta, FeedDigest } from './types.ts'

/** Message that carries a push from node to node. `changes` is undefined when they exceed `maxPushBytes`; the receiver then pulls them. */
export interface FeedPush {
  tree: number
  /** State that the changes start from. A node with the same hash but an older revision has the same content. */
  from: FeedDigest
  toRevision: number
  changes: FeedDelta['changes'] | undefined
}

/** Options of a pusher. */
export interface PusherOptions {
  prefix: string
  self: PeerAddress
  table: FeedTable
  topology: Topology
  network: PeerNetwork
  clock: Clock
  metrics: Metrics
  bounds: FeedBounds
}

/** Sends and forwards the pushes of one feed. */
export interface Pusher {
  /** Pushes the changes since the last push of a tree; called by the tree's root. */
  pushFromRoot: (tree: number) => void
  /** Forwards another node's push to the children of this node, once per tree and revision. */
  forward: (push: FeedPush) => void
}

/** Creates the pusher of one node. */
export function createPusher (options: PusherOptions): Pusher {
  const { prefix, self, table, topology, network, clock, metrics, bounds } = options
  const forwardedRevisions = new Map<number, number>()
  const lastRootDigests = new Map<number, FeedDigest>()

  async function pushTo (child: PeerAddress, push: FeedPush): Promise<void> {
    const response = await network.request(child, `${prefix}push`, push, clock.wallMs() + bounds.pushTimeoutMs)
    if (response.isOk) return
    metrics.count('feed_push_failures_total', { prefix })
    pushToChildren(child, push)
  }

  function pushToChildren (node: PeerAddress, push: FeedPush): void {
    for (const child of topology.childrenOf(node, push.tree)) pushTo(child, push)
  }

  function forward (push: FeedPush): void {
    if (push.toRevision <= (forwardedRevisions.get(push.tree) ?? 0)) return
    forwardedRevisions.set(push.tree, push.toRevision)
    pushToChildren(self, push)
  }

  function pushFromRoot (tree: number): void {
    const now = table.digest()
    const from = lastRootDigests.get(tree) ?? now
    const delta = table.deltaSince(from.revision)
    const sizeBytes = delta?.changes.reduce((sum, { key, value }) => sum + key.length + (value?.length ?? 0), 0) ?? Infinity
    const changes = sizeBytes <= bounds.maxPushBytes ? delta?.changes : undefined
    lastRootDigests.set(tree, now)
    // A new revision without a change under the prefix isn't pushed: nodes learn it from the periodic comparison.
    if (from.hash !== now.hash) forward({ tree, from, toRevision: now.revision, changes })
  }

  return { pushFromRoot, forward }
}
