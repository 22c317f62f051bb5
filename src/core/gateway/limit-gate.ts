/** Connects the gateway with the request limits of backend servers: asks them before each attempt, and takes the permit at the moment of sending. */
import { choosePermitted } from '../routing/index.ts'
import type { Result } from 'true-myth'
import type { Permit, PermitClaim } from '../backend-limits/index.ts'
import type { Backend } from '../backends/types.ts'
import type { BackendId } from '../ids/index.ts'
import type { Refusal } from '../outcomes/index.ts'
import type { PermittedChoice, RouteChoice } from '../routing/index.ts'
import type { ActiveRequest, RequestHandlerOptions } from './active-request.ts'
import type { AttemptEnd } from './attempt.ts'

/** The limits as the request handler uses them. */
export interface LimitGate {
  /** Chooses with `choose` among the backend servers that may get the request now, and takes the permit of the chosen one. */
  choose: (active: ActiveRequest, choose: (backends: readonly Backend[]) => Result<RouteChoice, Refusal>) => Result<PermittedChoice<Permit>, UnchosenReason>
  /** Whether a backend server limits its requests, so that this node's permits for it should be used. */
  hasLimit: (id: BackendId) => boolean
  /** Gives the permit back if certainly no byte of the request was sent. */
  onAttemptEnded: (permit: Permit, end: AttemptEnd) => void
}

/** Why no backend server was chosen. */
export interface UnchosenReason {
  refusal: Refusal
  /** Time after which to retry if limits are the reason; undefined if they aren't. */
  limitedForMs: number | undefined
}

function claimOf ({ team, route, sentCount }: ActiveRequest): PermitClaim {
  return { rank: team?.rank ?? route.rank, isRetry: sentCount > 0 }
}

/** Creates the gate of a request handler. */
export function createLimitGate ({ backends, limits }: RequestHandlerOptions): LimitGate {
  function takePermit (active: ActiveRequest, { backend }: RouteChoice): Permit | undefined {
    const known = backends.get(backend.id)
    const permit = known === undefined ? { giveBack: () => {} } : limits.take(known.entry, claimOf(active))
    if (permit === undefined) active.limitedBackends.add(backend.id)
    return permit
  }

  return {
    choose: (active, choose) => {
      const { service, excluded, limitedBackends, mayUseDomain } = active
      const usable = backends.usable(service, claimOf(active), backend => limitedBackends.add(backend), mayUseDomain).filter(({ id }) => !excluded.has(id))
      return choosePermitted(usable, choose, choice => takePermit(active, choice)).mapErr(({ refusal, hasPermitsLeft }) => {
        return { refusal, limitedForMs: hasPermitsLeft ? undefined : backends.allLimitedForMs(service, claimOf(active), excluded, mayUseDomain) }
      })
    },
    hasLimit: id => {
      const known = backends.get(id)
      return known !== undefined && limits.isLimited(known.entry)
    },
    onAttemptEnded: (permit, end) => {
      const isUnsent = (end.kind === 'not-run' && end.isUnreachable) || (end.kind === 'aborted' && !end.mayHaveRun)
      if (isUnsent) permit.giveBack()
    }
  }
}
