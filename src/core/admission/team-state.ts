/** State of one team in admission control, and start-time fair queueing between the teams. */
import type { TeamId } from '../ids/index.ts'
import { createTeamQueue } from './team-queue.ts'
import type { TeamQueue } from './team-queue.ts'
import type { AdmissionRequest } from './types.ts'

/** Callbacks of a request that waits in a queue. */
export interface Waiter {
  grant: () => void
  /** Refuses the request because the node drains. */
  drain: () => void
}

/** State of one team at one node. */
export interface TeamState {
  team: TeamId
  queue: TeamQueue<Waiter>
  inFlight: number
  maxInFlight: number
  weight: number
  /** Virtual finish time of the team's last granted request. */
  finishTagMs: number
}

/** Creates the state of a team; `virtualTimeMs` is the start tag of the request that was granted last. */
export function createTeamState (team: TeamId, virtualTimeMs: number): TeamState {
  return { team, queue: createTeamQueue<Waiter>(), inFlight: 0, maxInFlight: 1, weight: 1, finishTagMs: virtualTimeMs }
}

/** Applies the limits that a request carries, so that a changed declaration takes effect with the team's next request. */
export function updateLimits (state: TeamState, request: AdmissionRequest): void {
  const capacity = request.backendCapacity ?? Infinity
  state.maxInFlight = Math.max(1, Math.min(request.maxConcurrent, capacity))
  state.weight = Math.max(request.weight, Number.EPSILON)
}

/** Virtual start time of the team's next request. */
function startTagMs (state: TeamState, virtualTimeMs: number): number {
  return Math.max(virtualTimeMs, state.finishTagMs)
}

/** Returns the team with the earliest start tag among those that have a waiting request and a free slot. */
export function nextTeamToServe (states: Iterable<TeamState>, virtualTimeMs: number): TeamState | undefined {
  let earliest: TeamState | undefined
  for (const state of states) {
    if (state.queue.size() === 0 || state.inFlight >= state.maxInFlight) continue
    if (earliest === undefined || startTagMs(state, virtualTimeMs) < startTagMs(earliest, virtualTimeMs)) earliest = state
  }
  return earliest
}

/**
 * Charges a team for a granted request and returns the new virtual time.
 * Start-time fair queueing: P. Goyal, H. Vin, H. Cheng, SIGCOMM 1996.
 */
export function chargeTeam (state: TeamState, costMs: number, virtualTimeMs: number): number {
  const startMs = startTagMs(state, virtualTimeMs)
  state.finishTagMs = startMs + costMs / state.weight
  return startMs
}
