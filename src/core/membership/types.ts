/** Membership of the nodes: who is alive, who leaves and who is gone, as one node sees it. */
import type { Result } from 'true-myth'
import type { CyclamenError } from '../errors/index.ts'
import type { Membership, PeerAddress } from '../peers/types.ts'

export type MemberStatus = 'alive' | 'suspect' | 'dead'

/**
 * What is known of one node. Records of one node are ordered by incarnation,
 * then by status from alive to dead; the larger one wins. Only the node itself
 * raises its incarnation, which begins at the wall time of its start, so that a
 * node that is replaced under the same id isn't taken for the one before it.
 */
export interface MemberRecord {
  address: PeerAddress
  incarnation: number
  status: MemberStatus
  /** Set for the rest of this incarnation once the node, a notice or the instance list says that it leaves. */
  leaving: boolean
}

/** One node as the platform's instance list shows it, older than it looks. */
export interface ListedNode {
  address: PeerAddress
  leaving: boolean
}

/** Reads the platform's instance list. */
export type InstanceListReader = (deadlineAtMs: number) => Promise<Result<ListedNode[], CyclamenError>>

/** Counts of one node's view. */
export interface MembershipStatus {
  live: number
  suspect: number
  leaving: number
  dead: number
  /** Whether the view of another node, or an empty list, was taken in since the start. */
  joined: boolean
}

/** Membership with the functions that the node itself calls. */
export interface NodeMembership extends Membership {
  /** All records, the dead ones that are still remembered included. */
  records: () => MemberRecord[]
  status: () => MembershipStatus
  /** Tells the peers that this node leaves; it stays reachable until it is closed. */
  leave: () => void
  /** Takes a notice from elsewhere that a node leaves. */
  noteLeaving: (node: PeerAddress['node']) => void
}
