/**
 * Recognizes an order after the key-value service was restored from an older
 * copy. The copy may contain the order, at the same revision of a later era; its
 * operator may write it again, at any revision of that era.
 */
import { eraOf, revisionInEra } from '../platform/key-value/revision.ts'
import type { Clock } from '../clock/index.ts'
import type { ServiceMoveOrder } from './service-move-types.ts'

/** Time after a restore within which operators write again what they had written. */
const rewriteGraceMs = 30_000

/** What identifies an order over restores. */
export type OrderIdentity = Pick<ServiceMoveOrder, 'target' | 'durationMs' | 'revision'>

/** Whether an order is an earlier one from before a restore, from the copy or written again. */
export function isSameAfterRestore (before: OrderIdentity, after: OrderIdentity): boolean {
  return eraOf(after.revision) > eraOf(before.revision) && after.target === before.target && after.durationMs === before.durationMs
}

/** Follows one order over restores on one node. */
export interface OrderContinuity {
  readonly current: ServiceMoveOrder
  /** Takes an order over as the current one if it is the same; returns whether it is. */
  follow: (order: ServiceMoveOrder) => boolean
  /** Whether a record at this revision must be written again: later orders with the same target and time would pass for this one, though operators have had the time to write theirs again. */
  isOutdated: (recordedRevision: number | undefined) => boolean
}

/** Begins to follow an order; `recordedRevision` is its revision in the record of its move, if there is one. */
export function createOrderContinuity (clock: Clock, order: ServiceMoveOrder, recordedRevision = order.revision): OrderContinuity {
  let current = order
  /** The latest revision at which the operator is known to have written the order. */
  let writtenRevision = recordedRevision
  let learnedAtMs = clock.monotonicMs()

  /** Whether the order is written again although the copy contained it, too. */
  function isWrittenOverCopy (next: ServiceMoveOrder): boolean {
    return isSameAfterRestore({ ...current, revision: writtenRevision }, next) && clock.monotonicMs() < learnedAtMs + rewriteGraceMs
  }

  function follow (next: ServiceMoveOrder): boolean {
    if (next.revision === current.revision) return true
    const isLaterEra = isSameAfterRestore(current, next)
    if (!isLaterEra && !isWrittenOverCopy(next)) return false
    if (isLaterEra) learnedAtMs = clock.monotonicMs()
    if (revisionInEra(next.revision) !== revisionInEra(current.revision)) writtenRevision = next.revision
    current = next
    return true
  }

  return {
    get current () { return current },
    follow,
    isOutdated: recorded => recorded !== undefined && recorded !== current.revision && clock.monotonicMs() >= learnedAtMs + rewriteGraceMs
  }
}
