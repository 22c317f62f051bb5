/**
 * The backend servers of the platform's instance list, on every node, while few
 * nodes read the list: two nodes of each failure domain read it, push changes
 * to the others, and the others compare with one of them now and then.
 */
import { ok } from 'true-myth/result'
import { defaultInstanceFeedBounds } from './bounds.ts'
import { createExchange } from './exchange.ts'
import { createPusher } from './push.ts'
import { createReader } from './reader.ts'
import { createFeedTable } from './table.ts'
import { createTopology } from '../configuration/feed/topology.ts'
import { sample } from '../membership/index.ts'
import type { Clock } from '../clock/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { Membership, PeerNetwork } from '../peers/types.ts'
import type { InstanceList } from '../platform/instance-list/index.ts'
import type { InstanceFeedBounds } from './bounds.ts'
import type { FeedEntry, InstanceFeed } from './types.ts'

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
  /** Numbers from 0 to 1, for the choice of watchers and for times. */
  random: () => number
  /** Called after every change with all backend servers that are listed. */
  onChange: (backends: FeedEntry['backend'][]) => void
  bounds?: Partial<InstanceFeedBounds>
}

/** Starts the feed of one node. */
export function createInstanceFeed (options: InstanceFeedOptions): InstanceFeed {
  const { network, membership, clock, metrics, random } = options
  const bounds = { ...defaultInstanceFeedBounds, ...options.bounds }
  const stop = new AbortController()
  const table = createFeedTable()
  const topology = createTopology('backends', membership, bounds)
  const reader = createReader({ read: options.instanceList.read, table, clock, metrics, bounds })
  const exchange = createExchange({ table, reader, network, clock, metrics, bounds, changed })
  const push = createPusher({ self: membership.self, topology, network, clock, metrics, bounds, receive })
  let watcherAtMs = -Infinity
  let compareAtMs = -Infinity
  let isKnown = false
  let resolveFirst = (): void => {}
  const firstState = new Promise<void>(resolve => { resolveFirst = resolve })

  function backends (): FeedEntry['backend'][] {
    return table.entries().filter(({ gone }) => !gone).map(({ backend }) => backend)
  }

  /** Before the whole state is known a part would look as if the rest were gone. */
  function changed (): void {
    if (isKnown && !stop.signal.aborted) options.onChange(backends())
  }

  function receive (entries: FeedEntry[]): void {
    if (table.merge(entries)) changed()
  }

  function confirm (): void {
    if (isKnown || stop.signal.aborted) return
    isKnown = true
    changed()
    resolveFirst()
  }

  async function readOwn (): Promise<void> {
    const changes = await reader.readChanges()
    if (changes === undefined) return
    const wasKnown = isKnown
    receive(changes)
    confirm()
    // Others fetch the first state by comparison; pushing it would send everybody the whole list.
    if (wasKnown) push(changes)
  }

  function otherWatchers () {
    const watchers = topology.watchers().filter(({ node }) => node !== membership.self.node)
    return sample(watchers, watchers.length, random)
  }

  async function compareNow (): Promise<boolean> {
    const startedAtMs = clock.monotonicMs()
    for (const watcher of otherWatchers()) {
      if (!await exchange.compareWith(watcher)) continue
      watcherAtMs = startedAtMs
      if (topology.watcherIndex() === -1) reader.rest()
      confirm()
      return true
    }
    return false
  }

  /** One step of a node that doesn't watch, or whose reading failed. */
  async function compareWhenDue (): Promise<void> {
    if (clock.monotonicMs() < compareAtMs) return
    const isConfirmed = await compareNow()
    if (isConfirmed) compareAtMs = clock.monotonicMs() + bounds.compareIntervalMs * (0.75 + random() / 2)
    else if (clock.monotonicMs() - watcherAtMs >= bounds.maxUnconfirmedMs) await readOwn()
    else metrics.count('instance_feed_unconfirmed_total')
  }

  async function follow (): Promise<void> {
    while (!stop.signal.aborted) {
      if (topology.watcherIndex() !== -1) await readOwn()
      if (topology.watcherIndex() === -1 || !reader.isFresh()) await compareWhenDue()
      table.forgetGone(clock.wallMs() - bounds.rememberGoneMs)
      await clock.sleep(bounds.readIntervalMs, stop.signal)
    }
  }

  const task = follow()

  return {
    firstState,
    backends,
    digest: table.digest,
    isWatching: () => topology.watcherIndex() !== -1,
    readNodes: async deadlineAtMs => {
      const own = reader.nodes()
      if (own !== undefined) return ok(own)
      for (const watcher of otherWatchers()) {
        const nodes = await exchange.nodesOf(watcher, Math.min(deadlineAtMs, clock.wallMs() + bounds.answerTimeoutMs))
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
