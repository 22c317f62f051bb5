/** Timeouts and limits of the connections between nodes. */

/** Timeouts and limits that apply to each connection of a peer network. */
export interface PeerBounds {
  /** Time within which a connection must be open and both sides authenticated. */
  openTimeoutMs: number
  /** Interval of heartbeats; a ping is sent if nothing was received for half of it. */
  heartbeatIntervalMs: number
  /** A connection on which nothing was received for this time is silent and is closed; the listening side waits twice as long. */
  maxSilenceMs: number
  /** A connection that carries no messages other than heartbeats is closed after this time. */
  idleTimeoutMs: number
  /** Maximum size of a frame that is read or written. */
  maxFrameBytes: number
  /** Maximum number of bytes in the send queue of one connection. */
  maxQueuedBytes: number
  /** Maximum number of requests of one connection that are handled concurrently. */
  maxInFlight: number
  /** Maximum number of incoming connections that are not authenticated yet. */
  maxUnauthenticated: number
}

/** The values used in production. */
export const defaultPeerBounds: PeerBounds = {
  openTimeoutMs: 1_000,
  heartbeatIntervalMs: 1_000,
  maxSilenceMs: 3_000,
  idleTimeoutMs: 10_000,
  maxFrameBytes: 8 * 1024 * 1024,
  maxQueuedBytes: 16 * 1024 * 1024,
  maxInFlight: 1_024,
  maxUnauthenticated: 256
}
