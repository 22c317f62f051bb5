/** Observes whether the old version of a service move has backend servers left. */
import type { Clock } from '../clock/index.ts'
import type { VersionPresence } from '../registrations/index.ts'

/** Options of `createOldVersion`. */
export interface OldVersionOptions {
  clock: Clock
  presence: () => VersionPresence
  /** Whether running backend servers have had the time to register since this node's start or the last restore, and to prove that they run. */
  areRegistrationsSettled: () => boolean
  /** Time without a running backend server of the old version after which none is expected back: longer than a restart takes. */
  goneForGoodMs: number
  /** Called when what is known of its backend servers has changed. */
  onChange: (presence: VersionPresence, isGone: boolean) => void
}

/** The old version of one move, as one node sees it. */
export interface OldVersion {
  /** Whether its registrations can be believed; until then it isn't known which version requests fail for. */
  isCertain: () => boolean
  /** Whether a backend server of it runs, to which requests can be taken back. A registration alone may come from an older copy, after its server was stopped because of a result that was lost. */
  canTakeBack: () => boolean
  /** Whether it has no backend server, so that its requests go to the new version. */
  isGone: () => boolean
  /** Whether no backend server of it has run for so long that there is nothing to take the move back to. */
  isGoneForGood: () => boolean
}

/** Creates the observation; it is up to date whenever one of its functions is called. */
export function createOldVersion (options: OldVersionOptions): OldVersion {
  const { clock, areRegistrationsSettled } = options
  let goneForGoodAtMs = Infinity
  let knownPresence: VersionPresence = 'running'
  let wasGone = false

  function observe (): VersionPresence {
    const presence = options.presence()
    goneForGoodAtMs = presence === 'running' ? Infinity : Math.min(goneForGoodAtMs, clock.monotonicMs() + options.goneForGoodMs)
    const isGoneNow = presence === 'absent' && areRegistrationsSettled()
    if (presence !== knownPresence || isGoneNow !== wasGone) options.onChange(presence, isGoneNow)
    knownPresence = presence
    wasGone = isGoneNow
    return presence
  }

  function isGone (): boolean {
    observe()
    return wasGone
  }

  function canTakeBack (): boolean {
    return observe() === 'running'
  }

  observe()
  return {
    isCertain: () => areRegistrationsSettled() || canTakeBack(),
    canTakeBack,
    isGone,
    isGoneForGood: () => isGone() && clock.monotonicMs() >= goneForGoodAtMs
  }
}
