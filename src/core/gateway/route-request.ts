/** What a request asks for: the service of its route, and the choice of a backend server. */
import { canaryLabel, servingLabel } from './backend-table.ts'
import { toId } from '../ids/index.ts'
import type { RequestId, TeamId } from '../ids/index.ts'
import type { RouteRequest } from '../routing/index.ts'
import type { ActiveRequest } from './active-request.ts'
import type { GatewayRoute } from './types.ts'

/** Characters of a target that a client sends on; a listener also accepts some control characters. */
const targetPattern = /^[\u0021-\u00ff]+$/

/** Whether a request target can be sent to a backend server as it was received. */
export function isForwardableTarget (target: string): boolean {
  return targetPattern.test(target)
}

/** Picks a service of a route by weight; `draw` is a number in [0, 1). */
export function pickService ({ services }: GatewayRoute, draw: number): string {
  const total = services.reduce((sum, { weight }) => sum + weight, 0)
  let remaining = draw * total
  for (const { service, weight } of services) {
    remaining -= weight
    if (remaining < 0) return service
  }
  return services.at(-1)?.service ?? ''
}

/** Creates the router's request for the next attempt. */
export function createRouteRequest (active: ActiveRequest, { canaryShare, ...comparison }: { canaryShare: number } & Pick<RouteRequest, 'compareAllBackends' | 'isAlwaysCompared'>): RouteRequest {
  const { id, service, head, deadlineAtMs, excluded, route, arrivedAtMs } = active
  const isFirstAttempt = !active.progress.areHeadersSent && active.sentCount === 0
  return {
    request: toId<RequestId>(id),
    team: toId<TeamId>(service),
    shares: { shares: [{ version: servingLabel, share: 1 - canaryShare }, { version: canaryLabel, share: canaryShare }] },
    ...(head.prompt === undefined ? {} : { prompt: head.prompt }),
    priority: 'normal',
    deadlineAtMs,
    ...(isFirstAttempt && route.kind === 'stream' ? { firstTokenDeadlineAtMs: arrivedAtMs + route.latencyTargetMs } : {}),
    ...comparison,
    excluded
  }
}
