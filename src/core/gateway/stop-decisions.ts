/** Asks the gate of a stopping node about requests, and counts and logs what it decides. */
import { toGateRequest } from './active-request.ts'
import { stopDecisionFields } from './stop-decision-fields.ts'
import type { ActiveRequest, RequestHandlerOptions } from './active-request.ts'

/** The decisions of a gateway during a stop. */
export interface StopDecisions {
  /** Whether a request that has arrived is taken. */
  takes: (active: ActiveRequest) => boolean
  /** Whether the next attempt of a request is made. */
  sends: (active: ActiveRequest) => boolean
}

/** Creates the decisions of a gateway. A refusal is in the line that ends its request; an admission has a line for each attempt. */
export function createStopDecisions ({ log, metrics, stopGate }: Pick<RequestHandlerOptions, 'log' | 'metrics' | 'stopGate'>): StopDecisions {
  /** Returns whether the request is admitted; undefined while the node isn't stopping. */
  function decide (active: ActiveRequest): boolean | undefined {
    const decision = stopGate.decide(toGateRequest(active))
    if (decision === undefined) return undefined
    active.stopDecision = decision
    return decision.isAdmitted
  }

  function count ({ stopDecision }: ActiveRequest): void {
    if (stopDecision !== undefined) metrics.count('stop_gate_decisions_total', { decision: stopDecision.isAdmitted ? 'admitted' : 'refused', basis: stopDecision.basis })
  }

  return {
    takes: active => {
      const isAdmitted = decide(active) ?? true
      // An admission is counted when the request is sent, which is decided again.
      if (!isAdmitted) count(active)
      return isAdmitted
    },
    sends: active => {
      // The caller of a stream that has begun gets more of it in any case.
      if (active.progress.areHeadersSent) return true
      const isAdmitted = decide(active)
      if (isAdmitted === undefined) return true
      count(active)
      if (isAdmitted) log('stopGateAdmitted', { request: active.id, route: active.route.name, stopDecision: stopDecisionFields(active.stopDecision) })
      return isAdmitted
    }
  }
}
