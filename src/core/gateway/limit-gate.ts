/** Connects the gateway with the request limits of backend servers: asks them before each attempt, and takes the permit at the moment of sending. */
import type { Permit, PermitClaim } from '../backend-limits/index.ts'
import type { Backend } from '../backends/types.ts'
import type { BackendId } from '../ids/index.ts'
import type { RouteChoice } from '../routing/index.ts'
import type { ActiveRequest, RequestHandlerOptions } from './active-request.ts'
import type { AttemptEnd } from './attempt.ts'

/** The limits as the request handler uses them. */
export interface LimitGate {
  /** Backend servers that may be chosen for the request now. */
  usable: (active: ActiveRequest) => Backend[]
  /** Whether a backend server limits its requests, so that this node's permits for it should be used. */
  hasLimit: (id: BackendId) => boolean
  /** Takes the permit of a choice; undefined if the limit changed since the choice, which was made with a permit. */
  takePermit: (active: ActiveRequest, choice: RouteChoice) => Permit | undefined
  /** Gives the permit back if certainly no byte of the request was sent. */
  onAttemptEnded: (permit: Permit, end: AttemptEnd) => void
  /** Time after which to retry a request without a usable backend server; undefined if limits aren't the reason. */
  retryInMs: (active: ActiveRequest) => number | undefined
}

function claimOf ({ team, route, sentCount }: ActiveRequest): PermitClaim {
  return { rank: team?.rank ?? route.rank, isRetry: sentCount > 0 }
}

/** Creates the gate of a request handler. */
export function createLimitGate ({ backends, limits }: RequestHandlerOptions): LimitGate {
  return {
    usable: active => backends.usable(active.service, claimOf(active), backend => active.limitedBackends.add(backend)),
    hasLimit: id => {
      const known = backends.get(id)
      return known !== undefined && limits.stateOf(known.entry) !== undefined
    },
    takePermit: (active, { backend }) => {
      const known = backends.get(backend.id)
      return known === undefined ? { giveBack: () => {} } : limits.take(known.entry, claimOf(active))
    },
    onAttemptEnded: (permit, end) => {
      const isUnsent = (end.kind === 'not-run' && end.isUnreachable) || (end.kind === 'aborted' && !end.mayHaveRun)
      if (isUnsent) permit.giveBack()
    },
    retryInMs: active => backends.allLimitedForMs(active.service, claimOf(active))
  }
}
