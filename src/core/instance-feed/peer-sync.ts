/** Anti-entropy with a watcher, which repairs lost pushes, and the watcher's handlers for it. */
import { createHash } from 'node:crypto'
import type { Clock } from '../clock/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { PeerAddress, PeerNetwork } from '../peers/types.ts'
import type { ListedEntryNode } from '../platform/instance-list/index.ts'
import type { InstanceFeedBounds } from './bounds.ts'
import type { ListReader } from './list-reader.ts'
import { bucketCount } from './table.ts'
import type { InstanceTable } from './table.ts'
import type { InstanceFeedDigest, InstanceFeedEntry } from './types.ts'

/** Number of buckets that one repair request covers. */
const bucketsPerMessage = 16

/** Options of an instance peer sync. */
export interface InstancePeerSyncOptions {
  table: InstanceTable
  reader: ListReader
  network: PeerNetwork
  clock: Clock
  metrics: Metrics
  bounds: InstanceFeedBounds
  /** Called after a repair changed the table. */
  onChanged: () => void
}

interface InstanceDigestResponse {
  /** Whether the responding node has a fresh read of the list; otherwise its response is ignored. */
  known: boolean
  isSame: boolean
}

interface RepairRequest {
  firstBucket: number
  hashes: number[]
}

type RepairResponse = Array<{ bucket: number, entries: InstanceFeedEntry[] }>

type NodesResponse = { known: false } | { known: true, hash: string, nodes: ListedEntryNode[] | undefined }

/** Compares one node's table with watchers. */
export interface InstancePeerSync {
  /** Compares with a watcher and repairs the differences; false when the watcher didn't respond or has no fresh read. */
  compareWith: (watcher: PeerAddress) => Promise<boolean>
  /** Requests the entry nodes of the list from a watcher, which sends them only if their hash differs from the cached one. */
  nodesOf: (watcher: PeerAddress, deadlineAtMs: number) => Promise<ListedEntryNode[] | undefined>
}

function hashOf (nodes: ListedEntryNode[]): string {
  return createHash('sha256').update(JSON.stringify(nodes)).digest('base64url').slice(0, 16)
}

/** Creates the peer sync of one node and registers the handlers of its messages. */
export function createInstancePeerSync (options: InstancePeerSyncOptions): InstancePeerSync {
  const { table, reader, network, clock, metrics, bounds } = options
  let cachedNodes: ListedEntryNode[] = []
  let cachedHash = ''

  async function requestFrom (watcher: PeerAddress, kind: string, body: unknown, deadlineAtMs = clock.wallMs() + bounds.requestTimeoutMs): Promise<unknown> {
    const response = await network.request(watcher, kind, body, deadlineAtMs)
    return response.isOk ? response.value : undefined
  }

  function applyRepairs (repairs: RepairResponse): boolean {
    const olderThanMs = clock.wallMs() - bounds.maxListLagMs
    const changes = repairs.flatMap(({ bucket, entries }) => [
      table.merge(entries),
      table.removeMissing(bucket, new Set(entries.map(({ backend }) => backend.id)), olderThanMs)
    ])
    return changes.some(changed => changed)
  }

  async function repairFrom (watcher: PeerAddress): Promise<boolean> {
    metrics.count('instance_feed_repairs_total')
    const hashes = table.bucketHashes()
    let changed = false
    let complete = true
    for (let firstBucket = 0; complete && firstBucket < bucketCount; firstBucket += bucketsPerMessage) {
      const repairRequest: RepairRequest = { firstBucket, hashes: hashes.slice(firstBucket, firstBucket + bucketsPerMessage) }
      const repairs = await requestFrom(watcher, 'backends/repair', repairRequest) as RepairResponse | undefined
      if (repairs === undefined) complete = false
      else if (applyRepairs(repairs)) changed = true
    }
    if (changed) options.onChanged()
    return complete
  }

  async function compareWith (watcher: PeerAddress): Promise<boolean> {
    const response = await requestFrom(watcher, 'backends/digest', table.digest()) as InstanceDigestResponse | undefined
    if (response?.known !== true) return false
    return response.isSame || await repairFrom(watcher)
  }

  async function nodesOf (watcher: PeerAddress, deadlineAtMs: number): Promise<ListedEntryNode[] | undefined> {
    const response = await requestFrom(watcher, 'backends/nodes', cachedHash, deadlineAtMs) as NodesResponse | undefined
    if (response?.known !== true) return undefined
    if (response.nodes !== undefined) {
      cachedNodes = response.nodes
      cachedHash = response.hash
    }
    return cachedNodes
  }

  network.handle('backends/digest', (_from, body): InstanceDigestResponse => {
    const remote = body as InstanceFeedDigest
    const local = table.digest()
    return { known: reader.isFresh(), isSame: remote.count === local.count && remote.hash === local.hash }
  })
  network.handle('backends/repair', (_from, body): RepairResponse => {
    const { firstBucket, hashes } = body as RepairRequest
    const localHashes = table.bucketHashes()
    const differing = hashes.map((hash, index) => ({ hash, bucket: firstBucket + index })).filter(({ hash, bucket }) => hash !== localHashes[bucket])
    return differing.map(({ bucket }) => ({ bucket, entries: table.bucket(bucket) }))
  })
  network.handle('backends/nodes', (_from, body): NodesResponse => {
    const nodes = reader.nodes()
    if (nodes === undefined) return { known: false }
    const hash = hashOf(nodes)
    return { known: true, hash, nodes: hash === body ? undefined : nodes }
  })

  return { compareWith, nodesOf }
}
