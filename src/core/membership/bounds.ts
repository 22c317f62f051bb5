/** Times of the membership protocol. */

/** Times that hold for every node of a deployment. */
export interface MembershipBounds {
  /** One peer is probed in each period. */
  periodMs: number
  /** Time for a direct answer. */
  pingTimeoutMs: number
  /** Time for an answer through other peers, after the direct one failed. */
  indirectTimeoutMs: number
  /** Peers that are asked to probe for this node. */
  indirectProbes: number
  /** Time between two reads of the platform's instance list. */
  listIntervalMs: number
  /** Time for one read of the list. */
  listTimeoutMs: number
  /** Time after which a dead node that the list no longer shows is forgotten. */
  forgetAfterMs: number
  /** One dead node that the list still shows is probed every so many periods. */
  periodsPerRevival: number
}

/** Times of a node in service. */
export const defaultMembershipBounds: MembershipBounds = {
  periodMs: 1_000,
  pingTimeoutMs: 300,
  indirectTimeoutMs: 500,
  indirectProbes: 3,
  listIntervalMs: 10_000,
  listTimeoutMs: 2_000,
  forgetAfterMs: 600_000,
  periodsPerRevival: 5
}

/** Fewest periods that a node stays suspect before it is taken for dead. */
const minSuspicionPeriods = 3

/**
 * Periods that a node stays suspect: enough for the suspicion to reach it and for
 * its refutation to come back, both of the order of log n (SWIM, sections 4.1 and 4.2).
 */
export function suspicionPeriods (memberCount: number): number {
  return Math.max(minSuspicionPeriods, Math.ceil(Math.log2(memberCount + 1)))
}
