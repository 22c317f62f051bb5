/** Timing and limits of the membership protocol, the same on every node of a deployment. */
export interface MembershipBounds {
  /** Protocol period. Each probes one peer: by a direct ping and, if that fails, by indirect pings. */
  periodMs: number
  /** Timeout of a direct ping. */
  pingTimeoutMs: number
  /** Timeout of indirect pings through other peers, after the direct ping failed. */
  indirectTimeoutMs: number
  /** Number of peers that are asked to ping the probed peer, each by one indirect ping. */
  indirectProbeCount: number
  /** Mean interval between two reads of the platform's instance list. */
  listIntervalMs: number
  /** Timeout of one read of the list. */
  listTimeoutMs: number
  /** Time after which a dead node that is no longer in the instance list is removed. */
  deadRetentionMs: number
  /** Number of periods between two direct pings to dead nodes that are still in the instance list; each goes to one of them. */
  periodsPerDeadProbe: number
}

/** The values used in production. */
export const defaultMembershipBounds: MembershipBounds = {
  periodMs: 1_000,
  pingTimeoutMs: 300,
  indirectTimeoutMs: 500,
  indirectProbeCount: 3,
  listIntervalMs: 10_000,
  listTimeoutMs: 2_000,
  deadRetentionMs: 600_000,
  periodsPerDeadProbe: 5
}

/** Minimum number of periods for which a node stays suspect before it is declared dead. */
const minSuspicionPeriods = 3

/**
 * Number of periods for which a node stays suspect: enough for the suspicion to reach
 * the node and for its refutation, the node's own record that it is alive, to come
 * back, both O(log n) (SWIM, sections 4.1 and 4.2).
 */
export function suspicionPeriods (memberCount: number): number {
  return Math.max(minSuspicionPeriods, Math.ceil(Math.log2(memberCount + 1)))
}
