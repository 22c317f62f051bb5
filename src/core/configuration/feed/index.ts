/**
 * Replicates all keys under one prefix of the key-value service to every node
 * within seconds, with few calls to the service. Two nodes of each failure
 * domain watch the prefix and push changes to the other nodes of the domain
 * over one tree each. In addition, every node periodically compares its state
 * with a random peer (anti-entropy), which repairs lost pushes.
 */
import { defaultFeedBounds } from './bounds.ts'
import { createFreshness } from './freshness.ts'
import { createPeerSync } from './peer-sync.ts'
import { createPusher } from './push.ts'
import { createStoreSync } from './store-sync.ts'
import { createFeedTable } from './table.ts'
import { createTopology } from './topology.ts'
import type { Clock } from '../../clock/index.ts'
import type { Log } from '../../log/index.ts'
import type { Metrics } from '../../metrics/index.ts'
import type { NodeId } from '../../ids/index.ts'
import type { Membership, PeerAddress, PeerNetwork } from '../../peers/types.ts'
import type { KeyValueStore } from '../../platform/key-value/types.ts'
import type { FeedBounds } from './bounds.ts'
import type { FeedPush } from './push.ts'
import type { Feed, FeedStatus } from './types.ts'

export type * from './types.ts'
export type { FeedBounds } from './bounds.ts'
export { defaultFeedBounds } from './bounds.ts'

/** Options of a feed. */
export interface FeedOptions {
  /** Key prefix in the service, ending in a slash; also the prefix of the feed's message kinds between nodes. */
  prefix: string
  store: KeyValueStore
  network: PeerNetwork
  membership: Membership
  clock: Clock
  log: Log
  metrics: Metrics
  random?: () => number
  bounds?: Partial<FeedBounds>
}

/** Starts the feed of one node and registers its message handlers. Stop it with `close`. */
export function createFeed (options: FeedOptions): Feed {
  const { prefix, store, network, membership, clock, log, metrics } = options
  const bounds = { ...defaultFeedBounds, ...options.bounds }
  const random = options.random ?? Math.random
  const stop = new AbortController()
  const listeners = new Set<(keys: string[]) => void>()
  let heardRevision = 0
  let source: FeedStatus['source'] = 'none'

  const table = createFeedTable(keys => {
    for (const listener of listeners) listener(keys)
  })
  const freshness = createFreshness(clock, bounds.maxUnconfirmedMs)
  const topology = createTopology(prefix, membership, bounds)

  function onRevisionSeen (revision: number): void {
    heardRevision = Math.max(heardRevision, revision)
  }

  function onStateChanged (from: FeedStatus['source']): void {
    source = from
    metrics.setGauge('feed_revision', table.revision(), { prefix })
    metrics.count('feed_changes_total', { prefix, source: from })
  }

  const shared = { prefix, table, freshness, network, membership, clock, log, metrics, bounds, random, onRevisionSeen, onStateChanged }
  const peerSync = createPeerSync(shared)
  const storeSync = createStoreSync({ ...shared, store })
  const pusher = createPusher({ ...shared, self: membership.self, topology })

  function status (): FeedStatus {
    return {
      prefix,
      ...table.digest(),
      heardRevision,
      source,
      watching: topology.watcherIndex() !== -1,
      unconfirmedMs: freshness.unconfirmedMs()
    }
  }

  function receivePush (from: NodeId, push: FeedPush): void {
    onRevisionSeen(push.toRevision)
    const { from: base, toRevision, changes } = push
    table.advanceRevision(base)
    const outcome = changes === undefined ? 'gap' : table.applyDelta({ fromRevision: base.revision, toRevision, changes })
    const sender = membership.find(from)
    if (outcome === 'applied') onStateChanged('push')
    if (outcome === 'gap' && toRevision > table.revision() && sender !== undefined) peerSync.pullFrom(sender, toRevision)
    pusher.forward(push)
  }

  /** Compares the state with a peer, or reads it from the service when no peer has reliable state. */
  async function compareNow (): Promise<void> {
    const startedAtMs = clock.monotonicMs()
    const isConfirmed = await peerSync.compareWithPeers() || await storeSync.read()
    if (isConfirmed && table.revision() > 0) freshness.confirm(startedAtMs)
  }

  async function comparePeriodically (): Promise<void> {
    while (!stop.signal.aborted) {
      await compareNow()
      const intervalMs = freshness.readiness().ready ? bounds.compareIntervalMs : bounds.retryDelayMs / 2
      await clock.sleep(intervalMs * (0.75 + random() / 2), stop.signal)
    }
  }

  /** Detects pauses of this process, in a task of its own because a comparison may be waiting for its response. */
  async function detectPauses (): Promise<void> {
    while (!stop.signal.aborted) {
      freshness.recordTick()
      await clock.sleep(bounds.retryDelayMs, stop.signal)
    }
  }

  /** Watches the service as long as this node is one of its failure domain's watchers. */
  async function watchWhileWatcher (): Promise<void> {
    while (!stop.signal.aborted) {
      if (topology.watcherIndex() === -1) {
        await clock.sleep(bounds.retryDelayMs, stop.signal)
        continue
      }
      const roleLost = new AbortController()
      const stopListening = membership.onChange(() => {
        if (topology.watcherIndex() === -1) roleLost.abort()
      })
      const signal = AbortSignal.any([stop.signal, roleLost.signal])
      await storeSync.watch(signal, () => pusher.pushFromRoot(topology.watcherIndex()))
      stopListening()
    }
  }

  network.handle(`${prefix}push`, (from, body) => {
    receivePush(from, body as FeedPush)
    return true
  })
  network.handle(`${prefix}status`, () => status())
  const tasks = [comparePeriodically(), watchWhileWatcher(), detectPauses()]

  /** Requests a peer's status. Retries once, because the first request may find a dead connection and the request is idempotent. */
  async function statusOf (peer: PeerAddress, deadlineAtMs: number): Promise<FeedStatus | undefined> {
    for (let attempt = 0; attempt < 2 && clock.wallMs() < deadlineAtMs; attempt += 1) {
      const response = await network.request(peer, `${prefix}status`, undefined, deadlineAtMs)
      if (response.isOk) return response.value as FeedStatus
    }
    return undefined
  }

  async function statusOfPeers (deadlineAtMs: number): Promise<Map<NodeId, FeedStatus>> {
    const statuses = new Map<NodeId, FeedStatus>()
    await Promise.all(membership.peers().map(async peer => {
      const found = await statusOf(peer, deadlineAtMs)
      if (found !== undefined) statuses.set(peer.node, found)
    }))
    return statuses
  }

  return {
    get: table.get,
    entries: table.entries,
    revision: table.revision,
    onChange: listener => {
      listeners.add(listener)
      return () => listeners.delete(listener)
    },
    readiness: freshness.readiness,
    status,
    statusOfPeers,
    close: async () => {
      stop.abort()
      topology.close()
      await Promise.all(tasks)
    }
  }
}
