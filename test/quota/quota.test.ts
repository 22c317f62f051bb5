/** Quotas across several nodes that receive each other's reports with a delay. */
import test from 'ava'
import fc from 'fast-check'
import { createManualClock } from '../../src/core/clock/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import { createActivityTotals } from '../../src/core/node-reports/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import { createQuotas } from '../../src/core/quota/index.ts'
import type { NodeId, TeamId } from '../../src/core/ids/index.ts'
import type { QuotaLimit, Quotas } from '../../src/core/quota/index.ts'

const team = toId<TeamId>('agency')
const limit: QuotaLimit = { perSecond: 1_000, burst: 1_000, countsTokens: true }
const tolerance = { windowMs: 8_000, share: 0.1, extra: 1_000 }
/** The tolerance of the largest teams of a fleet of 195 nodes, relative to their quota. */
const largeFleetTolerance = { windowMs: 8_000, share: 0.1, extra: 230 }

/** Creates nodes, and a function that delivers the usage of each to all others. */
function createNodes (count: number, options: { reachableShare?: number } = {}) {
  const clock = createManualClock()
  const { reachableShare = 1 } = options
  const random = createRandom(30)
  const nodes = Array.from({ length: count }, () => createQuotas({ clock, random, tolerance, hasFullBuckets: true, ownShare: () => 1 / count, reportAgeMs: () => 100, reachableShare: () => reachableShare }))
  function exchangeReports (): void {
    for (const [from, sender] of nodes.entries()) {
      const taken = new Map([...sender.localUsage()].map(([key, value]) => [key, { ...value }]))
      for (const receiver of nodes) if (receiver !== sender) receiver.onPeerReport({ source: toId<NodeId>(`node-${from}`), bootId: 'life', usage: taken, levels: undefined, isFirst: false })
    }
  }
  return { clock, nodes, exchangeReports }
}

/** Sends requests to the nodes in turn at a constant rate; returns the admitted tokens for each second. */
async function sendLoad ({ clock, nodes, exchangeReports }: ReturnType<typeof createNodes>, tokens: number, everyMs: number, forMs: number): Promise<number[]> {
  const admittedTokens: number[] = []
  for (let atMs = 0; atMs < forMs; atMs += everyMs) {
    const node = nodes[(atMs / everyMs) % nodes.length] as Quotas
    const second = Math.floor(atMs / 1_000)
    admittedTokens[second] = (admittedTokens[second] ?? 0) + (node.take(team, limit, tokens) === 0 ? tokens : 0)
    await clock.advance(everyMs)
    if (atMs % 200 === 0) exchangeReports()
  }
  return admittedTokens
}

test('requests within the quota are never refused on any node', async t => {
  const cluster = createNodes(4)
  const admittedTokens = await sendLoad(cluster, 45, 50, 20_000)
  t.true(admittedTokens.every(tokens => tokens === 900))
})

test('a team that requests five times its quota never exceeds the quota plus tolerance in any window', async t => {
  const cluster = createNodes(8)
  const admittedTokens = await sendLoad(cluster, 50, 10, 30_000)
  const maxTokens = (limit.perSecond * 8 + limit.burst) * (1 + tolerance.share) + tolerance.extra
  for (let first = 0; first + 8 <= admittedTokens.length; first += 1) {
    const sum = admittedTokens.slice(first, first + 8).reduce((total, tokens) => total + tokens, 0)
    t.true(sum <= maxTokens, `${sum} of at most ${maxTokens} from second ${first}`)
  }
  t.true(admittedTokens.slice(8).reduce((total, tokens) => total + tokens, 0) >= limit.perSecond * 22)
})

test('a node that receives no reports from the others uses only its share of the rate', async t => {
  const isolated = createNodes(1, { reachableShare: 0.25 })
  const admittedTokens = await sendLoad(isolated, 50, 10, 20_000)
  const steadyTokensPerSecond = admittedTokens.slice(4).reduce((total, tokens) => total + tokens, 0) / (admittedTokens.length - 4)
  t.true(steadyTokensPerSecond <= limit.perSecond * 0.4)
})

test('a refusal returns the delay after which the tokens are available', async t => {
  const { clock, nodes: [node] } = createNodes(1)
  while (node!.take(team, limit, 500) === 0);
  const waitMs = node!.take(team, limit, 500)
  t.true(waitMs > 0)
  await clock.advance(waitMs)
  t.is(node!.take(team, limit, 500), 0)
})

test('what a node took before a restart isn\'t counted again after it', t => {
  const { nodes: [node] } = createNodes(1)
  node!.take(team, limit, 0)
  const report = { source: toId<NodeId>('peer'), levels: undefined, isFirst: false }
  node!.onPeerReport({ ...report, bootId: 'first', usage: new Map([[team, { quota: 400, tolerance: 0, asked: 400 }]]) })
  node!.onPeerReport({ ...report, bootId: 'second', usage: new Map([[team, { quota: 100, tolerance: 0, asked: 100 }]]) })
  t.is(node!.explain(team)['quotaLevel'], 500)
})

/**
 * Plays a team that asks for `demandRatio` times its quota through many nodes that report to one collector every
 * 300 ms; returns the largest number of tokens that were admitted in any window.
 */
