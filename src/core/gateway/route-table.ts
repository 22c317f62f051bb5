/** Finds the route of a request: by host, then by the longest path prefix. */
import type { ColdLimit } from '../backend-limits/index.ts'
import type { TeamId } from '../ids/index.ts'
import type { QuotaLimit } from '../quota/index.ts'
import type { GatewayConfiguration, GatewayRoute, GatewayTeam } from './types.ts'

/** Lookups of routes and teams in one configuration. */
export interface RouteTable {
  readonly configuration: GatewayConfiguration
  /** `target` is the request target as received: path and query. */
  route: (host: string, target: string) => GatewayRoute | undefined
  /** The team that an API key belongs to. */
  team: (key: string) => GatewayTeam | undefined
  /** The quota of a team; undefined for an unlimited or unknown one. */
  quotaOf: (team: TeamId) => QuotaLimit | undefined
  /** The limits of cold backend servers, by service. */
  coldLimits: ReadonlyMap<string, ColdLimit>
}

/** The routes of one host. */
interface HostRoutes {
  byPrefix: Map<string, GatewayRoute>
  /** The lengths of the prefixes, the longest first. */
  prefixLengths: number[]
}

/** Path of a request target, without the query. */
function pathOf (target: string): string {
  const at = target.indexOf('?')
  return at === -1 ? target : target.slice(0, at)
}

/** Indexes the routes and teams of a configuration. */
export function createRouteTable (configuration: GatewayConfiguration): RouteTable {
  const byHost = new Map<string, HostRoutes>()
  const byKey = new Map<string, GatewayTeam>()
  const quotas = new Map<TeamId, QuotaLimit>()
  const coldLimits = new Map(configuration.services.flatMap(({ name, cold }) => cold === undefined ? [] : [[name, cold] as const]))
  for (const route of configuration.routes) {
    const routes = byHost.get(route.host) ?? { byPrefix: new Map(), prefixLengths: [] }
    routes.byPrefix.set(route.pathPrefix, route)
    byHost.set(route.host, routes)
  }
  for (const routes of byHost.values()) routes.prefixLengths = [...new Set([...routes.byPrefix.keys()].map(prefix => prefix.length))].sort((a, b) => b - a)
  for (const team of configuration.teams ?? []) {
    for (const key of team.keys) byKey.set(key, team)
    if (team.quota !== undefined) quotas.set(team.team, team.quota)
  }

  function find (host: string, target: string): GatewayRoute | undefined {
    const portAt = host.lastIndexOf(':')
    const routes = byHost.get((portAt === -1 ? host : host.slice(0, portAt)).toLowerCase())
    if (routes === undefined) return undefined
    const path = pathOf(target)
    for (const length of routes.prefixLengths) {
      const route = length <= path.length ? routes.byPrefix.get(path.slice(0, length)) : undefined
      if (route !== undefined) return route
    }
    return undefined
  }

  return { configuration, route: find, team: key => byKey.get(key), quotaOf: team => quotas.get(team), coldLimits }
}
