/** Whether a node serves, leaves or refuses. */
export interface LifeState {
  /** The balancer is told to look elsewhere. */
  leaving: boolean
  /** New requests are refused. */
  draining: boolean
}
