/**
 * Chooses the nodes to report to. In a small cluster every node reports to every
 * other. In a large one all nodes report to a few collectors, which respond with
 * totals, so that the number of datagrams grows linearly with the number of nodes,
 * not quadratically. All nodes rank the candidates in the same way, so they agree on
 * the collectors without communication as long as the same nodes respond to them.
 *
 * The collectors also watch the key-value service for the others. If the service doesn't
 * respond to them, the next nodes by rank watch it in their place, and the collectors
 * stay what else they are.
 */
import type { Clock } from '../clock/index.ts'
import type { NodeId } from '../ids/index.ts'
import type { RankedNode } from './types.ts'

/** Options for choosing collectors. */
export interface CollectorsOptions extends RankedNode {
  clock: Clock
  /** Maps a text to a number in [0, 1), equal on every node. */
  draw: (text: string) => number
  /** Age of a node's content from which another one watches the key-value service in its place. */
  takeoverAgeMs: number
}

/** The nodes to report to. */
export interface CollectorChoice {
  /** Nodes that get every report. */
  everyReport: NodeId[]
  /** Nodes that get every second report: standby collectors, other nodes that watch the key-value service, the duty holder and failed ones that are tried again. */
  everySecondReport: NodeId[]
  /** The collector whose digests this node uses; undefined if it uses the reports that it receives itself. */
  digestSource: NodeId | undefined
  /** Whether this node is one of the collectors. */
  isCollector: boolean
  /** The nodes that watch the key-value service for the others, by rank; may contain this node. */
  watchers: NodeId[]
  /** Whether this node watches the key-value service for the others. */
  isWatcher: boolean
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
/** Interval at which a collector that doesn't respond, or a watching node without current content, is tried again; about the time in which a node restarts. */
const retryPauseMs = 2_000
/** Number of nodes, in the order of their rank, among which those that watch the key-value service are chosen. Bounds the reports while it responds to none. */
const maxWatcherCandidates = 8
/** Time that a node has to report content after others begin to depend on it: a report, its own first read of the service, and another report. */
const takeoverMs = 1_000
/** Longest pause between the reports to a node that is only tried again. */
const maxReportPauseMs = 1.5 * retryPauseMs

interface CollectorState {
  unanswered: number
  lastReportSentAtMs: number
  isDraining: boolean
  /** Time up to which the node knew all changes. */
  contentAtMs: number
  /** Time until which the node counts as one with current content, because others have just begun to depend on it. */
  takesOverUntilMs: number
}

/** Creates the collector choice; every node counts as responding until it fails to respond. */
export function createCollectors ({ node, linkMbps, clock, draw, takeoverAgeMs }: CollectorsOptions): Collectors {
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

  function isCurrent (other: NodeId): boolean {
    const nowMs = clock.monotonicMs()
    const { contentAtMs, takesOverUntilMs } = stateOf(other)
    return nowMs - contentAtMs < takeoverAgeMs || nowMs < takesOverUntilMs
  }

  /** Gives a node to which no reports went of late the time to watch the service. */
  function startTakeover (other: NodeId): void {
    const nowMs = clock.monotonicMs()
    const state = stateOf(other)
    if (nowMs - state.lastReportSentAtMs > maxReportPauseMs) state.takesOverUntilMs = nowMs + takeoverMs
  }

  /** Chooses the nodes that watch the service: the first by rank with current content, or those that may have it soon. */
  function chooseWatchers (isDraining: boolean): { watchers: NodeId[], retried: NodeId[] } {
    const watchers: NodeId[] = []
    const retried: NodeId[] = []
    for (const { node: candidate } of ranked.slice(0, maxWatcherCandidates)) {
      if (watchers.length === collectorCount) break
      if (candidate !== node) startTakeover(candidate)
      if (candidate === node ? !isDraining : isResponding(candidate) && isCurrent(candidate)) watchers.push(candidate)
      else if (candidate !== node && isDueForRetry(candidate)) retried.push(candidate)
    }
    return { watchers, retried }
  }

  function choose (others: readonly RankedNode[], dutyHolder: NodeId | undefined, isDraining = false): CollectorChoice {
    if (others.length < maxAllPairsNodes) return { everyReport: others.map(other => other.node), everySecondReport: [], digestSource: undefined, isCollector: true, watchers: [], isWatcher: true, usesCollectors: false }
    const collectors: NodeId[] = []
    const everySecondReport: NodeId[] = []
    for (const { node: candidate } of rankNodes(others)) {
      if (collectors.length === collectorCount) break
      if (candidate === node ? !isDraining : isResponding(candidate)) collectors.push(candidate)
      else if (candidate !== node && isDueForRetry(candidate)) everySecondReport.push(candidate)
    }
    const [first, ...standby] = collectors
    const { watchers, retried } = chooseWatchers(isDraining)
    for (const other of [...standby, ...watchers, ...retried, ...(dutyHolder === undefined ? [] : [dutyHolder])]) {
      if (other !== node && other !== first && !everySecondReport.includes(other)) everySecondReport.push(other)
    }
    const digestSource = first === node ? undefined : first
    return { everyReport: digestSource === undefined ? [] : [digestSource], everySecondReport, digestSource, isCollector: collectors.includes(node), watchers, isWatcher: watchers.includes(node), usesCollectors: true }
  }

  function stateOf (other: NodeId): CollectorState {
    const state = states.get(other) ?? { unanswered: 0, lastReportSentAtMs: -Infinity, isDraining: false, contentAtMs: -Infinity, takesOverUntilMs: -Infinity }
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
      if (contentAgeMs === undefined) return
      state.contentAtMs = Math.max(state.contentAtMs, clock.monotonicMs() - contentAgeMs)
      peerContentAtMs = Math.max(peerContentAtMs, state.contentAtMs)
    },
    peerContentAgeMs: () => clock.monotonicMs() - peerContentAtMs
  }
}
