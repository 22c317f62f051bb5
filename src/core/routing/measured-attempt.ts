/** What an attempt can tell of its backend server's speed. */
import type { SpeedSample } from '../backend-speeds/types.ts'
import type { EngineProfile } from './engine-profile.ts'
import type { BackendLoad } from './load-tracker.ts'

/** The part of a speed sample that is known when an attempt is sent. */
export interface MeasuredAttempt {
  /** Whether the learned speed was used for its expected times. */
  hasLearnedSpeed: boolean
  /** Undefined if the time to its first token depends on more than what is known. */
  sample: Omit<SpeedSample, 'measuredMs'> | undefined
}

/** Whether the time to the first token shows the speed of a server instead of its load: no request waits for a slot, and most of the prompt tokens ahead are the request's own. */
export function isLightlyLoaded ({ requests, pendingTokens }: BackendLoad, { slots }: EngineProfile, uncachedTokens: number): boolean {
  return requests < slots && pendingTokens <= uncachedTokens
}
