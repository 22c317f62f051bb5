/** Estimates how long a request will wait for its permit. */
import type { AdmissionRequest } from './types.ts'
import type { TeamState } from './team-state.ts'

/** Load of the node, as input of the estimate. */
export interface NodeAdmissionLoad {
  maxConcurrent: number
  inFlight: number
  /** Sum of the weights of all teams that have requests waiting or in flight. */
  activeWeight: number
}

/** Returns whether a new request of the team has to wait for a slot. */
export function mustWait (state: TeamState, request: AdmissionRequest, node: NodeAdmissionLoad): boolean {
  const hasSlot = state.inFlight < state.maxInFlight && node.inFlight < node.maxConcurrent
  return !hasSlot || state.queue.countAhead(request.priority) > 0
}

/** Returns the team's share of the node's slots, at most its own limit; it can be fractional. */
function availableSlots (state: TeamState, node: NodeAdmissionLoad): number {
  const shareOfSlots = node.maxConcurrent * state.weight / Math.max(node.activeWeight, state.weight)
  return Math.max(1, Math.min(state.maxInFlight, shareOfSlots))
}

/**
 * Expected wait of a new request: the work ahead of it divided by the slots that
 * serve it, following Little's law (J. Little, Operations Research 9, 1961).
 */
export function expectedWaitMs (state: TeamState, request: AdmissionRequest, expectedMs: number, node: NodeAdmissionLoad): number {
  if (!mustWait(state, request, node)) return 0
  const requestsAhead = state.queue.countAhead(request.priority)
  const slots = availableSlots(state, node)
  const excessRequests = Math.max(0, state.inFlight - slots)
  return (requestsAhead + excessRequests + 1) * expectedMs / slots
}
