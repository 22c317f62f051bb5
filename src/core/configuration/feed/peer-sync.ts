/** Anti-entropy between peers: compares revision and hash, then pulls the missing changes. */
import { sample } from '../../membership/index.ts'
import type { Membership, PeerAddress, PeerNetwork } from '../../peers/types.ts'
import type { Freshness } from './freshness.ts'
import type { FeedDelta, FeedDigest, FeedSnapshot } from './types.ts'
import type { FeedComponentOptions } from './component-options.ts'

/** Options of a peer sync. */
export interface PeerSyncOptions extends FeedComponentOptions {
  freshness: Freshness
  network: PeerNetwork
  membership: Membership
}

/** Compares one feed's state with peers. */
export interface PeerSync {
  /** Compares with up to `maxPeersPerComparison` random peers until one confirms the state; false when none has reliable state. */
  compareWithPeers: () => Promise<boolean>
  /** Pulls missing changes from a peer; true when the table has reached the target revision afterwards. */
  pullFrom: (peer: PeerAddress, wantedRevision: number) => Promise<boolean>
}

interface DigestResponse extends FeedDigest {
  known: boolean
}

type PullResponse = { delta: FeedDelta } | { snapshot: FeedSnapshot }

/** Creates the peer sync of one node and registers the handlers of its messages. */
export function createPeerSync (options: PeerSyncOptions): PeerSync {
  const { prefix, table, freshness, network, membership, clock, bounds, metrics } = options
  const pulls = new Map<string, Promise<boolean>>()

  async function requestPull (peer: PeerAddress, targetRevision: number): Promise<boolean> {
    const response = await network.request(peer, `${prefix}pull`, table.revision(), clock.wallMs() + bounds.serviceTimeoutMs)
    metrics.count('feed_pulls_total', { prefix, result: response.isOk ? 'answered' : 'failed' })
    if (response.isErr) return false
    const pulled = response.value as PullResponse
    const changed = 'delta' in pulled ? table.applyDelta(pulled.delta) === 'applied' : table.installSnapshot(pulled.snapshot)
    if (changed) options.onStateChanged('peer')
    return table.revision() >= targetRevision
  }

  function pullFrom (peer: PeerAddress, targetRevision: number): Promise<boolean> {
    const pending = pulls.get(peer.node)
    if (pending !== undefined) return pending
    const newPull = requestPull(peer, targetRevision).finally(() => pulls.delete(peer.node))
    pulls.set(peer.node, newPull)
    return newPull
  }

  /** Brings this node up to a peer's revision, and reports a divergence: equal revisions with different content. */
  async function catchUp (peer: PeerAddress, remote: FeedDigest): Promise<boolean> {
    options.onRevisionSeen(remote.revision)
    const local = table.digest()
    if (remote.revision === local.revision && remote.hash !== local.hash) {
      metrics.count('feed_divergences_total', { prefix })
      options.log('feedDiverged', { prefix, peer: peer.node, revision: local.revision })
    }
    if (remote.revision <= local.revision) return true
    table.advanceRevision(remote)
    return table.revision() >= remote.revision || await pullFrom(peer, remote.revision)
  }

  async function compareWith (peer: PeerAddress): Promise<boolean> {
    const response = await network.request(peer, `${prefix}digest`, table.digest(), clock.wallMs() + bounds.compareTimeoutMs)
    if (response.isErr) return false
    const remote = response.value as DigestResponse
    return remote.revision > 0 && await catchUp(peer, remote) && remote.known
  }

  async function compareWithPeers (): Promise<boolean> {
    const peers = sample(membership.peers(), bounds.maxPeersPerComparison, options.random)
    for (const peer of peers) {
      if (await compareWith(peer)) return true
    }
    return false
  }

  network.handle(`${prefix}digest`, (from, body) => {
    const peer = membership.find(from)
    const remote = body as FeedDigest
    const local = table.digest()
    if (peer !== undefined && remote.revision > local.revision) catchUp(peer, remote)
    return { ...local, known: freshness.isReliable() } satisfies DigestResponse
  })
  network.handle(`${prefix}pull`, (_from, body): PullResponse => {
    const delta = table.deltaSince(Number(body))
    if (delta !== undefined && Number(body) > 0) return { delta }
    return { snapshot: { revision: table.revision(), entries: table.entries() } }
  })

  return { compareWithPeers, pullFrom }
}
