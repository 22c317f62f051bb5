/**
 * Cluster membership, from the platform's lagging instance list, probes between the
 * nodes and notices. The number and size of the messages that a node sends per second
 * are bounded, regardless of the number of nodes.
 */
import { defaultMembershipBounds } from './bounds.ts'
import { fromWire, toWire } from './records.ts'
import { createMemberTable } from './table.ts'
import { createProber, sample } from './prober.ts'
import type { Clock } from '../clock/index.ts'
import type { NodeId } from '../ids/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { PeerAddress, PeerNetwork } from '../peers/types.ts'
import type { MembershipBounds } from './bounds.ts'
import type { InstanceListReader, ListedNode, MemberRecord, NodeMembership } from './types.ts'

export type * from './types.ts'
export { rankNodes } from './ranking.ts'
export { sample } from './prober.ts'

/** Number of records in one page of the table that a joining node reads. */
const tablePageRecords = 200

/** Number of peers that are notified directly when this node leaves or stops. */
const noticeFanOut = 8

/** Options of a node's membership. */
export interface MembershipOptions {
  self: PeerAddress
  network: PeerNetwork
  /** Nodes to contact first, in addition to those in the instance list. */
  seeds: PeerAddress[]
  instanceList: InstanceListReader
  clock: Clock
  log: Log
  metrics: Metrics
  /** Random numbers in [0, 1) for the choice of peers; `Math.random` by default. */
  random?: () => number
  bounds?: Partial<MembershipBounds>
}

