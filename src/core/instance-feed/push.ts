/** Pushes changes from a watcher to the nodes of its failure domain, over the tree that the watcher is the root of. */
import type { Clock } from '../clock/index.ts'
import type { Topology } from '../configuration/feed/topology.ts'
import type { NodeId } from '../ids/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { PeerAddress, PeerNetwork } from '../peers/types.ts'
import type { InstanceFeedBounds } from './bounds.ts'
import type { InstanceFeedEntry } from './types.ts'

/** Message that carries a push from node to node. */
export interface ChangesPush {
  root: NodeId
  tree: number
  /** Sequence number of the push at its root. It starts at the wall time in milliseconds, so that it also grows across restarts of the root. */
  sequence: number
  entries: InstanceFeedEntry[]
}

/** Options of a pusher. */
export interface InstancePusherOptions {
  self: PeerAddress
  topology: Topology
  network: PeerNetwork
  clock: Clock
  metrics: Metrics
  bounds: InstanceFeedBounds
  /** Called with the entries of another node's push. */
  receive: (entries: InstanceFeedEntry[]) => void
}

/** Registers the handler that receives and forwards pushes. Returns the function that pushes entries as the root of this node's tree. */
export function createInstancePusher (options: InstancePusherOptions): (entries: InstanceFeedEntry[]) => void {
  const { self, topology, network, clock, metrics, bounds } = options
  const lastSequences = new Map<NodeId, number>()
  let sequence = clock.wallMs()

  async function pushTo (child: PeerAddress, push: ChangesPush): Promise<void> {
    const response = await network.request(child, 'backends/changes', push, clock.wallMs() + bounds.pushTimeoutMs)
    if (response.isOk) return
    metrics.count('instance_feed_push_failures_total')
    forward(child, push)
  }

  function forward (node: PeerAddress, push: ChangesPush): void {
    for (const child of topology.childrenOf(node, push.tree)) pushTo(child, push)
  }

  network.handle('backends/changes', (_from, body) => {
    const push = body as ChangesPush
    options.receive(push.entries)
    if (push.sequence > (lastSequences.get(push.root) ?? 0)) {
      lastSequences.set(push.root, push.sequence)
      forward(self, push)
    }
    return true
  })

  return entries => {
    const tree = topology.watcherIndex()
    if (tree === -1) return
    for (let start = 0; start < entries.length; start += bounds.maxEntriesPerMessage) {
      sequence += 1
      forward(self, { root: self.node, tree, sequence, entries: entries.slice(start, start + bounds.maxEntriesPerMessage) })
    }
  }
}
