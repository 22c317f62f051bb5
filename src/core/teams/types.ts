/**
 * The declaration of a team: its template with the team's parameters filled in.
 * Every node holds the complete declarations of all teams.
 */
import type { DomainId, TeamId, TemplateId, VersionId } from '../ids/index.ts'

/** Priority of a request: `urgent` for legal notice periods and broadcasts, `batch` for work that may wait. */
export type Priority = 'urgent' | 'normal' | 'batch'

/** One route of a team. Callers name it in the request path. */
export interface RouteDeclaration {
  /** Name in the request path, such as `letters` or `registrations`. */
  name: string
  kind: 'draft' | 'call'
  priority: Priority
  /** For calls: whether a call may safely run more than once, as a lookup may and a registration or grant may not. */
  repeatable: boolean
}

/** A version move: from the current version to `toVersion`, to be completed by the deadline (wall time). */
export interface MoveDeclaration {
  toVersion: VersionId
  deadlineAtMs: number
}

/** Declaration of one team. */
export interface TeamDeclaration {
  team: TeamId
  template: TemplateId
  kind: 'model-engine' | 'plain-service'
  /** Version that serves the team's requests when no move is running. */
  version: VersionId
  move?: MoveDeclaration
  routes: RouteDeclaration[]
  /** SHA-256 digests, in hex, of the tokens that callers of this team present. */
  tokenDigests: string[]
  /** Relative weight of this team when several teams compete for backend servers; a larger weight gets a larger share. */
  weight: number
  /** Largest number of this team's requests in flight on one node. */
  maxConcurrent: number
  /** Largest number of this team's requests queued on one node. */
  maxQueued: number
  /** Longest time from the arrival of a request to its deadline. */
  maxRequestMs: number
  /** Failure domains in which the team's backend servers run. */
  domains: DomainId[]
  minBackends: number
  maxBackends: number
  /** Highest price of an instance, in thousandths of a euro per hour. */
  maxPriceMilliEuroPerHour: number
  /** Whether the team's backend servers refuse orders with an outdated fencing number. */
  checksFencing: boolean
}

/** Share of a team's requests that each version gets on a node; the shares add up to 1. */
export interface VersionShares {
  shares: Array<{ version: VersionId, share: number }>
}
