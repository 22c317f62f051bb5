/**
 * What the operators declared for a team, after its template's parameters were
 * filled in. This is what is in force, whole, on every node.
 */
import type { DomainId, TeamId, TemplateId, VersionId } from '../ids/index.ts'

/** How important a request is: `urgent` for a lawful notice period or a broadcast, `batch` for work that may wait. */
export type Priority = 'urgent' | 'normal' | 'batch'

/** One route of a team: a path segment after which callers name what they want. */
export interface RouteDeclaration {
  /** Name in the URL, such as `letters` or `registrations`. */
  name: string
  kind: 'draft' | 'call'
  priority: Priority
  /** For calls: whether the backend servers' work may be repeated (a lookup) or not (a registration or grant). */
  repeatable: boolean
}

/** A version move the operator wants: from the version that serves to `toVersion`, by the deadline. */
export interface MoveDeclaration {
  toVersion: VersionId
  deadlineAtMs: number
}

/** One team as declared. */
export interface TeamDeclaration {
  team: TeamId
  template: TemplateId
  kind: 'model-engine' | 'plain-service'
  /** Version that serves when no move is running. */
  version: VersionId
  move?: MoveDeclaration
  routes: RouteDeclaration[]
  /** SHA-256 digests, in hex, of the tokens that callers of this team present. */
  tokenDigests: string[]
  /** Share of this team when backend servers are contended; larger is more. */
  weight: number
  /** Most requests of this team in flight at one node. */
  maxConcurrent: number
  /** Most requests of this team that wait at one node. */
  maxQueued: number
  /** Longest deadline that a request may ask for, from its arrival. */
  maxRequestMs: number
  /** Backend servers wanted, by failure domain. */
  domains: DomainId[]
  minBackends: number
  maxBackends: number
  /** Most that an instance may cost, in thousandths of a euro an hour. */
  maxPriceMilliEuroPerHour: number
  /** Whether the team's backend servers refuse an order with an old fencing number. */
  checksFencing: boolean
}

/** Where a team's version stands on a node: shares by version, summing to 1. */
export interface VersionShares {
  shares: Array<{ version: VersionId, share: number }>
}
