/**
 * Asks the other nodes whether one of them has taken a shard, for use while the
 * key-value service is unavailable. Ownership is confirmed only if every node
 * responds that is live according to this node or to any node that responds, and
 * no node has left the membership recently.
 */
import { ownershipQueryKind } from './messages.ts'
import type { Clock } from '../clock/index.ts'
import type { NodeId } from '../ids/index.ts'
import type { Membership, PeerAddress, PeerNetwork } from '../peers/types.ts'
import type { OwnershipQueryResponse, OwnershipQueryMessage } from './messages.ts'

/** Maximum number of nodes to ask; in a larger cluster ownership is never confirmed. */
const maxConfirmingPeers = 64
/** Time for which a node that left the membership may still be live; confirmation fails meanwhile. */
const departedNodeMemoryMs = 10 * 60_000
const confirmationTimeoutMs = 500

/** Confirmation by the other nodes that this node still owns a shard. */
export interface PeerConfirmation {
  /** Whether every node responds that it knows of no owner in a later epoch. */
  confirm: (shard: number, epoch: number) => Promise<boolean>
  close: () => void
}

/** Creates the peer confirmation of one node and starts to track nodes that leave the membership. */
export function createPeerConfirmation (membership: Membership, network: PeerNetwork, clock: Clock): PeerConfirmation {
  const leftAtMs = new Map<NodeId, number>()
  let present = new Set(membership.peers().map(peer => peer.node))

  function trackDepartures (): void {
    const nowMs = clock.monotonicMs()
    const next = new Set(membership.peers().map(peer => peer.node))
    for (const node of present) if (!next.has(node)) leftAtMs.set(node, nowMs)
    for (const node of next) leftAtMs.delete(node)
    present = next
  }

  function hasRecentDeparture (): boolean {
    const sinceMs = clock.monotonicMs() - departedNodeMemoryMs
    for (const [node, atMs] of leftAtMs) if (atMs < sinceMs) leftAtMs.delete(node)
    return leftAtMs.size > 0
  }

  async function ask (to: PeerAddress, message: OwnershipQueryMessage): Promise<OwnershipQueryResponse | undefined> {
    const response = await network.request(to, ownershipQueryKind, message, clock.wallMs() + confirmationTimeoutMs)
    return response.isOk ? response.value as OwnershipQueryResponse : undefined
  }

  async function confirm (shard: number, epoch: number): Promise<boolean> {
    const peers = membership.peers()
    if (peers.length > maxConfirmingPeers || hasRecentDeparture()) return false
    const answers = await Promise.all(peers.map(peer => ask(peer, { shard })))
    const asked = new Set<string>([membership.self.node, ...peers.map(peer => peer.node)])
    return answers.every(answer => answer !== undefined && answer.epoch <= epoch && answer.nodes.every(node => asked.has(node)))
  }

  const unsubscribe = membership.onChange(trackDepartures)
  return { confirm, close: unsubscribe }
}
