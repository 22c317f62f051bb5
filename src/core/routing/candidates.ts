/** The backend servers that may take an attempt. */
import type { Backend } from '../backends/types.ts'
import type { VersionId } from '../ids/index.ts'
import type { RouteRequest } from './types.ts'

/** Live backend servers of the team and version that no earlier attempt failed at; leaving and starting ones are never among them. */
export function candidatesOf (request: RouteRequest, version: VersionId, backends: readonly Backend[]): Backend[] {
  return backends.filter(backend => {
    if (backend.state !== 'live' || backend.team !== request.team) return false
    return backend.version === version && !request.excluded.has(backend.id)
  })
}
