/**
 * Hand-over of open drafts between nodes. A node that is leaving pushes its drafts
 * to peers, preferably in other failure domains. The node that a caller reconnects to pulls
 * the caller's draft from its peers. Once another node may have a copy of a draft, this node sends
 * nothing more to callers, so that two nodes never continue one answer in different ways.
 */
import type { Clock } from '../clock/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { IdempotencyKey, NodeId, TeamId } from '../ids/index.ts'
import type { Membership, PeerAddress, PeerNetwork } from '../peers/types.ts'
import { rankNodes } from '../membership/index.ts'
import { isErrorOf } from '../errors/index.ts'
import { AttemptInterruption, runningAttemptOf } from './attempt-draft.ts'
import { fromSnapshot, toSnapshot } from './draft.ts'
import type { LiveDraft } from './draft.ts'
import type { DraftTable } from './table.ts'
import type { DraftSnapshot } from './types.ts'

/** Largest number of peers that are asked for a draft, or to which a draft is offered. */
const maxPeers = 4
/** Timeout of a peer's response. */
const peerTimeoutMs = 1_500

/** Dependencies of hand-overs. */
export interface HandOverOptions {
  clock: Clock
  log: Log
  metrics: Metrics
  network: PeerNetwork
  membership: Membership
  table: DraftTable
  /** Starts to work on a draft that was adopted from a peer. */
  start: (draft: LiveDraft) => void
  /** Whether this node is leaving and adopts no drafts. */
  isLeaving: () => boolean
}

/** Identifies a draft and where to look for it first. */
export interface DraftLocation {
  team: TeamId
  key: IdempotencyKey
  /** Node that admitted the request according to its id. */
  admittingNode: NodeId | undefined
}

/** The hand-over functions of one node. */
export interface HandOver {
  /** Hands a draft to a peer; resolves to whether a peer has confirmed it or the draft has ended. */
  push: (draft: LiveDraft) => Promise<boolean>
  /** Fetches a draft from the peers that may have it; undefined when none does. */
  pull: (location: DraftLocation) => Promise<LiveDraft | undefined>
}

/** Registers the message handlers for hand-overs. */
export function createHandOver (options: HandOverOptions): HandOver {
  const { clock, membership, network, table } = options

  network.handle('drafts/adopt', (_from, body) => {
    if (options.isLeaving()) return { adopted: false }
    adopt(body as DraftSnapshot)
    return { adopted: true }
  })

  network.handle('drafts/release', (from, body) => {
    const { team, key } = body as { team: TeamId, key: IdempotencyKey }
    const draft = table.find(team, key)
    if (draft === undefined) return { snapshot: undefined }
    detach(draft, from)
    return { snapshot: toSnapshot(draft) }
  })

  /** Adopts a draft. Of two copies, the one with the higher holder epoch wins, because it was handed over more often. */
  function adopt (snapshot: DraftSnapshot): LiveDraft {
    const existing = table.find(snapshot.request.team, snapshot.request.key)
    if (existing !== undefined && existing.holderEpoch >= snapshot.holderEpoch) return existing
    if (existing !== undefined) detach(existing, membership.self.node)
    const draft = fromSnapshot(snapshot)
    table.add(draft)
    options.start(draft)
    options.log('draftAdopted', { request: draft.request.request, events: draft.raws.length })
    return draft
  }

  async function push (draft: LiveDraft): Promise<boolean> {
    for (const peer of rankPeers(draft.request.key, true)) {
      if (draft.end !== undefined) return true
      detach(draft, peer.node)
      const response = await network.request(peer, 'drafts/adopt', toSnapshot(draft), clock.wallMs() + peerTimeoutMs)
      if (response.isOk && (response.value as { adopted: boolean }).adopted) return true
      // The next peer may be tried only if this one certainly hasn't adopted the draft.
      if (response.isErr && !isErrorOf(response.error, 'PeerUnreachable')) return false
    }
    return false
  }

  async function pull (location: DraftLocation): Promise<LiveDraft | undefined> {
    const peers = [...new Set([...admittingPeer(location.admittingNode), ...rankPeers(location.key, false)])]
    const deadlineAtMs = clock.wallMs() + peerTimeoutMs
    const body = { team: location.team, key: location.key }
    const responses = await Promise.all(peers.map(peer => network.request(peer, 'drafts/release', body, deadlineAtMs)))
    const snapshots = responses
      .filter(response => response.isOk)
      .map(response => (response.value as { snapshot: DraftSnapshot | undefined }).snapshot)
      .filter(snapshot => snapshot !== undefined)
    const newest = snapshots.sort((a, b) => b.holderEpoch - a.holderEpoch)[0]
    if (newest === undefined) return undefined
    const draft = adopt(newest)
    // If this node began to leave meanwhile, it has already handed its drafts over, so this one is pushed separately.
    if (options.isLeaving()) await push(draft)
    return draft
  }

  function admittingPeer (node: NodeId | undefined): PeerAddress[] {
    const address = node === undefined ? undefined : membership.find(node)
    return address === undefined ? [] : [address]
  }

  function rankPeers (key: IdempotencyKey, preferOtherDomains: boolean): PeerAddress[] {
    const ranked = rankNodes([...membership.peers()], key)
    const { domain } = membership.self
    // A whole failure domain may fail at once, so peers in other domains come first.
    const ordered = preferOtherDomains
      ? [...ranked.filter(peer => peer.domain !== domain), ...ranked.filter(peer => peer.domain === domain)]
      : ranked
    return ordered.slice(0, maxPeers)
  }

  return { push, pull }
}

/** Stops this node's work on a draft without cancelling the attempt at the engine. */
function detach (draft: LiveDraft, to: NodeId): void {
  if (draft.handedOverTo !== undefined) return
  draft.handedOverTo = to
  runningAttemptOf(draft)?.interrupt('handed-over')
  draft.abortController.abort(new AttemptInterruption('handed-over'))
  draft.notifyChange()
}
