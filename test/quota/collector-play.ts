/** Nodes that share a team's quota through collectors, on a manual clock: late digests, collectors that are killed, cuts and lowered limits. */
import { createManualClock } from '../../src/core/clock/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createActivityTotals, createCollectors } from '../../src/core/node-reports/index.ts'
import { createClusterQuotas } from '../../src/core/quota/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import type { NodeId, TeamId } from '../../src/core/ids/index.ts'
import type { QuotaLevels, QuotaLimit, QuotaUsage } from '../../src/core/quota/index.ts'

export const team = toId<TeamId>('agency')
export const tolerance = { windowMs: 8_000, share: 0.1, extra: 110_000 }

/** What happens to the nodes at a time. Node 0 ranks first as a collector. */
export interface PlayEvent {
  atMs: number
  kill?: number
  restart?: number
  /** Nodes that neither hear the others nor are heard; an empty list ends the cut. */
  cut?: number[]
}

/** A team's load on a cluster that starts for the first time. */
export interface Play {
  nodeCount: number
  limitAt: (atMs: number) => QuotaLimit
  demandPerSecond: (atMs: number) => number
  forMs: number
  seed: number
  /** Time at which nodes learn of one another. */
  knownFromMs?: number
  /** Bounds of the delay of what node 0 sends, to model a collector that is short of processor time. */
  collectorDelayMs?: readonly [fromMs: number, toMs: number]
  events?: PlayEvent[]
  /** Whether collectors decide; otherwise each node does, as in earlier releases. */
  decidesQuotas?: boolean
}

export interface TimedTokens {
  atMs: number
  tokens: number
}

/** Most tokens that the rule allows in a window. */
export function allowedTokens ({ perSecond, burst }: QuotaLimit): number {
  return (perSecond * tolerance.windowMs / 1_000 + burst) * (1 + tolerance.share) + tolerance.extra
}

/** Heavy-tailed sizes with a mean of 9,000 tokens, at most 39,600. */
function requestTokens (random: () => number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
  return Math.round(Math.min(39_600, 6_500 * Math.exp(0.85 * normal)))
}

/** Most tokens in any window that ends at `fromMs` or later. */
export function largestWindowOf (requests: readonly TimedTokens[], fromMs = 0): number {
  let largest = 0
  let sum = 0
  let first = 0
  for (const { atMs, tokens } of requests) {
    sum += tokens
    while ((requests[first]?.atMs ?? atMs) <= atMs - tolerance.windowMs) sum -= requests[first++]?.tokens ?? 0
    if (atMs >= fromMs) largest = Math.max(largest, sum)
  }
  return largest
}

/** Sum of the tokens from one time to another. */
export function tokensBetween (requests: readonly TimedTokens[], fromMs: number, toMs: number): number {
  return requests.reduce((sum, { atMs, tokens }) => sum + (atMs >= fromMs && atMs < toMs ? tokens : 0), 0)
}

interface Report {
  from: number
  boot: number
  sequence: number
  digestSource: number
  usage: Map<TeamId, QuotaUsage>
  levels: Map<TeamId, QuotaLevels> | undefined
  grants: ReadonlyMap<string, ReadonlyMap<TeamId, QuotaLevels>>
}

const reportIntervalMs = 200
const networkMs = 2
const currentReportMs = 600
const currentDigestMs = 1_000
const youngReports = 40
const reportsWithLevels = 10

