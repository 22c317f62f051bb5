/**
 * Tracks whether a node's state is fresh: when it was last confirmed by a peer
 * or the service, and whether the process has been paused since.
 */
import type { Clock } from '../../clock/index.ts'
import type { FeedReadiness } from './types.ts'

/** Freshness of one node's state. */
export interface Freshness {
  /** Records that a comparison found the state up to date; `startedAtMs` is the monotonic time at which the comparison started. */
  confirm: (startedAtMs: number) => void
  /** Called at short intervals; a gap between two calls longer than `maxUnconfirmedMs` counts as a pause of the process. */
  recordTick: () => void
  /** Whether peers may rely on this node: its state has been confirmed at least once and since the last pause. */
  isReliable: () => boolean
  readiness: () => FeedReadiness
  unconfirmedMs: () => number
}

/** Creates the freshness of a node that has no state yet. */
export function createFreshness (clock: Clock, maxUnconfirmedMs: number): Freshness {
  let confirmedAtMs: number | undefined
  let lastTickAtMs = clock.monotonicMs()
  let paused = false

  function detectPause (): void {
    if (clock.monotonicMs() - lastTickAtMs > maxUnconfirmedMs) paused = true
  }

  function unconfirmedMs (): number {
    return clock.monotonicMs() - (confirmedAtMs ?? -Infinity)
  }

  function readiness (): FeedReadiness {
    detectPause()
    if (confirmedAtMs === undefined) return { ready: false, reason: 'no configuration yet: neither the key-value service nor a peer has responded' }
    if (paused) return { ready: false, reason: 'this process was paused and has not confirmed its configuration with a peer or the key-value service since' }
    if (unconfirmedMs() <= maxUnconfirmedMs) return { ready: true, reason: undefined }
    return { ready: false, reason: `isolated: neither the key-value service nor a peer has responded for ${Math.round(unconfirmedMs())} ms` }
  }

  return {
    confirm: startedAtMs => {
      detectPause()
      lastTickAtMs = clock.monotonicMs()
      // A response that was pending while the process was paused describes the state before the pause.
      if (lastTickAtMs - startedAtMs > maxUnconfirmedMs) return
      confirmedAtMs = startedAtMs
      paused = false
    },
    recordTick: () => {
      detectPause()
      lastTickAtMs = clock.monotonicMs()
    },
    isReliable: () => {
      detectPause()
      return confirmedAtMs !== undefined && !paused
    },
    readiness,
    unconfirmedMs
  }
}
