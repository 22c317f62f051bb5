/** Restricts requests to the backend servers of some regions, as their routes and teams declare. */
import type { DomainId } from '../ids/index.ts'
import type { GatewayRoute, GatewayTeam } from './types.ts'

/** Whether a request may be sent to the backend servers of a failure domain. */
export type MayUseDomain = (domain: DomainId) => boolean

/** For requests without a restriction. */
export const anyDomain: MayUseDomain = () => true

/** Returns the domains that a request may use: those in the regions of both its route and its team, as far as each is restricted. A domain of an unknown region is not among them under a restriction. */
export function allowedDomains (route: Pick<GatewayRoute, 'allowedRegions'>, team: Pick<GatewayTeam, 'allowedRegions'> | undefined, regionOf: (domain: DomainId) => string | undefined): MayUseDomain {
  const restrictions = [route.allowedRegions, team?.allowedRegions].filter(regions => regions !== undefined)
  if (restrictions.length === 0) return anyDomain
  return domain => {
    const region = regionOf(domain)
    return region !== undefined && restrictions.every(regions => regions.has(region))
  }
}
