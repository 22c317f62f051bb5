/** Observes whether the old version of a service move has backend servers left. */
import type { Clock } from '../clock/index.ts'
import type { OrderContinuity } from './order-continuity.ts'

/** Time without a backend server of the old version after which none is expected back: longer than a restart takes. */
const goneForGoodMs = 10_000

/** Options of `createOldVersion`. */
export interface OldVersionOptions {
  clock: Clock
  /** Whether a backend server of the old version is registered and not leaving. */
  hasServers: () => boolean
  continuity: Pick<OrderContinuity, 'isSettled' | 'isRestored'>
  /** Called when the old version is found to have no backend server left, or to have one again. */
  onChange: (isGone: boolean) => void
}

/** The old version of one move, as one node sees it. */
export interface OldVersion {
  /** Whether its registrations can be believed; until then it isn't known which version requests fail for. */
  isCertain: () => boolean
  /** Whether it has backend servers that can take the requests back. After a restore these may have stopped because of a lost result, and only be registered in the copy. */
  canTakeBack: () => boolean
  /** Whether it has no backend server, so that its requests go to the new version. */
  isGone: () => boolean
  /** Whether that has been so for so long that there is nothing to take the move back to. */
  isGoneForGood: () => boolean
}

/** Creates the observation; it is up to date whenever one of its functions is called. */
export function createOldVersion (options: OldVersionOptions): OldVersion {
  const { clock, continuity } = options
  let missingSinceMs = Infinity
  let wasGone = false

  function hasServers (): boolean {
    const hasAny = options.hasServers()
    missingSinceMs = hasAny ? Infinity : Math.min(missingSinceMs, clock.monotonicMs())
    return hasAny
  }

  function isGone (): boolean {
    const isGoneNow = !hasServers() && continuity.isSettled()
    if (isGoneNow !== wasGone) {
      wasGone = isGoneNow
      options.onChange(isGoneNow)
    }
    return isGoneNow
  }

  function canTakeBack (): boolean {
    return hasServers() && (!continuity.isRestored() || continuity.isSettled())
  }

  return {
    isCertain: () => continuity.isSettled() || canTakeBack(),
    canTakeBack,
    isGone,
    isGoneForGood: () => isGone() && clock.monotonicMs() >= missingSinceMs + goneForGoodMs
  }
}
