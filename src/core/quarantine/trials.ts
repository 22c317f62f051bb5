/**
 * Limits the requests with suspected features that are under way over
 * all nodes. Nodes take turns at random without agreement: each one sends such a
 * request at most once in an interval that grows with the number of nodes, and none
 * while it knows of one under way at another node.
 */
import type { Clock } from '../clock/index.ts'
import type { NodeId } from '../ids/index.ts'

/** Options of the trials. */
export interface TrialsOptions {
  clock: Clock
  random: () => number
  nodeCount: () => number
}

/** Trials of suspected combinations, by their key. */
export interface Trials {
  /** Returns whether a request may be sent now; if so, it counts as under way until `release`. */
  take: (key: string) => boolean
  /** The same without turns, as long as none is known to be under way. */
  takeIfNone: (key: string) => boolean
  release: (key: string) => void
  /** The combinations that have a request under way at this node, or, for a digest, at any node but one. */
  underWay: (options?: { exceptNode: NodeId }) => string[]
  setUnderWay: (source: NodeId, keys: readonly string[]) => void
}

/** Time between two trials over all nodes; a usual time to the first token of a prompt without a queue. */
const intervalMs = 300
/** Time after which a report of another node's trial no longer counts. */
const maxReportAgeMs = 1_000
/** Time after which a combination without requests is forgotten. */
const idleMs = 60_000
const maxCombinations = 256

/** Creates trials without any under way. */
export function createTrials ({ clock, random, nodeCount }: TrialsOptions): Trials {
  const nextAtMs = new Map<string, number>()
  const own = new Set<string>()
  const bySource = new Map<NodeId, { keys: readonly string[], receivedAtMs: number }>()

  function forgetIdle (nowMs: number): void {
    for (const [key, atMs] of nextAtMs) {
      if (nextAtMs.size <= maxCombinations && nowMs - atMs < idleMs) break
      nextAtMs.delete(key)
    }
  }

  function keysOfOthers (exceptNode?: NodeId): string[] {
    const oldestMs = clock.monotonicMs() - maxReportAgeMs
    return [...bySource].flatMap(([source, { keys, receivedAtMs }]) => source !== exceptNode && receivedAtMs >= oldestMs ? keys : [])
  }

  function isUnderWay (key: string): boolean {
    return own.has(key) || keysOfOthers().includes(key)
  }

  function takeIfNone (key: string): boolean {
    if (isUnderWay(key)) return false
    own.add(key)
    return true
  }

  function take (key: string): boolean {
    const nowMs = clock.monotonicMs()
    const periodMs = intervalMs * Math.max(1, nodeCount())
    const dueAtMs = nextAtMs.get(key) ?? nowMs + random() * periodMs
    nextAtMs.delete(key)
    const isAllowed = nowMs >= dueAtMs && !isUnderWay(key)
    nextAtMs.set(key, isAllowed ? nowMs + periodMs : dueAtMs)
    forgetIdle(nowMs)
    if (isAllowed) own.add(key)
    return isAllowed
  }

  return {
    take,
    takeIfNone,
    release: key => { own.delete(key) },
    underWay: options => options === undefined ? [...own] : [...new Set([...own, ...keysOfOthers(options.exceptNode)])],
    setUnderWay: (source, keys) => {
      bySource.delete(source)
      if (keys.length > 0) bySource.set(source, { keys: [...keys], receivedAtMs: clock.monotonicMs() })
    }
  }
}
