/** Decides whether a backend server may get a request from this node now, and why not. */

/** Why a backend server gets no requests, or fewer ones. */
export type IneligibleReason =
  /** It is about to stop, by its registration, its own responses or those that other nodes got. */
  | 'leaving'
  /** Its failure domain is evacuated. */
  | 'evacuated'
  /** It asked this node for a pause. */
  | 'paused'
  /** It limits its requests, and this node has no permit for this one. */
  | 'limited'
  /** Its pause, its limit or the evacuation of its failure domain has ended, and its load returns gradually. */
  | 'resuming'
  /** Another backend server was found at its address. */
  | 'misdirected'
  /** A move to another version has ended, and it is being stopped. */
  | 'replaced'
  /** Its registration reappeared when the key-value service was restored, after it had been removed. */
  | 'unconfirmed'
  /** This node's latest attempts could not reach it. */
  | 'suspected'
  /** Other nodes can't reach it. */
  | 'avoided'

/** What a node knows of a backend server. Times are monotonic, in ms. */
export interface EligibilityInput {
  isLeaving: boolean
  isMisdirected: boolean
  /** Whether its failure domain is evacuated, and the time at which the latest evacuation ended; -Infinity if there was none. */
  isEvacuated: boolean
  evacuationEndedAtMs: number
  unconfirmedUntilMs: number
  pausedUntilMs: number
  /** Whether the limit that it named allows this request now; true without a limit. */
  hasPermit: boolean
  /** Time at which its limit ended; -Infinity if there was none. */
  limitEndedAtMs: number
  suspectUntilMs: number
  isAvoided: boolean
  /** Whether a move to another version has ended, so that it is being stopped. */
  isReplaced: boolean
}

/** Time over which the load of a backend server returns after its pause, its limit or an evacuation. */
export const resumeMs = 2_000

/** Returns why a backend server should get no request, the strongest reason first; undefined if it may get one. `draw` is a random number in [0, 1). */
export function ineligibleReason (input: EligibilityInput, nowMs: number, draw: number): IneligibleReason | undefined {
  if (input.isMisdirected) return 'misdirected'
  if (input.isLeaving) return 'leaving'
  if (input.isEvacuated) return 'evacuated'
  if (nowMs < input.pausedUntilMs) return 'paused'
  if (!input.hasPermit) return 'limited'
  if (nowMs < input.unconfirmedUntilMs) return 'unconfirmed'
  if (nowMs < input.suspectUntilMs) return 'suspected'
  if (input.isAvoided) return 'avoided'
  if (input.isReplaced) return 'replaced'
  const resumesFromMs = Math.max(input.pausedUntilMs, input.limitEndedAtMs, input.evacuationEndedAtMs)
  return nowMs < resumesFromMs + resumeMs && draw >= (nowMs - resumesFromMs) / resumeMs ? 'resuming' : undefined
}

/** Whether a backend server with this reason takes requests again by itself, usually within seconds. */
export function isHeldBack (reason: IneligibleReason): boolean {
  return reason === 'paused' || reason === 'limited'
}

/** Whether a backend server with this reason may still be used when no other is eligible: the reason may be wrong, or isn't binding. */
export function isLastResort (reason: IneligibleReason): boolean {
  return reason === 'suspected' || reason === 'avoided' || reason === 'resuming' || reason === 'replaced'
}

const msPerSecond = 1_000

/** Parses a `Retry-After` in seconds, with fractions, to ms; undefined if it isn't a number of seconds. */
export function parseRetryAfterMs (text: string | undefined): number | undefined {
  if (text === undefined || text.trim() === '') return undefined
  const seconds = Number(text)
  return Number.isFinite(seconds) && seconds >= 0 ? seconds * msPerSecond : undefined
}
