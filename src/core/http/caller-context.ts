/**
 * Finds out who calls and what for, before any of the body is read: team,
 * route, token and deadline.
 */
import type { Request, Response, NextFunction } from 'express'
import { toId } from '../ids/index.ts'
import type { TeamId } from '../ids/index.ts'
import type { RouteDeclaration, TeamDeclaration } from '../teams/types.ts'
import { bearerToken, hasDigest } from './authenticate.ts'
import { refuseRequest } from './refuse.ts'
import type { CallerServerOptions } from './types.ts'

/** Header with the wall time, in milliseconds, at which an answer is of no more use. */
const deadlineHeader = 'deadline-at-ms'
/** Time after which a draining or unready node expects the balancer to have chosen another one. */
const elsewhereAfterMs = 1_000

/** Who calls and what for. */
export interface CallerContext {
  team: TeamDeclaration
  route: RouteDeclaration
  deadlineAtMs: number
}

/** The context that `identifyCaller` found. */
export function contextOf (response: Response): CallerContext {
  return response.locals.context as CallerContext
}

/** Makes the middleware that finds the context, or refuses. `names` gives team and route of a request. */
export function identifyCaller (
  options: CallerServerOptions,
  kind: RouteDeclaration['kind'],
  names: (request: Request) => { team: string | undefined, route: string }
): (request: Request, response: Response, next: NextFunction) => void {
  return (request, response, next) => {
    const { clock } = options
    const token = bearerToken(request.header('authorization'))
    if (token === undefined) {
      response.set('WWW-Authenticate', 'Bearer')
      return refuseRequest(response, 'unauthorized', 'Send the team\'s token as "Authorization: Bearer <token>".', options)
    }
    const { team: teamName, route: routeName } = names(request)
    const team = findTeam(options, teamName, token)
    if (team === undefined) {
      return refuseRequest(response, 'unknown-team', 'There is no such team; check the name in the address.', options)
    }
    if (!hasDigest(token, team.tokenDigests)) {
      return refuseRequest(response, 'forbidden', 'The token isn\'t one of this team; use the team\'s own.', options)
    }
    const route = team.routes.find(other => other.name === routeName && other.kind === kind)
    if (route === undefined) {
      const known = team.routes.filter(other => other.kind === kind).map(other => other.name).join(', ')
      return refuseRequest(response, 'unknown-route', `The team has no such route for a ${kind}; it has: ${known}.`, options)
    }
    const deadlineAtMs = deadlineOf(request, team, clock.wallMs())
    if (deadlineAtMs === undefined) {
      return refuseRequest(response, 'bad-request', `"${deadlineHeader}" must be wall time in milliseconds since the epoch.`, options)
    }
    if (deadlineAtMs <= clock.wallMs()) {
      return refuseRequest(response, 'deadline-past', 'The deadline had passed on arrival; check the caller\'s clock.', options)
    }
    if (options.isDraining()) {
      return refuseRequest(response, 'draining', 'This node stops; send the request again.', options, clock.wallMs())
    }
    const readiness = options.readiness()
    if (!readiness.ready) {
      return refuseRequest(response, 'not-ready', `This node isn't ready: ${readiness.reason}.`, options, clock.wallMs() + elsewhereAfterMs)
    }
    response.locals.context = { team, route, deadlineAtMs } satisfies CallerContext
    next()
  }
}

function findTeam (options: CallerServerOptions, name: string | undefined, token: string): TeamDeclaration | undefined {
  if (name !== undefined) return options.findTeam(toId<TeamId>(name))
  for (const team of options.teams()) {
    if (hasDigest(token, team.tokenDigests)) return team
  }
  return undefined
}

function deadlineOf (request: Request, team: TeamDeclaration, nowMs: number): number | undefined {
  const latestAtMs = nowMs + team.maxRequestMs
  const header = request.header(deadlineHeader)
  if (header === undefined) return latestAtMs
  return /^\d{1,15}$/.test(header) ? Math.min(Number(header), latestAtMs) : undefined
}
