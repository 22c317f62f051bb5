/**
 * Decides which limit of a backend server is in force. Responses overtake one another, and the
 * clocks of nodes differ, so each response only tells that its head was written between the
 * sending of its request and the reading of the head. One response is later than another if its
 * request was sent after the other's head had been read. Where the order is unknown, the lower limit holds.
 */

/** A response of a backend server. Times are monotonic, of this node. */
export interface LimitResponse {
  /** Undefined if it named no limit. */
  perSecond: number | undefined
  sentAtMs: number
  readAtMs: number
}

/** The responses that decide about a backend server's limit. */
export interface LimitEvidence {
  named: LimitResponse & { perSecond: number }
  /** The latest request whose response named no limit. */
  cleared: LimitResponse | undefined
}

/** Difference up to which the times of two responses may be those of one, told by several nodes. */
export const reportDelayMs = 200

function isNamed (response: LimitResponse): response is LimitEvidence['named'] {
  return response.perSecond !== undefined
}

function laterNamed (known: LimitEvidence['named'], next: LimitEvidence['named'], delayMs: number): LimitEvidence['named'] {
  if (next.perSecond === known.perSecond) return next.readAtMs > known.readAtMs + delayMs ? next : known
  if (next.sentAtMs >= known.readAtMs) return next
  if (known.sentAtMs >= next.readAtMs) return known
  return next.perSecond < known.perSecond ? next : known
}

/**
 * Adds a response; undefined if no limit is known. A report that several nodes pass on appears a little later
 * with each, so the same limit is no news if it was read no later than `delayMs` after the known one; 0 for own responses.
 */
export function addResponse (known: LimitEvidence | undefined, next: LimitResponse, delayMs: number): LimitEvidence | undefined {
  if (isNamed(next)) return known === undefined ? { named: next, cleared: undefined } : { ...known, named: laterNamed(known.named, next, delayMs) }
  if (known === undefined || next.sentAtMs <= (known.cleared?.sentAtMs ?? -Infinity)) return known
  return { ...known, cleared: next }
}

/** Whether the limit is in force: no request that was sent after it had been read got a response without one. */
export function isInForce ({ named, cleared }: LimitEvidence): boolean {
  return cleared === undefined || cleared.sentAtMs < named.readAtMs
}
