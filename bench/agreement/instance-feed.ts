/**
 * Bytes a second that one node spends on the backend servers of the instance
 * list, over the number of runners and at 1,350 changes a day: nodes that don't
 * watch, watchers, and the simpler way in which each node reads the list every
 * second. Nodes in one process over a memory network, on a manual clock. Bytes
 * of the list are those of its JSON. Prints one JSON object a line.
 *
 *     npx tsx bench/agreement/instance-feed.ts [--seed 1] [--seconds 600] [--runners 100,1000,10000] [--nodes 12] [--domains 3]
 */
import { ok } from 'true-myth/result'
import { parseArgs } from 'node:util'
import { startNodes } from './nodes.ts'
import { toId } from '../../src/core/ids/index.ts'
import { createInstanceFeed } from '../../src/core/instance-feed/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import type { Backend } from '../../src/core/backends/types.ts'
import type { InstanceFeed } from '../../src/core/instance-feed/index.ts'
import type { MeasuredNode } from './nodes.ts'

const { values: flags } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '600' },
    runners: { type: 'string', default: '100,1000,10000' },
    nodes: { type: 'string', default: '12' },
    domains: { type: 'string', default: '3' }
  }
})

const changesPerDay = 1_350
const settleMs = 120_000
const stepMs = 100

interface MeasuredFeed {
  node: MeasuredNode
  feed: InstanceFeed
  listBytes: number
  reads: number
}

function backendOf (index: number, generation: number): Backend {
  return {
    id: toId(`backend-${index}-${generation}`),
    instance: toId(`instance-${index}-${generation}`),
    team: toId(`team-${index % 100}`),
    kind: 'model-engine',
    version: toId('v1'),
    domain: toId(`domain-${index % 16}`),
    machineClass: 'standard',
    reclaimable: index % 2 === 0,
    url: `http://10.0.${index >> 8}.${index % 256}:8000`,
    state: 'live'
  }
}

function print (value: unknown): void {
  process.stdout.write(JSON.stringify(value, (_key, item) => typeof item === 'number' ? Math.round(item * 1_000) / 1_000 : item) + '\n')
}

async function measure (runners: number): Promise<void> {
  const seed = Number(flags.seed)
  const random = createRandom(seed)
  const measured = await startNodes({ size: Number(flags.nodes), domains: Number(flags.domains), seed, latencyMs: 1.5, withFeed: false, transport: 'memory' })
  const { clock } = measured
  let backends = Array.from({ length: runners }, (_, index) => backendOf(index, 0))
  let textBytes = JSON.stringify(backends).length

  function start (node: MeasuredNode): MeasuredFeed {
    async function read () {
      result.reads += 1
      result.listBytes += textBytes
      return ok({ nodes: [], backends: [...backends] })
    }
    const result = { node, listBytes: 0, reads: 0 } as MeasuredFeed
    const { network, membership } = node
    result.feed = createInstanceFeed({ instanceList: { read }, network, membership, clock, metrics: createMetrics(), random, onChange: () => {} })
    return result
  }

  const feeds = measured.nodes.map(start)
  await clock.advance(settleMs)
  const peerBytesOf = ({ node }: MeasuredFeed): number => node.network.traffic().sentBytes + node.network.traffic().receivedBytes
  const before = new Map(feeds.map(feed => [feed, { peerBytes: peerBytesOf(feed), listBytes: feed.listBytes, reads: feed.reads }]))
  const startedAtMs = clock.monotonicMs()
  const endAtMs = startedAtMs + Number(flags.seconds) * 1_000
  let slowestMs = 0
  let changes = 0

  while (clock.monotonicMs() < endAtMs) {
    const place = Math.floor(random() * runners)
    changes += 1
    backends = backends.with(place, backendOf(place, changes))
    textBytes = JSON.stringify(backends).length
    const changedAtMs = clock.monotonicMs()
    const isEverywhere = (): boolean => new Set(feeds.map(({ feed }) => feed.digest().hash)).size === 1 && feeds.every(({ feed }) => feed.backends().some(({ id }) => id === backends[place]!.id))
    while (!isEverywhere() && clock.monotonicMs() < endAtMs) await clock.advance(stepMs)
    slowestMs = Math.max(slowestMs, clock.monotonicMs() - changedAtMs)
    await clock.advance(Math.max(0, changedAtMs + 86_400_000 / changesPerDay - clock.monotonicMs()))
  }

  const elapsedSeconds = (clock.monotonicMs() - startedAtMs) / 1_000
  for (const [role, members] of [['other', feeds.filter(({ feed }) => !feed.isWatching())], ['watcher', feeds.filter(({ feed }) => feed.isWatching())]] as const) {
    const mean = (of: (feed: MeasuredFeed) => number): number => members.reduce((sum, feed) => sum + of(feed), 0) / members.length / elapsedSeconds
    print({
      runners,
      role,
      nodes: members.length,
      changes,
      peerBytesPerSecond: mean(feed => peerBytesOf(feed) - before.get(feed)!.peerBytes),
      listBytesPerSecond: mean(feed => feed.listBytes - before.get(feed)!.listBytes),
      listReadsPerSecond: mean(feed => feed.reads - before.get(feed)!.reads),
      slowestMs
    })
  }
  print({ runners, role: 'each node reads', listBytesPerSecond: textBytes })
  const closings = feeds.map(({ feed }) => feed.close())
  await measured.close()
  await Promise.all(closings)
}

const alone = await startNodes({ size: Number(flags.nodes), domains: Number(flags.domains), seed: Number(flags.seed), latencyMs: 1.5, withFeed: false, transport: 'memory' })
await alone.clock.advance(settleMs)
const bytesOf = (): number => alone.nodes.reduce((sum, { network }) => sum + network.traffic().sentBytes + network.traffic().receivedBytes, 0)
const aloneBytes = bytesOf()
await alone.clock.advance(Number(flags.seconds) * 1_000)
print({ role: 'membership alone', peerBytesPerSecond: (bytesOf() - aloneBytes) / alone.nodes.length / Number(flags.seconds) })
await alone.close()
for (const runners of flags.runners.split(',').map(Number)) await measure(runners)
