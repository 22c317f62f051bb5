/** Chooses a backend server among those whose limits allow another request, and takes the permit of the chosen one. */
import { err } from 'true-myth/result'
import { choosePermitted } from '../routing/index.ts'
import type { Result } from 'true-myth'
import type { BackendLimits, LimitedBackend, Permit, PermitClaim } from '../backend-limits/index.ts'
import type { Backend } from '../backends/types.ts'
import type { Clock } from '../clock/index.ts'
import type { BackendId } from '../ids/index.ts'
import type { Refusal } from '../outcomes/index.ts'
import type { PermittedChoice, RouteRequest, Router } from '../routing/index.ts'

/** Options of a choice. */
export interface LimitedChoiceOptions {
  clock: Clock
  router: Router
  limits: Pick<BackendLimits, 'hasPermit' | 'recordSkipped' | 'take' | 'stateOf' | 'onRefused'>
}

/** A backend server as its limit is kept: its team's requests are the demand for it. */
export function toLimited ({ id, team }: Backend): LimitedBackend {
  return { id, service: team }
}

/** Chooses a backend server. The permit must be given back if no byte of the request is sent. */
export function chooseWithinLimits ({ clock, router, limits }: LimitedChoiceOptions, request: RouteRequest, backends: readonly Backend[], claim: PermitClaim): Result<PermittedChoice<Permit>, Refusal> {
  const permitted = backends.filter(backend => {
    const hasPermit = limits.hasPermit(toLimited(backend), claim)
    if (!hasPermit) limits.recordSkipped(toLimited(backend))
    return hasPermit
  })
  const compared = { ...request, isAlwaysCompared: (id: BackendId) => permitted.some(backend => backend.id === id && limits.stateOf(toLimited(backend)) !== undefined) }
  const chosen = choosePermitted(permitted, remaining => router.choose(compared, remaining), ({ backend }) => limits.take(toLimited(backend), claim))
  return chosen.orElse(({ refusal }) => {
    const live = backends.filter(({ state }) => state === 'live')
    const areAllLimited = live.length > 0 && live.every(backend => limits.stateOf(toLimited(backend)) !== undefined)
    if (!areAllLimited) return err(refusal)
    const retryInMs = limits.onRefused(request.team, live.map(toLimited), claim)
    return err({ reason: 'backends-limited', run: 'not-run', detail: 'All backend servers of the team limit their requests, and no permit is left.', retryAtMs: clock.wallMs() + Math.ceil(retryInMs) })
  })
}
