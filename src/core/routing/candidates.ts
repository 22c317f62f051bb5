/** The backend servers that may take an attempt. */
import type { Backend } from '../backends/types.ts'
import type { TeamId, VersionId } from '../ids/index.ts'
import type { RouteRequest } from './types.ts'

/** Whether a backend server may serve a team. */
export type Serves = (backend: Backend, team: TeamId) => boolean

/** A backend server serves the team that it was started for. */
export const servesOwnTeam: Serves = (backend, team) => backend.team === team

/** Live backend servers of the team and version that no earlier attempt failed at; leaving and starting ones are never among them. */
export function candidatesOf (request: RouteRequest, version: VersionId, backends: readonly Backend[], serves: Serves): Backend[] {
  return backends.filter(backend => {
    if (backend.state !== 'live' || !serves(backend, request.team)) return false
    return backend.version === version && !request.excluded.has(backend.id)
  })
}
