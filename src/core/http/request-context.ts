/**
 * Authenticates a request and determines its team, route and deadline before
 * its body is read.
 */
import type { Request, Response, NextFunction } from 'express'
import { toId } from '../ids/index.ts'
import type { TeamId } from '../ids/index.ts'
import type { RouteDeclaration, TeamDeclaration } from '../teams/types.ts'
import { bearerToken, hasDigest } from './authenticate.ts'
import { refuseRequest } from './refuse.ts'
import type { CallerServerOptions } from './types.ts'

/** Header with the wall time, in milliseconds since the epoch, after which a response is no longer useful. */
const deadlineHeader = 'deadline-at-ms'
/** `Retry-After` of a node that isn't ready: by then the load balancer is expected to use another node. */
const rebalanceDelayMs = 1_000

export interface RequestContext {
  team: TeamDeclaration
  route: RouteDeclaration
  deadlineAtMs: number
}

/** The context that the middleware stored in `response.locals`. */
export function requestContextOf (response: Response): RequestContext {
  return response.locals.context as RequestContext
}

/**
 * Creates the middleware that determines the context or refuses the request.
 * `readNames` returns the names of team and route; without a team name, the
 * team is found by the token.
 */
export function createContextMiddleware (
  options: CallerServerOptions,
  kind: RouteDeclaration['kind'],
  readNames: (request: Request) => { team: string | undefined, route: string }
): (request: Request, response: Response, next: NextFunction) => void {
  return (request, response, next) => {
    const { clock } = options
    const token = bearerToken(request.header('authorization'))
    if (token === undefined) {
      response.set('WWW-Authenticate', 'Bearer')
      return refuseRequest(response, 'unauthorized', 'Send a token of the team as "Authorization: Bearer <token>".', options)
    }
    const { team: teamName, route: routeName } = readNames(request)
    const team = findTeam(options, teamName, token)
    if (team === undefined) {
      return refuseRequest(response, 'unknown-team', 'The team does not exist; check its name.', options)
    }
    if (!hasDigest(token, team.tokenDigests)) {
      return refuseRequest(response, 'forbidden', 'The token does not belong to the team; use one of the team\'s tokens.', options)
    }
    const route = team.routes.find(other => other.name === routeName && other.kind === kind)
    if (route === undefined) {
      const routeNames = team.routes.filter(other => other.kind === kind).map(other => other.name).join(', ')
      return refuseRequest(response, 'unknown-route', `The team has no such route for a ${kind}. Its routes are: ${routeNames}.`, options)
    }
    const deadlineAtMs = parseDeadline(request, team, clock.wallMs())
    if (deadlineAtMs === undefined) {
      return refuseRequest(response, 'bad-request', `"${deadlineHeader}" must be a wall time in milliseconds since the epoch.`, options)
    }
    if (deadlineAtMs <= clock.wallMs()) {
      return refuseRequest(response, 'deadline-past', 'The deadline passed before the request arrived; check the caller\'s clock.', options)
    }
    if (options.isDraining()) {
      return refuseRequest(response, 'draining', 'This node is stopping; send the request again.', options, clock.wallMs())
    }
    const readiness = options.readiness()
    if (!readiness.ready) {
      return refuseRequest(response, 'not-ready', `This node is not ready: ${readiness.reason}.`, options, clock.wallMs() + rebalanceDelayMs)
    }
    response.locals.context = { team, route, deadlineAtMs } satisfies RequestContext
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

function parseDeadline (request: Request, team: TeamDeclaration, nowMs: number): number | undefined {
  const maxDeadlineAtMs = nowMs + team.maxRequestMs
  const header = request.header(deadlineHeader)
  if (header === undefined) return maxDeadlineAtMs
  return /^\d{1,15}$/.test(header) ? Math.min(Number(header), maxDeadlineAtMs) : undefined
}
