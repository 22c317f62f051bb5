/** Intervals, timeouts and sizes of the instance feed. */

/** Bounds of the instance feed; the same on every node of a deployment. */
export interface InstanceFeedBounds {
  /** Number of nodes per failure domain that read the list. */
  watchersPerDomain: number
  /** Number of children of a node in a push tree. */
  fanOut: number
  /** Interval between a watcher's reads, and of the periodic task on the other nodes. */
  readIntervalMs: number
  /** Timeout of one read of the list. */
  readTimeoutMs: number
  /** Average interval between comparisons with a watcher. */
  compareIntervalMs: number
  /** Timeout of one request to a watcher. */
  requestTimeoutMs: number
  /** Timeout of a push to a child; after it, the node pushes to the child's own children directly. */
  pushTimeoutMs: number
  /** Time without a successful comparison after which a node reads the list itself; also the time for which a read counts as fresh. */
  maxUnconfirmedMs: number
  /** Largest lag between two reads of the list, which is eventually consistent. A known entry older than this yields to a watcher's own read. */
  maxListLagMs: number
  /** Time for which the tombstone of a removed backend server is kept, so that an older message doesn't restore it. */
  tombstoneTtlMs: number
  /** Largest number of entries in one push. */
  maxEntriesPerMessage: number
}

/** Default bounds. */
export const defaultInstanceFeedBounds: InstanceFeedBounds = {
  watchersPerDomain: 2,
  fanOut: 4,
  readIntervalMs: 1_000,
  readTimeoutMs: 2_000,
  compareIntervalMs: 5_000,
  requestTimeoutMs: 1_000,
  pushTimeoutMs: 400,
  maxUnconfirmedMs: 10_000,
  maxListLagMs: 30_000,
  tombstoneTtlMs: 600_000,
  maxEntriesPerMessage: 200
}
