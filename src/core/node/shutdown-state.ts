/** Progress of a node's shutdown; both are false while it serves. */
export interface ShutdownState {
  /** The node reports that it isn't ready, so that the load balancer uses other nodes. */
  leaving: boolean
  /** The node refuses new requests. */
  draining: boolean
}
