/** Intervals, timeouts and sizes of a feed. */

/** Bounds of a feed; the same on every node of a deployment. */
export interface FeedBounds {
  /** Number of nodes per failure domain that watch the service. */
  watchersPerDomain: number
  /** Number of children of a node in a push tree. */
  fanOut: number
  /** Timeout of a push to a child; after it, the node pushes to the child's own children directly. */
  pushTimeoutMs: number
  /** Average interval between comparisons with a random peer. */
  compareIntervalMs: number
  /** Timeout of one comparison with one peer. */
  compareTimeoutMs: number
  /** Number of peers tried in one comparison before the service is read instead. */
  maxPeersPerComparison: number
  /** Longest time without a successful comparison or read before the node reports that it isn't ready. */
  maxUnconfirmedMs: number
  /** Timeout of one read of the service, and of one pull from a peer. */
  serviceTimeoutMs: number
  /** Average delay before a failed read or a lost watch is retried; also the interval of the pause detection. */
  retryDelayMs: number
  /** Largest size of the changes in one push, in characters of keys and values. Larger pushes carry no changes; the receiver pulls them. */
  maxPushBytes: number
}

/**
 * Default bounds. With them a change is in effect on every node within 3 s at
 * today's size and within 6 s at 1,700 nodes, and a node that reaches neither
 * the service nor a peer stops being ready after 8 s.
 */
export const defaultFeedBounds: FeedBounds = {
  watchersPerDomain: 2,
  fanOut: 4,
  pushTimeoutMs: 400,
  compareIntervalMs: 2_000,
  compareTimeoutMs: 500,
  maxPeersPerComparison: 3,
  maxUnconfirmedMs: 8_000,
  serviceTimeoutMs: 2_000,
  retryDelayMs: 1_000,
  maxPushBytes: 64 * 1024
}
