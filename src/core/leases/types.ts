/**
 * A duty is a task that one node at a time carries out, such as the version moves
 * or the fleet of a team. The node holds the duty by a key under its lease.
 */
import type Emittery from 'emittery'
import type { Compare } from '../platform/key-value/types.ts'

/** Fencing number and deadline for an order to a backend server. */
export interface OrderWindow {
  fencingNumber: number
  /** Wall time by which the order must be finished; the lease is certainly valid until then. */
  deadlineAtMs: number
}

/** A duty that this node campaigns for or holds. */
export interface Duty {
  readonly name: string
  /**
   * The fencing number if this node certainly holds the duty at the time of the
   * call; undefined otherwise. To be called before each action. The number
   * increases with every holder for the lifetime of the key-value service.
   */
  fencingNumber: () => number | undefined
  /** Compare for transactions that may apply only while this node holds the duty; undefined when it doesn't. */
  guard: () => Compare | undefined
  /**
   * Fencing number and deadline for an order; undefined when none may be sent. A
   * backend server that ignores fencing numbers (`checksFencing` is false) gets
   * no orders until the longest order of the previous holder has ended.
   */
  orderWindow: (checksFencing: boolean) => OrderWindow | undefined
  /** Resigns from the duty and stops campaigning for it. */
  close: () => Promise<void>
}

/** A duty that was acquired or lost. */
export interface DutyChange {
  duty: string
  fencingNumber: number
}

/** Events of the duties of a node. */
export interface DutyEvents {
  taken: DutyChange
  lost: DutyChange
}

/** The duties of one node, all under one lease. */
export interface Duties {
  /** Starts to campaign for a duty: acquires it when it is free and this node should hold it. */
  campaign: (name: string) => Duty
  /** Duties that this node certainly holds at the time of the call. */
  held: () => DutyChange[]
  readonly events: Emittery<DutyEvents>
  /** Resigns from all duties and revokes the lease. */
  close: () => Promise<void>
}
