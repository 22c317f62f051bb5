/** Nodes that share a team's quota on a manual clock, with restarts, losses of power and cuts between nodes. */
import { createManualClock } from '../../../src/core/clock/index.ts'
import { toId } from '../../../src/core/ids/index.ts'
import { createQuotas } from '../../../src/core/quota/index.ts'
import { createRandom } from '../../../src/core/random/index.ts'
import type { NodeId, TeamId } from '../../../src/core/ids/index.ts'
import type { QuotaLevels, QuotaLimit, Quotas } from '../../../src/core/quota/index.ts'

export const team = toId<TeamId>('agency')
export const limit: QuotaLimit = { perSecond: 1_000, burst: 2_000, countsTokens: true }
export const tolerance = { windowMs: 8_000, share: 0.1, extra: 1_000 }

/** What happens to the nodes at a time. */
export interface ClusterEvent {
  atMs: number
  /** Nodes that restart; all of them after a loss of power. */
  restart?: number[]
  /** Nodes that neither hear the others nor are heard from now on; an empty list ends the cut. */
  cut?: number[]
}

/** Load of one team on a cluster. */
export interface ClusterLoad {
  nodeCount: number
  /** Tokens that the team asks for per second, at a time since the start. */
  demandPerSecond: (atMs: number) => number
  tokensPerRequest: number
  events: ClusterEvent[]
  forMs: number
  seed: number
  /** Whether the first node stores low levels for the others to read at their start; true by default. */
  storesLevels?: boolean
}

/** What the callers of the team got. */
export interface ClusterResult {
  admitted: Array<{ atMs: number, tokens: number }>
  refused: Array<{ atMs: number, tokens: number }>
  /** Most tokens that were admitted in any window. */
  largestWindow: number
}

const reportIntervalMs = 200
/** Time after which a silent node counts as unreachable. */
const silentMs = 600
const stepMs = 20
/** Interval at which levels are stored, and a time to write them. */
const storeIntervalMs = 600

/** Most tokens that a team may be given in one window. */
export function allowedTokens (): number {
  return (limit.perSecond * tolerance.windowMs / 1_000 + limit.burst) * (1 + tolerance.share) + tolerance.extra
}

interface Node {
  id: NodeId
  boot: number
  quotas: Quotas
  heardAtMs: Map<number, number>
}

/** Plays a load; requests go to random nodes. */
export async function playCluster ({ nodeCount, demandPerSecond, tokensPerRequest, events, forMs, seed, storesLevels = true }: ClusterLoad): Promise<ClusterResult> {
  const clock = createManualClock()
  const random = createRandom(seed)
  const admitted: ClusterResult['admitted'] = []
  const refused: ClusterResult['refused'] = []
  let cut = new Set<number>()
  let debtTokens = 0
  let stored: { levels: Map<TeamId, QuotaLevels>, atMs: number } | undefined

  function start (index: number, boot: number): Node {
    const heardAtMs = new Map<number, number>()
    const quotas = createQuotas({
      clock,
      random,
      tolerance,
      hasFullBuckets: boot === 0,
      ownShare: () => 1 / nodeCount,
      reportAgeMs: () => reportIntervalMs / 2,
      reachableShare: () => ([...heardAtMs.values()].filter(atMs => atMs >= clock.monotonicMs() - silentMs).length + 1) / nodeCount,
      limitOf: () => limit
    })
    if (storesLevels && boot > 0) quotas.onStoredLevels(stored?.levels ?? new Map(), clock.monotonicMs() - (stored?.atMs ?? 0))
    return { id: toId<NodeId>(`node-${index}`), boot, quotas, heardAtMs }
  }

  const nodes = Array.from({ length: nodeCount }, (_, index) => start(index, 0))

  function sendReport (from: number): void {
    const sender = nodes[from] as Node
    for (const [to, receiver] of nodes.entries()) {
      if (to === from || cut.has(from) || cut.has(to)) continue
      const isFirst = !receiver.heardAtMs.has(from)
      receiver.heardAtMs.set(from, clock.monotonicMs())
      receiver.quotas.onPeerReport({ source: sender.id, bootId: `boot-${sender.boot}`, usage: copyOf(sender.quotas.localUsage()), levels: sender.quotas.levels(), isFirst })
    }
  }

  for (let atMs = 0; atMs < forMs; atMs += stepMs) {
    for (const event of events) {
      if (event.atMs !== atMs) continue
      for (const index of event.restart ?? []) nodes[index] = start(index, (nodes[index]?.boot ?? 0) + 1)
      if (event.cut !== undefined) cut = new Set(event.cut)
    }
    for (const index of nodes.keys()) if ((atMs + index * stepMs) % reportIntervalMs === 0) sendReport(index)
    const levels = atMs % storeIntervalMs === 0 ? nodes[0]?.quotas.lowLevels() : undefined
    if (levels !== undefined) stored = { levels, atMs: clock.monotonicMs() }
    debtTokens += demandPerSecond(atMs) * stepMs / 1_000
    for (; debtTokens >= tokensPerRequest; debtTokens -= tokensPerRequest) {
      const node = nodes[Math.floor(random() * nodeCount)] as Node
      const list = node.quotas.take(team, limit, tokensPerRequest) === 0 ? admitted : refused
      list.push({ atMs, tokens: tokensPerRequest })
    }
    await clock.advance(stepMs)
  }
  return { admitted, refused, largestWindow: largestWindowOf(admitted) }
}

function copyOf<Value extends object> (usage: ReadonlyMap<TeamId, Value>): Map<TeamId, Value> {
  return new Map([...usage].map(([key, value]) => [key, { ...value }]))
}

function largestWindowOf (admitted: ClusterResult['admitted']): number {
  let largest = 0
  let sum = 0
  let first = 0
  for (const { atMs, tokens } of admitted) {
    sum += tokens
    while ((admitted[first]?.atMs ?? atMs) <= atMs - tolerance.windowMs) sum -= admitted[first++]?.tokens ?? 0
    largest = Math.max(largest, sum)
  }
  return largest
}

/** Sum of the tokens from one time to another. */
export function tokensBetween (requests: ClusterResult['admitted'], fromMs: number, toMs: number): number {
  return requests.reduce((sum, { atMs, tokens }) => sum + (atMs >= fromMs && atMs < toMs ? tokens : 0), 0)
}
