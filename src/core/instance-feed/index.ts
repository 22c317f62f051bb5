/**
 * Replicates the backend servers of the platform's instance list to every node,
 * although only a few nodes read the list. Two nodes of each failure domain (the
 * watchers) read it and push changes to the other nodes of the domain, which
 * also compare their state with a watcher periodically to repair lost pushes.
 */
import { ok } from 'true-myth/result'
import { defaultInstanceFeedBounds } from './bounds.ts'
import { createInstancePeerSync } from './peer-sync.ts'
import { createInstancePusher } from './push.ts'
import { createListReader } from './list-reader.ts'
import { createInstanceTable } from './table.ts'
import { createTopology } from '../configuration/feed/topology.ts'
import { sample } from '../membership/index.ts'
import type { Clock } from '../clock/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { Membership, PeerNetwork } from '../peers/types.ts'
import type { InstanceList } from '../platform/instance-list/index.ts'
import type { InstanceFeedBounds } from './bounds.ts'
import type { InstanceFeedEntry, InstanceFeed } from './types.ts'

export type * from './types.ts'
export type { InstanceFeedBounds } from './bounds.ts'
export { defaultInstanceFeedBounds } from './bounds.ts'

/** Options of an instance feed. */
export interface InstanceFeedOptions {
  instanceList: Pick<InstanceList, 'read'>
  network: PeerNetwork
  membership: Membership
  clock: Clock
  metrics: Metrics
  /** Random numbers from 0 to 1, for the order in which watchers are asked and for jitter of intervals. */
  random: () => number
  /** Called after every change with all listed backend servers; first when the complete state is known. */
  onChange: (backends: InstanceFeedEntry['backend'][]) => void
  bounds?: Partial<InstanceFeedBounds>
}

/** Starts the feed of one node and registers its message handlers. Stop it with `close`. */
export function createInstanceFeed (options: InstanceFeedOptions): InstanceFeed {
  const { network, membership, clock, metrics, random } = options
  const bounds = { ...defaultInstanceFeedBounds, ...options.bounds }
  const stop = new AbortController()
  const table = createInstanceTable()
  const topology = createTopology('backends', membership, bounds)
  const reader = createListReader({ read: options.instanceList.read, table, clock, metrics, bounds })
  const peerSync = createInstancePeerSync({ table, reader, network, clock, metrics, bounds, onChanged: notifyIfSynced })
  const push = createInstancePusher({ self: membership.self, topology, network, clock, metrics, bounds, receive })
  let watcherConfirmedAtMs = -Infinity
  let nextCompareAtMs = -Infinity
  let isSynced = false
  let resolveInitialSync = (): void => {}
  const initialSync = new Promise<void>(resolve => { resolveInitialSync = resolve })

  function backends (): InstanceFeedEntry['backend'][] {
    return table.entries().filter(({ gone }) => !gone).map(({ backend }) => backend)
  }

  /** Reports nothing before the first complete state, because a partial list would look as if the missing backend servers were gone. */
  function notifyIfSynced (): void {
    if (isSynced && !stop.signal.aborted) options.onChange(backends())
  }

  function receive (entries: InstanceFeedEntry[]): void {
    if (table.merge(entries)) notifyIfSynced()
  }

  function markSynced (): void {
    if (isSynced || stop.signal.aborted) return
    isSynced = true
    notifyIfSynced()
    resolveInitialSync()
  }

  async function readList (): Promise<void> {
    const changes = await reader.readChanges()
    if (changes === undefined) return
    const wasSynced = isSynced
    receive(changes)
    markSynced()
    // The first state isn't pushed: it would send the complete list to every node, and nodes get it by comparison.
    if (wasSynced) push(changes)
  }

  function otherWatchers () {
    const watchers = topology.watchers().filter(({ node }) => node !== membership.self.node)
    return sample(watchers, watchers.length, random)
  }

  async function compareNow (): Promise<boolean> {
    const startedAtMs = clock.monotonicMs()
    for (const watcher of otherWatchers()) {
      if (!await peerSync.compareWith(watcher)) continue
      watcherConfirmedAtMs = startedAtMs
      if (topology.watcherIndex() === -1) reader.reset()
      markSynced()
      return true
    }
    return false
  }

  /** Compares with a watcher if that is due; for nodes that aren't watchers and for watchers whose reads fail. */
  async function compareIfDue (): Promise<void> {
    if (clock.monotonicMs() < nextCompareAtMs) return
    const isConfirmed = await compareNow()
    if (isConfirmed) nextCompareAtMs = clock.monotonicMs() + bounds.compareIntervalMs * (0.75 + random() / 2)
    else if (clock.monotonicMs() - watcherConfirmedAtMs >= bounds.maxUnconfirmedMs) await readList()
    else metrics.count('instance_feed_unconfirmed_total')
  }

  async function runPeriodically (): Promise<void> {
    while (!stop.signal.aborted) {
      if (topology.watcherIndex() !== -1) await readList()
      if (topology.watcherIndex() === -1 || !reader.isFresh()) await compareIfDue()
      table.expireTombstones(clock.wallMs() - bounds.tombstoneTtlMs)
      await clock.sleep(bounds.readIntervalMs, stop.signal)
    }
  }

  const task = runPeriodically()

  return {
    initialSync,
    backends,
    digest: table.digest,
    isWatching: () => topology.watcherIndex() !== -1,
    readNodes: async deadlineAtMs => {
      const own = reader.nodes()
      if (own !== undefined) return ok(own)
      for (const watcher of otherWatchers()) {
        const nodes = await peerSync.nodesOf(watcher, Math.min(deadlineAtMs, clock.wallMs() + bounds.requestTimeoutMs))
        if (nodes !== undefined) return ok(nodes)
      }
      return (await options.instanceList.read(deadlineAtMs)).map(({ nodes }) => nodes)
    },
    close: async () => {
      stop.abort()
      topology.close()
      await task
    }
  }
}
