/** Types of the cluster membership, as one node sees it. */
import type { Result } from 'true-myth'
import type { CyclamenError } from '../errors/index.ts'
import type { Membership, PeerAddress } from '../peers/types.ts'

export type MemberStatus = 'alive' | 'suspect' | 'dead'

/**
 * The state of one node. Records of a node are ordered by incarnation, then by
 * status (alive, suspect, dead); the later one in this order replaces the other.
 * Only the node itself increments its incarnation. It starts at the wall time of the node's start, so that a
 * replacement with the same id isn't mistaken for its predecessor.
 */
export interface MemberRecord {
  address: PeerAddress
  incarnation: number
  status: MemberStatus
  /** Whether the node is leaving, according to the node itself, a call of `markLeaving` or the instance list. Stays set for this incarnation. */
  leaving: boolean
}

/** A node in the platform's instance list, which lags behind the actual state. */
export interface ListedNode {
  address: PeerAddress
  leaving: boolean
}

/** Reads the platform's instance list. The deadline is a wall time. */
export type InstanceListReader = (deadlineAtMs: number) => Promise<Result<ListedNode[], CyclamenError>>

/** Number of nodes in each state, as one node sees them. */
export interface MembershipStatus {
  live: number
  suspect: number
  leaving: number
  dead: number
  /** Whether this node has read the member records of another node, or an instance list without other nodes, since it started. */
  joined: boolean
}

/** The membership with the functions that only the node itself calls. */
export interface NodeMembership extends Membership {
  /** All records, including those of dead nodes that have not been removed yet. */
  records: () => MemberRecord[]
  status: () => MembershipStatus
  /** Notifies the peers that this node is leaving; it stays reachable until it is closed. */
  leave: () => void
  /** Marks a known node as leaving in its record, on information from outside the membership protocol. */
  markLeaving: (node: PeerAddress['node']) => void
}
