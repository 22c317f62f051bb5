/** Estimates of how long a request will wait for its permit. */
import type { AdmissionRequest } from './types.ts'
import type { TeamState } from './team-state.ts'

/** What the estimate needs to know of the node. */
export interface NodeLoad {
  maxConcurrent: number
  inFlight: number
  /** Weights of all teams that have requests waiting or in flight. */
  activeWeight: number
}

/** Whether a new request of the team finds no free slot. */
export function mustWait (state: TeamState, request: AdmissionRequest, node: NodeLoad): boolean {
  const hasSlot = state.inFlight < state.limit && node.inFlight < node.maxConcurrent
  return !hasSlot || state.queue.ahead(request.priority) > 0
}

/** Slots that the team can count on while others contend. */
function slotsOf (state: TeamState, node: NodeLoad): number {
  const share = node.maxConcurrent * state.weight / Math.max(node.activeWeight, state.weight)
  return Math.max(1, Math.min(state.limit, share))
}

/**
 * Expected wait of a new request: the work ahead of it divided by the slots
 * that serve it, from Little's law (J. Little, Operations Research 9, 1961).
 */
export function expectedWaitMs (state: TeamState, request: AdmissionRequest, expectedMs: number, node: NodeLoad): number {
  if (!mustWait(state, request, node)) return 0
  const ahead = state.queue.ahead(request.priority)
  const slots = slotsOf(state, node)
  const excess = Math.max(0, state.inFlight - slots)
  return (ahead + excess + 1) * expectedMs / slots
}
