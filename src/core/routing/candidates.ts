/** Filters the backend servers that are eligible for an attempt. */
import type { Backend } from '../backends/types.ts'
import type { TeamId, VersionId } from '../ids/index.ts'
import type { RouteRequest } from './types.ts'

/** Decides whether a backend server may serve a team. */
export type MayServe = (backend: Backend, team: TeamId) => boolean

/** Default policy: a backend server serves only the team that it was started for. */
export const servesOwnTeam: MayServe = (backend, team) => backend.team === team

/**
 * Returns the live backend servers that may serve the team, run the version and
 * haven't failed an earlier attempt of the request. Servers that are starting or
 * leaving are never returned.
 */
export function candidatesOf (request: RouteRequest, version: VersionId, backends: readonly Backend[], mayServe: MayServe): Backend[] {
  return backends.filter(backend => {
    if (backend.state !== 'live' || !mayServe(backend, request.team)) return false
    return backend.version === version && !request.excluded.has(backend.id)
  })
}
