/** The public interface of a node, used by the command line and by tests. */
import type { Clock } from '../clock/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { NodeSettings } from '../settings/index.ts'

/** Options of a node. */
export interface NodeOptions {
  settings: NodeSettings
  log: Log
  clock?: Clock
  metrics?: Metrics
  /** Returns uniformly distributed numbers from 0 to 1; seeded in tests. */
  random?: () => number
}

/** A running node. */
export interface Node {
  /** Port that callers connect to. */
  readonly callerPort: number
  readonly metrics: Metrics
  status: () => Promise<unknown>
  /**
   * Stops without aborting open requests: the node is no longer ready at once,
   * open requests finish or are handed over to a peer by the wall time
   * `endAtMs`, then everything closes.
   */
  drain: (endAtMs: number) => Promise<void>
  /** Stops at once; open requests are aborted. */
  close: () => Promise<void>
}
