/** Whether a node may stand for its state: when it was last compared, and whether the node stood still. */
import type { Clock } from '../../clock/index.ts'
import type { FeedReadiness } from './types.ts'

/** The record of a node's contacts. */
export interface Contact {
  /** Notes that the state was compared with a peer or the service and is as new; `startedAtMs` is when the comparison began. */
  confirm: (startedAtMs: number) => void
  /** Notes that this node's tasks run. */
  tick: () => void
  /** Whether peers may rely on this node: it has a state, and since it last stood still it was compared. */
  isKnown: () => boolean
  readiness: () => FeedReadiness
  unconfirmedMs: () => number
}

/** A record without any contact. */
export function createContact (clock: Clock, maxUnconfirmedMs: number): Contact {
  let confirmedAtMs: number | undefined
  let tickedAtMs = clock.monotonicMs()
  let paused = false

  function notePause (): void {
    if (clock.monotonicMs() - tickedAtMs > maxUnconfirmedMs) paused = true
  }

  function unconfirmedMs (): number {
    return clock.monotonicMs() - (confirmedAtMs ?? -Infinity)
  }

  function readiness (): FeedReadiness {
    notePause()
    if (confirmedAtMs === undefined) return { ready: false, reason: 'no configuration yet: neither the key-value service nor a peer has answered' }
    if (paused) return { ready: false, reason: 'this node stood still and has not compared its configuration since' }
    if (unconfirmedMs() <= maxUnconfirmedMs) return { ready: true, reason: undefined }
    return { ready: false, reason: `cut off: neither the key-value service nor a peer has answered for ${Math.round(unconfirmedMs())} ms` }
  }

  return {
    confirm: startedAtMs => {
      notePause()
      tickedAtMs = clock.monotonicMs()
      // An answer that waited while this node stood still tells how things were before.
      if (tickedAtMs - startedAtMs > maxUnconfirmedMs) return
      confirmedAtMs = startedAtMs
      paused = false
    },
    tick: () => {
      notePause()
      tickedAtMs = clock.monotonicMs()
    },
    isKnown: () => {
      notePause()
      return confirmedAtMs !== undefined && !paused
    },
    readiness,
    unconfirmedMs
  }
}
