/** What admission keeps for one team, and the order in which teams are served. */
import type { TeamId } from '../ids/index.ts'
import { createTeamQueue } from './team-queue.ts'
import type { TeamQueue } from './team-queue.ts'
import type { AdmissionRequest } from './types.ts'

/** A request in a queue. */
export interface Waiter {
  grant: () => void
  drain: () => void
}

/** One team at one node. */
export interface TeamState {
  team: TeamId
  queue: TeamQueue<Waiter>
  inFlight: number
  limit: number
  weight: number
  /** Virtual time at which the team's last granted request ends. */
  finishTag: number
}

/** Makes a team's state; `virtualTime` is the start tag of the request granted last. */
export function createTeamState (team: TeamId, virtualTime: number): TeamState {
  return { team, queue: createTeamQueue<Waiter>(), inFlight: 0, limit: 1, weight: 1, finishTag: virtualTime }
}

/** Takes the limits that a request carries, so that a changed declaration holds from its next request on. */
export function updateDeclared (state: TeamState, request: AdmissionRequest): void {
  const capacity = request.backendCapacity ?? Infinity
  state.limit = Math.max(1, Math.min(request.maxConcurrent, capacity))
  state.weight = Math.max(request.weight, Number.EPSILON)
}

/** Virtual time at which the team's next request starts. */
function startTag (state: TeamState, virtualTime: number): number {
  return Math.max(virtualTime, state.finishTag)
}

/** The team whose next request is to be granted, if any may run now. */
export function nextTeam (states: Iterable<TeamState>, virtualTime: number): TeamState | undefined {
  let best: TeamState | undefined
  for (const state of states) {
    if (state.queue.size() === 0 || state.inFlight >= state.limit) continue
    if (best === undefined || startTag(state, virtualTime) < startTag(best, virtualTime)) best = state
  }
  return best
}

/**
 * Charges a team for a granted request and returns the new virtual time.
 * Start-time fair queueing: P. Goyal, H. Vin, H. Cheng, SIGCOMM 1996.
 */
export function chargeTeam (state: TeamState, costMs: number, virtualTime: number): number {
  const start = startTag(state, virtualTime)
  state.finishTag = start + costMs / state.weight
  return start
}
