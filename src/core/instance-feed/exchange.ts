/** Slow comparison with a watcher, which repairs what a lost push left out, and the watcher's side of it. */
import { createHash } from 'node:crypto'
import type { Clock } from '../clock/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { PeerAddress, PeerNetwork } from '../peers/types.ts'
import type { ListedEntryNode } from '../platform/instance-list/index.ts'
import type { InstanceFeedBounds } from './bounds.ts'
import type { Reader } from './reader.ts'
import { bucketCount } from './table.ts'
import type { FeedTable } from './table.ts'
import type { FeedDigest, FeedEntry } from './types.ts'

/** Buckets that one message repairs. */
const bucketsPerMessage = 16

/** Options of an exchange. */
export interface ExchangeOptions {
  table: FeedTable
  reader: Reader
  network: PeerNetwork
  clock: Clock
  metrics: Metrics
  bounds: InstanceFeedBounds
  /** Tells the node that its table changed. */
  changed: () => void
}

interface DigestAnswer {
  /** Whether the asked node read the list lately; without that it stands for nothing. */
  known: boolean
  isSame: boolean
}

interface RepairQuestion {
  firstBucket: number
  hashes: number[]
}

type RepairAnswer = Array<{ bucket: number, entries: FeedEntry[] }>

type NodesAnswer = { known: false } | { known: true, hash: string, nodes: ListedEntryNode[] | undefined }

/** The exchange of one node. */
export interface Exchange {
  /** Compares with a watcher and repairs what differs; false when it couldn't be relied on. */
  compareWith: (watcher: PeerAddress) => Promise<boolean>
  /** Asks a watcher for the entry nodes of the list, of which only a change crosses the network. */
  nodesOf: (watcher: PeerAddress, deadlineAtMs: number) => Promise<ListedEntryNode[] | undefined>
}

function hashOf (nodes: ListedEntryNode[]): string {
  return createHash('sha256').update(JSON.stringify(nodes)).digest('base64url').slice(0, 16)
}

/** The exchange of one node, with the handlers of its messages. */
export function createExchange (options: ExchangeOptions): Exchange {
  const { table, reader, network, clock, metrics, bounds } = options
  let heldNodes: ListedEntryNode[] = []
  let heldHash = ''

  async function ask (watcher: PeerAddress, kind: string, body: unknown, deadlineAtMs = clock.wallMs() + bounds.answerTimeoutMs): Promise<unknown> {
    const answer = await network.request(watcher, kind, body, deadlineAtMs)
    return answer.isOk ? answer.value : undefined
  }

  function install (repairs: RepairAnswer): boolean {
    const olderThanMs = clock.wallMs() - bounds.maxListLagMs
    const changes = repairs.flatMap(({ bucket, entries }) => [
      table.merge(entries),
      table.retain(bucket, new Set(entries.map(({ backend }) => backend.id)), olderThanMs)
    ])
    return changes.some(changed => changed)
  }

  async function repairFrom (watcher: PeerAddress): Promise<boolean> {
    metrics.count('instance_feed_repairs_total')
    const hashes = table.bucketHashes()
    let changed = false
    let whole = true
    for (let firstBucket = 0; whole && firstBucket < bucketCount; firstBucket += bucketsPerMessage) {
      const question: RepairQuestion = { firstBucket, hashes: hashes.slice(firstBucket, firstBucket + bucketsPerMessage) }
      const repairs = await ask(watcher, 'backends/repair', question) as RepairAnswer | undefined
      if (repairs === undefined) whole = false
      else if (install(repairs)) changed = true
    }
    if (changed) options.changed()
    return whole
  }

  async function compareWith (watcher: PeerAddress): Promise<boolean> {
    const answer = await ask(watcher, 'backends/digest', table.digest()) as DigestAnswer | undefined
    if (answer?.known !== true) return false
    return answer.isSame || await repairFrom(watcher)
  }

  async function nodesOf (watcher: PeerAddress, deadlineAtMs: number): Promise<ListedEntryNode[] | undefined> {
    const answer = await ask(watcher, 'backends/nodes', heldHash, deadlineAtMs) as NodesAnswer | undefined
    if (answer?.known !== true) return undefined
    if (answer.nodes !== undefined) {
      heldNodes = answer.nodes
      heldHash = answer.hash
    }
    return heldNodes
  }

  network.handle('backends/digest', (_from, body): DigestAnswer => {
    const theirs = body as FeedDigest
    const mine = table.digest()
    return { known: reader.isFresh(), isSame: theirs.count === mine.count && theirs.hash === mine.hash }
  })
  network.handle('backends/repair', (_from, body): RepairAnswer => {
    const { firstBucket, hashes } = body as RepairQuestion
    const mine = table.bucketHashes()
    const differing = hashes.map((hash, index) => ({ hash, bucket: firstBucket + index })).filter(({ hash, bucket }) => hash !== mine[bucket])
    return differing.map(({ bucket }) => ({ bucket, entries: table.bucket(bucket) }))
  })
  network.handle('backends/nodes', (_from, body): NodesAnswer => {
    const nodes = reader.nodes()
    if (nodes === undefined) return { known: false }
    const hash = hashOf(nodes)
    return { known: true, hash, nodes: hash === body ? undefined : nodes }
  })

  return { compareWith, nodesOf }
}
