/** Types of the usage counts: requests that began to run, by team and time window. */
import type { NodeId, TeamId } from '../ids/index.ts'

/** Requests per team in one window. */
export type WindowCounts = Map<TeamId, number>

/** The usage counts known to one node. */
export interface Usage {
  /** Counts a request of a team that began to run now. */
  recordStart: (team: TeamId) => void
  /** Number of the window that contains a wall time; window 0 began at the Unix epoch in 1970. */
  windowAt: (wallMs: number) => number
  /** Counts of this node in the latest windows. */
  ownCounts: () => Map<number, WindowCounts>
  /** Stores the counts of another node; they replace earlier ones with the same `bootId`, that is of the same process run. */
  mergePeerCounts: (from: NodeId, bootId: string, windows: ReadonlyMap<number, ReadonlyMap<TeamId, number>>) => void
  /** Sum over all nodes and process runs. */
  totalOf: (window: number) => WindowCounts
}
