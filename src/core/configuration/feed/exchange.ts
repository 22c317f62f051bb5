/** Comparison with peers: revision and hash, then what is missing. */
import { sample } from '../../membership/index.ts'
import type { Membership, PeerAddress, PeerNetwork } from '../../peers/types.ts'
import type { Contact } from './contact.ts'
import type { FeedDelta, FeedDigest, FeedSnapshot } from './types.ts'
import type { FeedSideOptions } from './side-options.ts'

/** Options of an exchange. */
export interface ExchangeOptions extends FeedSideOptions {
  contact: Contact
  network: PeerNetwork
  membership: Membership
}

/** The comparing side of one feed. */
export interface Exchange {
  /** Compares with a random peer, trying a few; false when none could be relied on. */
  compareWithPeers: () => Promise<boolean>
  /** Fetches what this node lacks from a peer; true when it has it afterwards. */
  pullFrom: (peer: PeerAddress, wantedRevision: number) => Promise<boolean>
}

interface DigestAnswer extends FeedDigest {
  known: boolean
}

type PullAnswer = { delta: FeedDelta } | { snapshot: FeedSnapshot }

/** The exchange of one node, with the handlers of its messages. */
export function createExchange (options: ExchangeOptions): Exchange {
  const { prefix, table, contact, network, membership, clock, bounds, metrics } = options
  const pulls = new Map<string, Promise<boolean>>()

  async function pull (peer: PeerAddress, wantedRevision: number): Promise<boolean> {
    const answer = await network.request(peer, `${prefix}pull`, table.revision(), clock.wallMs() + bounds.serviceTimeoutMs)
    metrics.count('feed_pulls_total', { prefix, result: answer.isOk ? 'answered' : 'failed' })
    if (answer.isErr) return false
    const pulled = answer.value as PullAnswer
    const changed = 'delta' in pulled ? table.apply(pulled.delta) === 'applied' : table.install(pulled.snapshot)
    if (changed) options.taken('peer')
    return table.revision() >= wantedRevision
  }

  function pullFrom (peer: PeerAddress, wantedRevision: number): Promise<boolean> {
    const running = pulls.get(peer.node)
    if (running !== undefined) return running
    const started = pull(peer, wantedRevision).finally(() => pulls.delete(peer.node))
    pulls.set(peer.node, started)
    return started
  }

  /** Brings this node up to a peer's digest. */
  async function catchUp (peer: PeerAddress, theirs: FeedDigest): Promise<boolean> {
    options.heard(theirs.revision)
    const mine = table.digest()
    if (theirs.revision === mine.revision && theirs.hash !== mine.hash) {
      metrics.count('feed_divergences_total', { prefix })
      options.log('feedDiverged', { prefix, peer: peer.node, revision: mine.revision })
    }
    if (theirs.revision <= mine.revision) return true
    table.advance(theirs)
    return table.revision() >= theirs.revision || await pullFrom(peer, theirs.revision)
  }

  async function compareWith (peer: PeerAddress): Promise<boolean> {
    const answer = await network.request(peer, `${prefix}digest`, table.digest(), clock.wallMs() + bounds.exchangeTimeoutMs)
    if (answer.isErr) return false
    const theirs = answer.value as DigestAnswer
    return theirs.revision > 0 && await catchUp(peer, theirs) && theirs.known
  }

  async function compareWithPeers (): Promise<boolean> {
    const peers = sample(membership.peers(), bounds.exchangePeers, options.random)
    for (const peer of peers) {
      if (await compareWith(peer)) return true
    }
    return false
  }

  network.handle(`${prefix}digest`, (from, body) => {
    const peer = membership.find(from)
    const theirs = body as FeedDigest
    const mine = table.digest()
    if (peer !== undefined && theirs.revision > mine.revision) catchUp(peer, theirs)
    return { ...mine, known: contact.isKnown() } satisfies DigestAnswer
  })
  network.handle(`${prefix}pull`, (_from, body): PullAnswer => {
    const delta = table.deltaSince(Number(body))
    if (delta !== undefined && Number(body) > 0) return { delta }
    return { snapshot: { revision: table.revision(), entries: table.entries() } }
  })

  return { compareWithPeers, pullFrom }
}
