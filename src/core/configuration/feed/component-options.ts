/** Options shared by the two components that fetch state for a feed: store-sync (from the service) and peer-sync (from peers). */
import type { Clock } from '../../clock/index.ts'
import type { Log } from '../../log/index.ts'
import type { Metrics } from '../../metrics/index.ts'
import type { FeedBounds } from './bounds.ts'
import type { FeedTable } from './table.ts'
import type { FeedStatus } from './types.ts'

/** Options that store-sync and peer-sync share. */
export interface FeedComponentOptions {
  prefix: string
  table: FeedTable
  clock: Clock
  log: Log
  metrics: Metrics
  bounds: FeedBounds
  random: () => number
  /** Called with each revision that the service or a peer is known to have. */
  onRevisionSeen: (revision: number) => void
  /** Called after the table has changed, with the source of the new state. */
  onStateChanged: (source: FeedStatus['source']) => void
}
