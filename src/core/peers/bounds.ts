/** Bounds of the connections between nodes. */

/** Times and sizes that hold for every connection of a peer network. */
export interface PeerBounds {
  /** Time within which a connection is open and both sides have proved themselves. */
  openTimeoutMs: number
  /** A ping is sent when nothing was received for this long. */
  heartbeatIntervalMs: number
  /** A connection on which nothing was received for this long is silent and is closed. */
  maxSilenceMs: number
  /** A connection without a message, heartbeats aside, is closed after this time. */
  idleTimeoutMs: number
  /** Largest frame that is read or written. */
  maxFrameBytes: number
  /** Most bytes that wait on one connection. */
  maxQueuedBytes: number
  /** Most requests of one connection that are handled at the same time. */
  maxInFlight: number
  /** Most connections that have not yet proved themselves. */
  maxUnproven: number
}

/** Bounds of a node in service. */
export const defaultPeerBounds: PeerBounds = {
  openTimeoutMs: 1_000,
  heartbeatIntervalMs: 1_000,
  maxSilenceMs: 3_000,
  idleTimeoutMs: 10_000,
  maxFrameBytes: 8 * 1024 * 1024,
  maxQueuedBytes: 16 * 1024 * 1024,
  maxInFlight: 1_024,
  maxUnproven: 256
}
