/** A node as the command line and tests see it. */
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
  /** Even draws from 0 to 1; seeded in tests. */
  random?: () => number
}

/** A running node. */
export interface Node {
  /** Port that callers connect to. */
  readonly callerPort: number
  readonly metrics: Metrics
  status: () => Promise<unknown>
  /**
   * Stops without cutting a request in flight: not ready at once, open work is
   * finished or handed to a peer by the wall time given, then everything closes.
   */
  drain: (endAtMs: number) => Promise<void>
  /** Stops at once. */
  close: () => Promise<void>
}
