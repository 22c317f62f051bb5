/**
 * Whom a node reports to. In a small fleet every node hears every other; in a
 * large one a few collectors hear all and answer with sums, so that datagrams
 * grow with the number of nodes and not with its square. All nodes rank the
 * same way, so they agree on the collectors without a word, as far as they
 * hear the same ones.
 */
import type { Clock } from '../clock/index.ts'
import type { NodeId } from '../ids/index.ts'
import type { RankedNode } from './types.ts'

/** Options of the choice. */
export interface CollectorsOptions extends RankedNode {
  clock: Clock
  /** A number in [0, 1) for a text, the same in every node. */
  draw: (text: string) => number
}

/** Whom to report to now. */
export interface CollectorChoice {
  /** Nodes that get every report. */
  always: NodeId[]
  /** Nodes that get every second report: they stand by, or are tried again. */
  sometimes: NodeId[]
  /** The collector whose sums count here; undefined when this node goes by what it hears itself. */
  followed: NodeId | undefined
  /** Whether this node is one of the collectors. */
  isCollector: boolean
  /** Whether the fleet is too large for each node to hear every other. */
  isLarge: boolean
}

/** The choice over time. */
export interface Collectors {
  /** Chooses among the other nodes; `duty` is the node whose duties need all reports, if known. */
  choose: (others: readonly RankedNode[], duty: NodeId | undefined) => CollectorChoice
  /** A report that wants a digest went to a node. */
  asked: (node: NodeId) => void
  answered: (node: NodeId, isDraining: boolean) => void
}

/** Nodes up to which each hears every other: their datagrams still cost less than sums would. */
const maxAllPairs = 16
/** Collectors: one whose sums count and one that stands by. */
const collectorCount = 2
/** Link from which more counts for nothing; several times what the digests of some hundred nodes take. */
const enoughLinkMbps = 100
/** Reports without an answer after which a collector counts as gone; one or two datagrams may be lost. */
const maxUnanswered = 3
/** Pause before a collector that didn't answer is tried again; the time in which a node restarts. */
const retryPauseMs = 2_000

interface Answering {
  unanswered: number
  askedAtMs: number
  isDraining: boolean
}

/** Creates the choice; every node counts as answering until it fails to. */
export function createCollectors ({ node, linkMbps, clock, draw }: CollectorsOptions): Collectors {
  const known = new Map<NodeId, Answering>()
  const ranks = new Map<NodeId, number>()

  function rankOf (other: NodeId): number {
    const rank = ranks.get(other) ?? draw(other)
    ranks.set(other, rank)
    return rank
  }

  function enoughOf (ranked: RankedNode): number {
    return Math.min(enoughLinkMbps, ranked.linkMbps)
  }

  function isAnswering (other: NodeId): boolean {
    const state = known.get(other)
    return state === undefined || (state.unanswered < maxUnanswered && !state.isDraining)
  }

  function isDueForRetry (other: NodeId): boolean {
    return clock.monotonicMs() - (known.get(other)?.askedAtMs ?? -Infinity) >= retryPauseMs
  }

  function choose (others: readonly RankedNode[], duty: NodeId | undefined): CollectorChoice {
    if (others.length < maxAllPairs) return { always: others.map(other => other.node), sometimes: [], followed: undefined, isCollector: true, isLarge: false }
    const ranked = [{ node, linkMbps }, ...others].sort((a, b) => enoughOf(b) - enoughOf(a) || rankOf(a.node) - rankOf(b.node))
    const collectors: NodeId[] = []
    const sometimes: NodeId[] = []
    for (const { node: candidate } of ranked) {
      if (collectors.length === collectorCount) break
      if (candidate === node || isAnswering(candidate)) collectors.push(candidate)
      else if (isDueForRetry(candidate)) sometimes.push(candidate)
    }
    const [first, ...standingBy] = collectors
    for (const other of [...standingBy, ...(duty === undefined ? [] : [duty])]) {
      if (other !== node && other !== first && !sometimes.includes(other)) sometimes.push(other)
    }
    const followed = first === node ? undefined : first
    return { always: followed === undefined ? [] : [followed], sometimes, followed, isCollector: collectors.includes(node), isLarge: true }
  }

  function stateOf (other: NodeId): Answering {
    const state = known.get(other) ?? { unanswered: 0, askedAtMs: -Infinity, isDraining: false }
    known.set(other, state)
    return state
  }

  return {
    choose,
    asked: other => {
      const state = stateOf(other)
      state.unanswered += 1
      state.askedAtMs = clock.monotonicMs()
    },
    answered: (other, isDraining) => {
      const state = stateOf(other)
      state.unanswered = 0
      state.isDraining = isDraining
    }
  }
}
