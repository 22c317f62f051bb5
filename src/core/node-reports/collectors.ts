/**
 * Chooses the nodes to report to. In a small cluster every node reports to every
 * other. In a large one all nodes report to a few collectors, which respond with
 * totals, so that the number of datagrams grows linearly with the number of nodes,
 * not quadratically. All nodes rank the candidates in the same way, so they agree on
 * the collectors without communication as long as the same nodes respond to them.
 */
import type { Clock } from '../clock/index.ts'
import type { NodeId } from '../ids/index.ts'
import type { RankedNode } from './types.ts'

/** Options for choosing collectors. */
export interface CollectorsOptions extends RankedNode {
  clock: Clock
  /** Maps a text to a number in [0, 1), equal on every node. */
  draw: (text: string) => number
}

/** The nodes to report to. */
export interface CollectorChoice {
  /** Nodes that get every report. */
  everyReport: NodeId[]
  /** Nodes that get every second report: standby collectors, the duty holder and failed collectors that are tried again. */
  everySecondReport: NodeId[]
  /** The collector whose digests this node uses; undefined if it uses the reports that it receives itself. */
  digestSource: NodeId | undefined
  /** Whether this node is one of the collectors. */
  isCollector: boolean
  /** Whether the cluster is so large that nodes report to collectors instead of to each other. */
  usesCollectors: boolean
}

/** Chooses collectors and tracks which of them respond. */
export interface Collectors {
  /** Chooses among the other nodes, which are ranked anew only when `others` is another array; `dutyHolder` is the node whose duties need all reports, if known. With `isDraining` this node is about to stop, so that the others no longer report to it. */
  choose: (others: readonly RankedNode[], dutyHolder: NodeId | undefined, isDraining?: boolean) => CollectorChoice
  /** Must be called when a report that wants a digest is sent to a node. */
  onReportSent: (node: NodeId) => void
  /** Must be called when a digest from a node is received; `contentAgeMs` is the age of its content, undefined if the digest has only a part of it. */
  onDigestReceived: (node: NodeId, isDraining: boolean, contentAgeMs: number | undefined) => void
  /** Age of the most recent content that other nodes reported. */
  peerContentAgeMs: () => number
}

/** Maximum number of nodes with reports between all pairs; up to it, these datagrams cost less than totals. */
const maxAllPairsNodes = 16
/** Number of collectors: one whose totals are used and one on standby. */
const collectorCount = 2
/** Bandwidth above which more is no advantage; several times what the digests for some hundred nodes need. */
const sufficientLinkMbps = 100
/** Number of reports without a digest after which a collector counts as failed; one or two datagrams may be lost. */
const maxUnanswered = 3
/** Interval at which a collector that doesn't respond is tried again; about the time in which a node restarts. */
const retryPauseMs = 2_000

interface CollectorState {
  unanswered: number
  lastReportSentAtMs: number
  isDraining: boolean
}

/** Creates the collector choice; every node counts as responding until it fails to respond. */
export function createCollectors ({ node, linkMbps, clock, draw }: CollectorsOptions): Collectors {
  const states = new Map<NodeId, CollectorState>()
  let peerContentAtMs = -Infinity
  let rankedOthers: readonly RankedNode[] = []
  let ranked: RankedNode[] = []

  /** All nodes in the order in which they become collectors; sorted again only for another array. */
  function rankNodes (others: readonly RankedNode[]): RankedNode[] {
    if (others === rankedOthers) return ranked
    const draws = new Map([{ node, linkMbps }, ...others].map(other => [other.node, draw(other.node)]))
    rankedOthers = others
    ranked = [{ node, linkMbps }, ...others].sort((a, b) => cappedLinkMbps(b) - cappedLinkMbps(a) || (draws.get(a.node) ?? 0) - (draws.get(b.node) ?? 0))
    return ranked
  }

  function cappedLinkMbps (ranked: RankedNode): number {
    return Math.min(sufficientLinkMbps, ranked.linkMbps)
  }

  function isResponding (other: NodeId): boolean {
    const state = states.get(other)
    return state === undefined || (state.unanswered < maxUnanswered && !state.isDraining)
  }

  function isDueForRetry (other: NodeId): boolean {
    return clock.monotonicMs() - (states.get(other)?.lastReportSentAtMs ?? -Infinity) >= retryPauseMs
  }

  function choose (others: readonly RankedNode[], dutyHolder: NodeId | undefined, isDraining = false): CollectorChoice {
    if (others.length < maxAllPairsNodes) return { everyReport: others.map(other => other.node), everySecondReport: [], digestSource: undefined, isCollector: true, usesCollectors: false }
    const collectors: NodeId[] = []
    const everySecondReport: NodeId[] = []
    for (const { node: candidate } of rankNodes(others)) {
      if (collectors.length === collectorCount) break
      if (candidate === node ? !isDraining : isResponding(candidate)) collectors.push(candidate)
      else if (candidate !== node && isDueForRetry(candidate)) everySecondReport.push(candidate)
    }
    const [first, ...standby] = collectors
    for (const other of [...standby, ...(dutyHolder === undefined ? [] : [dutyHolder])]) {
      if (other !== node && other !== first && !everySecondReport.includes(other)) everySecondReport.push(other)
    }
    const digestSource = first === node ? undefined : first
    return { everyReport: digestSource === undefined ? [] : [digestSource], everySecondReport, digestSource, isCollector: collectors.includes(node), usesCollectors: true }
  }

  function stateOf (other: NodeId): CollectorState {
    const state = states.get(other) ?? { unanswered: 0, lastReportSentAtMs: -Infinity, isDraining: false }
    states.set(other, state)
    return state
  }

  return {
    choose,
    onReportSent: other => {
      const state = stateOf(other)
      state.unanswered += 1
      state.lastReportSentAtMs = clock.monotonicMs()
    },
    onDigestReceived: (other, isDraining, contentAgeMs) => {
      const state = stateOf(other)
      state.unanswered = 0
      state.isDraining = isDraining
      if (contentAgeMs !== undefined) peerContentAtMs = Math.max(peerContentAtMs, clock.monotonicMs() - contentAgeMs)
    },
    peerContentAgeMs: () => clock.monotonicMs() - peerContentAtMs
  }
}
