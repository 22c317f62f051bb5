/** Asks the gate of a stopping node about requests, and counts and logs what it decides. */
import { stopDecisionFields } from './stop-decision-fields.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { StopGate } from './stop-gate.ts'
import type { GateRequest, StoppableRequest } from './types.ts'

/** The decisions of a gateway during a stop. */
export interface StopDecisions {
  /** Whether a request that has arrived is taken. */
  takes: (active: StoppableRequest) => boolean
  /** Whether the next attempt of a request is made. */
  sends: (active: StoppableRequest) => boolean
}

/** Options of the decisions. */
export interface StopDecisionsOptions {
  log: Log
  metrics: Metrics
  stopGate: Pick<StopGate, 'decide'>
}

/** The request as the gate of a stopping node sees it. */
function toGateRequest ({ route, head, deadlineAtMs }: StoppableRequest): GateRequest {
  return { route: route.name, kind: route.kind, answerTokens: head.tokens?.answer, deadlineAtMs }
}

/** Creates the decisions of a gateway. A refusal is in the line that ends its request; an admission has a line for each attempt. */
export function createStopDecisions ({ log, metrics, stopGate }: StopDecisionsOptions): StopDecisions {
  /** Returns whether the request is admitted; undefined while the node isn't stopping. */
  function decide (active: StoppableRequest): boolean | undefined {
    const decision = stopGate.decide(toGateRequest(active))
    if (decision === undefined) return undefined
    active.stopDecision = decision
    return decision.isAdmitted
  }

  function count ({ stopDecision }: StoppableRequest): void {
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