/** Plays a load; requests go to random nodes. */
export async function play ({ nodeCount, limitAt, demandPerSecond, forMs, seed, knownFromMs = 900, collectorDelayMs = [0, 3], events = [], decidesQuotas = true }: Play) {
  const clock = createManualClock()
  const random = createRandom(seed)
  const now = clock.monotonicMs
  const ids = Array.from({ length: nodeCount }, (_, index) => toId<NodeId>(`node-${String(index).padStart(4, '0')}`))
  const indexOf = new Map(ids.map((id, index) => [id, index]))
  const admitted: TimedTokens[] = []
  const refused: TimedTokens[] = []
  const counts = { requests: 0, decisions: 0 }
  const due = new Map<number, Array<() => void>>()
  let cut = new Set<number>()

  function at (atMs: number, run: () => void): void {
    const list = due.get(Math.ceil(atMs))
    if (list === undefined) due.set(Math.ceil(atMs), [run])
    else list.push(run)
  }

  /** Delivers a datagram, unless one of both ends is dead or cut off then. */
  function send (from: Node, to: number, deliver: (receiver: Node) => void): void {
    const delayMs = from.index === 0 ? collectorDelayMs[0] + random() * (collectorDelayMs[1] - collectorDelayMs[0]) : 0
    at(now() + networkMs + delayMs, () => {
      const receiver = nodes[to] as Node
      if (receiver.isAlive && !cut.has(from.index) && !cut.has(to)) deliver(receiver)
    })
  }

  function createNode (index: number, boot: number) {
    const startedAtMs = now()
    const collectors = createCollectors({ node: ids[index] as NodeId, linkMbps: 100, clock, draw: text => Number(text.slice(5)) / 10_000, takeoverAgeMs: 2_000 })
    const others = ids.filter((_, other) => other !== index).map(id => ({ node: id, linkMbps: 100 }))
    const totals = createActivityTotals({ clock, maxPrefixes: () => 0 })
    const heard = new Map<number, { boot: number, atMs: number }>()
    const digestAtMs = new Map<number, number>()
    const collectorBoots = new Map<number, number>()
    const counted = new Set<number>()
    const bootId = `${index}/${boot}`
    let source = index
    let usesCollectors = false
    let digest: { nodes: number, atMs: number } | undefined
    let sequence = 0
    let levelsUntilMs = 0
    let current = { count: 0, atMs: -Infinity }

    const knows = (): boolean => sequence > 0

    function currentCount (): number {
      if (source !== index) return digest !== undefined && digest.atMs >= now() - currentDigestMs ? digest.nodes : 0
      if (now() >= current.atMs + 20) current = { atMs: now(), count: [...heard.values()].filter(({ atMs }) => atMs >= now() - currentReportMs).length }
      return current.count
    }

    const quotas = createClusterQuotas({
      clock,
      log: () => {},
      metrics: createMetrics(),
      random,
      tolerance,
      node: ids[index] as NodeId,
      bootId,
      hasFullBuckets: boot === 0,
      reportAgeMs: () => reportIntervalMs,
      ownShare: () => knows() ? 1 / nodeCount : 1,
      reachableShare: () => knows() ? (currentCount() + 1) / nodeCount : 1,
      limitOf: () => limitAt(now()),
      decider: () => {
        if (!usesCollectors || !decidesQuotas) return 'each-node'
        if (source === index) return 'this-node'
        return (digestAtMs.get(source) ?? -Infinity) >= now() - currentDigestMs ? 'collector' : 'unreachable'
      },
      sendRequest: request => {
        counts.requests += 1
        send(node, source, collector => {
          counts.decisions += 1
          const decision = collector.quotas.decide(request)
          send(collector, index, requester => requester.quotas.onDecision(decision))
        })
      }
    })

    function sendReport (): void {
      if (!node.isAlive) return
      at(now() + reportIntervalMs, sendReport)
      const choice = collectors.choose(others, undefined)
      sequence += 1
      usesCollectors = choice.usesCollectors
      const next = choice.digestSource === undefined ? index : indexOf.get(choice.digestSource) as number
      if (next !== source) {
        source = next
        digest = undefined
        counted.clear()
      }
      const usage = new Map(quotas.localUsage())
      const report: Report = { from: index, boot, sequence, digestSource: source, usage, levels: now() < levelsUntilMs ? quotas.levels() : undefined, grants: quotas.grants() }
      totals.record(ids[index] as NodeId, bootId, { quotaUsage: usage, loads: new Map(), prefixes: [], suspects: new Map() }, sequence <= youngReports)
      quotas.onNodeReport({ node: ids[index] as NodeId, bootId, sequence, quotaUsage: usage, quotaGrants: report.grants })
      for (const target of [...choice.everyReport, ...(sequence % 2 === 0 ? choice.everySecondReport : [])]) {
        if (usesCollectors) collectors.onReportSent(target)
        send(node, indexOf.get(target) as number, receiver => receiver.onReport(report))
      }
    }

    function onActivity (from: number, fromBoot: number, usage: Map<TeamId, QuotaUsage>, levels: Map<TeamId, QuotaLevels> | undefined): void {
      const isFirst = !counted.has(from)
      counted.add(from)
      quotas.onPeerReport({ source: ids[from] as NodeId, bootId: `${from}/${fromBoot}`, usage, levels, isFirst })
    }

    function onReport (report: Report): void {
      const { from, usage, levels, grants } = report
      const id = ids[from] as NodeId
      const isNew = report.sequence <= reportsWithLevels
      if (isNew) levelsUntilMs = now() + reportsWithLevels * reportIntervalMs
      heard.set(from, { boot: report.boot, atMs: now() })
      quotas.onNodeReport({ node: id, bootId: `${from}/${report.boot}`, sequence: report.sequence, quotaUsage: usage, quotaLevels: levels, quotaGrants: grants })
      if (source === index) onActivity(from, report.boot, usage, levels)
      if (!usesCollectors) return
      totals.record(id, `${from}/${report.boot}`, { quotaUsage: usage, loads: new Map(), prefixes: [], suspects: new Map() }, report.sequence <= youngReports)
      const total = report.digestSource === index ? { usage: totals.totalsExcept(id).quotaUsage, levels: isNew ? quotas.levels() : undefined, nodes: currentCount() } : undefined
      send(node, from, receiver => receiver.onDigest(index, boot, total))
    }

    function onDigest (from: number, fromBoot: number, total: { usage: Map<TeamId, QuotaUsage>, levels: Map<TeamId, QuotaLevels> | undefined, nodes: number } | undefined): void {
      if (collectorBoots.get(from) !== fromBoot) levelsUntilMs = now() + reportsWithLevels * reportIntervalMs
      collectorBoots.set(from, fromBoot)
      collectors.onDigestReceived(ids[from] as NodeId, false, 0)
      digestAtMs.set(from, now())
      if (from !== source || total === undefined) return
      digest = { nodes: total.nodes, atMs: now() }
      onActivity(from, fromBoot, total.usage, total.levels)
    }

    const node = { index, boot, isAlive: true, quotas, onReport, onDigest }
    at(Math.max(startedAtMs, knownFromMs) + Math.floor(random() * reportIntervalMs), sendReport)
    return node
  }

  type Node = ReturnType<typeof createNode>
  const nodes: Node[] = []
  for (const index of ids.keys()) nodes.push(createNode(index, 0))

  function take (tokens: number): void {
    const node = nodes[Math.floor(random() * nodeCount)] as Node
    if (!node.isAlive) return
    const taken = node.quotas.take(team, limitAt(now()), tokens)
    const settle = (waitMs: number): void => { if (node.isAlive) (waitMs === 0 ? admitted : refused).push({ atMs: now(), tokens }) }
    if (typeof taken === 'number') settle(taken)
    else taken.then(settle)
  }

  let owedTokens = 0
  let nextTokens = requestTokens(random)
  for (let atMs = 0; atMs < forMs; atMs += 1) {
    for (const event of events) {
      if (event.atMs !== atMs) continue
      if (event.kill !== undefined) (nodes[event.kill] as Node).isAlive = false
      if (event.restart !== undefined) nodes[event.restart] = createNode(event.restart, (nodes[event.restart]?.boot ?? 0) + 1)
      if (event.cut !== undefined) cut = new Set(event.cut)
    }
    for (const run of due.get(atMs) ?? []) run()
    due.delete(atMs)
    owedTokens += demandPerSecond(atMs) / 1_000
    for (; owedTokens >= nextTokens; nextTokens = requestTokens(random)) {
      owedTokens -= nextTokens
      take(nextTokens)
    }
    await clock.advance(1)
  }
  return { admitted, refused, ...counts }
}