async function playThroughCollector (nodeCount: number, demandRatio: number, tokens: number, seconds: number): Promise<{ largestWindow: number, perSecond: number }> {
  const reportIntervalMs = 300
  const clock = createManualClock()
  const random = createRandom(32)
  const targets = fc.sample(fc.nat({ max: nodeCount - 1 }), { numRuns: limit.perSecond * demandRatio / tokens * seconds, seed: 31 })
  const totals = createActivityTotals({ clock, maxPrefixes: () => 0 })
  const ids = Array.from({ length: nodeCount }, (_, index) => toId<NodeId>(`node-${index}`))
  const nodes = ids.map(() => createQuotas({ clock, random, tolerance: largeFleetTolerance, hasFullBuckets: true, ownShare: () => 1 / nodeCount, reachableShare: () => 1, reportAgeMs: () => reportIntervalMs, limitOf: () => limit }))
  const heard = new Set<number>()
  const admitted: Array<{ atMs: number, tokens: number }> = []
  function report (index: number): void {
    const id = ids[index] as NodeId
    const quotas = nodes[index] as Quotas
    const quotaUsage = new Map([...quotas.localUsage()].map(([key, value]) => [key, { ...value }]))
    totals.record(id, 'boot', { quotaUsage, loads: new Map(), prefixes: [], suspects: new Map() })
    const others = totals.totalsExcept(id).quotaUsage
    quotas.onPeerReport({ source: toId<NodeId>('collector'), bootId: 'boot', usage: others, levels: undefined, isFirst: !heard.has(index) })
    heard.add(index)
  }
  for (let index = 0; index < nodeCount; index += 1) report(index)
  const stepMs = tokens / (limit.perSecond * demandRatio) * 1_000
  let nextReport = 0
  for (const [step, index] of targets.entries()) {
    const atMs = step * stepMs
    for (; nextReport * reportIntervalMs / nodeCount <= atMs; nextReport += 1) report(nextReport % nodeCount)
    if (nodes[index]?.take(team, limit, tokens) === 0) admitted.push({ atMs, tokens })
    await clock.advance(stepMs)
  }
  let largestWindow = 0
  let sum = 0
  let first = 0
  for (const { atMs, tokens: added } of admitted) {
    sum += added
    while ((admitted[first]?.atMs ?? atMs) <= atMs - largeFleetTolerance.windowMs) sum -= admitted[first++]?.tokens ?? 0
    largestWindow = Math.max(largestWindow, sum)
  }
  return { largestWindow, perSecond: admitted.filter(({ atMs }) => atMs > 8_000).length * tokens / (seconds - 8) }
}

// With hundreds of nodes, a report of the others is half a second old, and each node alone could admit what was refilled since then.
for (const [nodeCount, demandRatio, tokens] of [[9, 6, 50], [84, 6, 50], [195, 6, 50], [195, 2, 200], [195, 10, 100]] as const) {
  test(`a team that requests ${demandRatio} times its quota through ${nodeCount} nodes in requests of ${tokens} tokens stays below its quota plus tolerance, and gets its quota`, async t => {
    const { largestWindow, perSecond } = await playThroughCollector(nodeCount, demandRatio, tokens, 24)
    const allowed = (limit.perSecond * 8 + limit.burst) * (1 + largeFleetTolerance.share) + largeFleetTolerance.extra
    t.true(largestWindow <= allowed, `${largestWindow} of ${allowed}`)
    t.true(perSecond >= limit.perSecond, `${perSecond} a second`)
    t.log(nodeCount, 'nodes: largest window', largestWindow, 'of', allowed, 'tokens; then', Math.round(perSecond), 'a second')
  })
}

test('a request that is larger than the burst is admitted from the quota and the tolerance together', async t => {
  const { clock, nodes: [node] } = createNodes(1)
  const tokens = 1_100
  t.is(node!.take(team, limit, tokens), 0)
  const waitMs = node!.take(team, limit, tokens)
  t.true(waitMs > 0 && waitMs < 2_000)
  await clock.advance(waitMs)
  t.is(node!.take(team, limit, tokens), 0)
})

test('a request that is larger than a full bucket is admitted from one, and its debt is repaid before the next', async t => {
  const { clock, nodes: [node] } = createNodes(1)
  t.is(node!.take(team, limit, 3_000), 0)
  t.true(node!.take(team, limit, 100) > 1_000)
  await clock.advance(30_000)
  t.is(node!.take(team, limit, 3_000), 0)
})

test('a node that read no stored level takes over the lower one of another node, also before its own first request', t => {
  const clock = createManualClock()
  const node = createQuotas({ clock, random: () => 0, tolerance, hasFullBuckets: false, ownShare: () => 0.5, reportAgeMs: () => 100, reachableShare: () => 1 })
  node.onStoredLevels(new Map(), 0)
  node.onPeerReport({ source: toId<NodeId>('peer'), bootId: 'boot', usage: new Map(), levels: new Map([[team, { quota: 60, tolerance: 0 }]]), isFirst: true })
  t.true(node.take(team, limit, 100) > 0)
  t.is(node.take(team, limit, 50), 0)
})
