/**
 * Counts the requests that began to run, by team and window of the wall clock,
 * over all nodes and all runs of their processes.
 */
import type { Clock } from '../clock/index.ts'
import type { NodeId, TeamId } from '../ids/index.ts'
import type { Usage, WindowCounts } from './types.ts'

export type * from './types.ts'
export { createUsageReporter } from './reporter.ts'
export type { UsageReportResult, UsageReporter } from './reporter.ts'

/** Options of the usage counts. */
export interface UsageOptions {
  clock: Clock
  windowMs: number
}

/** Number of past windows that are kept and sent to other nodes, so that a new reporter can report them. */
const keptWindows = 5

/** Creates empty usage counts. */
export function createUsage ({ clock, windowMs }: UsageOptions): Usage {
  const ownCounts = new Map<number, WindowCounts>()
  const peers = new Map<string, Map<number, ReadonlyMap<TeamId, number>>>()

  function windowAt (wallMs: number): number {
    return Math.floor(wallMs / windowMs)
  }

  function deleteOldWindows (windows: Map<number, unknown>): void {
    const oldest = windowAt(clock.wallMs()) - keptWindows
    for (const window of windows.keys()) if (window < oldest) windows.delete(window)
  }

  function recordStart (team: TeamId): void {
    const window = windowAt(clock.wallMs())
    const counts = ownCounts.get(window) ?? new Map<TeamId, number>()
    counts.set(team, (counts.get(team) ?? 0) + 1)
    if (!ownCounts.has(window)) {
      ownCounts.set(window, counts)
      deleteOldWindows(ownCounts)
    }
  }

  function mergePeerCounts (from: NodeId, bootId: string, windows: ReadonlyMap<number, ReadonlyMap<TeamId, number>>): void {
    const key = `${from}/${bootId}`
    const known = peers.get(key) ?? new Map<number, ReadonlyMap<TeamId, number>>()
    for (const [window, counts] of windows) known.set(window, counts)
    deleteOldWindows(known)
    peers.set(key, known)
    for (const [other, otherWindows] of peers) {
      deleteOldWindows(otherWindows)
      if (otherWindows.size === 0 && other !== key) peers.delete(other)
    }
  }

  function totalOf (window: number): WindowCounts {
    const sum: WindowCounts = new Map()
    for (const windows of [ownCounts, ...peers.values()]) {
      for (const [team, count] of windows.get(window) ?? []) sum.set(team, (sum.get(team) ?? 0) + count)
    }
    return sum
  }

  return { recordStart, windowAt, ownCounts: () => ownCounts, mergePeerCounts, totalOf }
}