/** Starts this node's membership. */
export function createMembership (options: MembershipOptions): NodeMembership {
  const { self, network, clock, log, metrics } = options
  const random = options.random ?? Math.random
  const bounds = { ...defaultMembershipBounds, ...options.bounds }
  const closed = new AbortController()
  const listeners = new Set<() => void>()
  const diedAtMs = new Map<NodeId, number>()
  let listed = new Map<NodeId, ListedNode>()
  let isListAvailable = true
  let hasReadList = false
  let hasJoined = false
  let livePeers: PeerAddress[] = []

  const table = createMemberTable({
    self,
    incarnation: clock.wallMs(),
    onJoined: record => log('peerJoined', { peer: record.address.node, domain: record.address.domain }),
    onDead: record => {
      diedAtMs.set(record.address.node, clock.monotonicMs())
      metrics.count('peers_lost_total')
      log('peerLost', { peer: record.address.node, domain: record.address.domain })
    },
    onRefuted: () => {
      metrics.count('membership_refuted_total')
      log('peerRefuted')
    }
  })

  function isLivePeer (record: MemberRecord): boolean {
    return record.address.node !== self.node && record.status !== 'dead' && !record.leaving
  }

  function merge (records: MemberRecord[]): void {
    if (!table.merge(records)) return
    livePeers = table.all().filter(isLivePeer).map(record => record.address)
    metrics.setGauge('peers_live', livePeers.length)
    for (const listener of listeners) listener()
  }

  const prober = createProber({
    table, network, clock, bounds, random, merge, mayHaveReturned: record => listed.has(record.address.node)
  })

  function initialRecord (address: PeerAddress): MemberRecord {
    return { address, incarnation: 0, status: 'alive', leaving: false }
  }

  /** The record that a list entry implies. The address distinguishes a leaving instance from its replacement with the same id. */
  function recordFromList ({ address, leaving }: ListedNode): MemberRecord {
    const known = table.get(address.node) ?? initialRecord(address)
    const isSameInstance = known.address.host === address.host && known.address.port === address.port
    return leaving && isSameInstance ? { ...known, leaving } : known
  }

  async function readList (): Promise<void> {
    const result = await options.instanceList(clock.wallMs() + bounds.listTimeoutMs)
    if (result.isErr) {
      metrics.count('instance_list_failures_total')
      if (isListAvailable) log('instanceListFailed', { cause: result.error.message })
      isListAvailable = false
      return
    }
    isListAvailable = true
    hasReadList = true
    listed = new Map(result.value.map(entry => [entry.address.node, entry]))
    merge(result.value.map(recordFromList))
  }

  async function readTableFrom (peer: PeerAddress): Promise<boolean> {
    for (let offset: number | undefined = 0; offset !== undefined;) {
      const response = await network.request(peer, 'membership/table', offset, clock.wallMs() + bounds.periodMs)
      if (response.isErr) return false
      const page = response.value as { records: unknown, next: number | undefined }
      merge(fromWire(page.records))
      offset = page.next
    }
    return true
  }

  async function join (): Promise<void> {
    const known = table.all().filter(record => record.address.node !== self.node && record.status === 'alive')
    const [peer] = sample(known, 1, random)
    hasJoined = peer === undefined ? hasReadList : await readTableFrom(peer.address)
  }

  function removeOldDeadMembers (): void {
    for (const [node, atMs] of diedAtMs) {
      const isOld = clock.monotonicMs() - atMs >= bounds.deadRetentionMs
      if (table.get(node)?.status !== 'dead') diedAtMs.delete(node)
      else if (isOld && !listed.has(node)) {
        table.remove(node)
        diedAtMs.delete(node)
      }
    }
  }

  /** Sends this node's record directly to a few peers; gossip spreads it to the rest. */
  function notifyPeers (record: MemberRecord): void {
    for (const peer of sample(livePeers, noticeFanOut, random)) network.send(peer, 'membership/notice', [toWire(record)])
  }

  /** Notifies a few peers that this node stops, and waits until they respond or the ping timeout has passed. */
  async function announceEnd (): Promise<void> {
    const ended = [toWire(table.markEnded())]
    const deadlineAtMs = clock.wallMs() + bounds.pingTimeoutMs
    await Promise.all(sample(livePeers, noticeFanOut, random).map(peer => network.request(peer, 'membership/notice', ended, deadlineAtMs)))
  }

  async function pollList (): Promise<void> {
    while (!closed.signal.aborted) {
      await readList()
      await clock.sleep(bounds.listIntervalMs * (0.5 + random()), closed.signal)
    }
  }

  async function probePeers (): Promise<void> {
    while (!closed.signal.aborted) {
      const startedAtMs = clock.monotonicMs()
      await clock.sleep(bounds.periodMs, closed.signal)
      if (closed.signal.aborted) return
      const pausedMs = Math.max(0, clock.monotonicMs() - startedAtMs - 2 * bounds.periodMs)
      if (!hasJoined) await join()
      removeOldDeadMembers()
      await prober.runPeriod(pausedMs)
    }
  }

  network.handle('membership/notice', (_from, body) => merge(fromWire(body)))
  network.handle('membership/table', (_from, body) => {
    const offset = Number(body)
    const page = table.all().slice(offset, offset + tablePageRecords)
    const next = page.length === tablePageRecords ? offset + tablePageRecords : undefined
    return { records: page.map(toWire), next }
  })

  merge(options.seeds.filter(seed => seed.node !== self.node).map(seed => initialRecord(seed)))
  const tasks = [pollList(), probePeers()]

  function markLeaving (node: NodeId): void {
    const known = table.get(node)
    if (known !== undefined) merge([{ ...known, leaving: true }])
  }

  return {
    self,
    peers: () => livePeers,
    find: node => {
      const record = table.get(node)
      return record === undefined || record.status === 'dead' ? undefined : record.address
    },
    onChange: listener => {
      listeners.add(listener)
      return () => listeners.delete(listener)
    },
    records: table.all,
    status: () => {
      const records = table.all()
      const count = (holds: (record: MemberRecord) => boolean): number => records.filter(holds).length
      return {
        live: livePeers.length,
        suspect: count(record => record.status === 'suspect'),
        leaving: count(record => record.leaving && record.status !== 'dead'),
        dead: count(record => record.status === 'dead'),
        joined: hasJoined
      }
    },
    leave: () => {
      markLeaving(self.node)
      notifyPeers(table.self())
    },
    markLeaving,
    close: async () => {
      closed.abort()
      await Promise.all([announceEnd(), ...tasks])
    }
  }
}
