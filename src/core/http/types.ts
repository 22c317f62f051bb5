/** Types of the HTTP server and of what it needs from the other components. */
import type { Admission } from '../admission/types.ts'
import type { Clock } from '../clock/index.ts'
import type { IdempotencyKey, NodeId, TeamId } from '../ids/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { Refusal } from '../outcomes/index.ts'
import type { Drafts } from '../requests/index.ts'
import type { ServiceResponse } from '../backends/types.ts'
import type { RouteDeclaration, TeamDeclaration } from '../teams/types.ts'
import type { Result } from 'true-myth'

/** A call as a caller sent it. */
export interface CallRequest {
  team: TeamDeclaration
  route: RouteDeclaration
  /** Only undefined for routes whose calls are repeatable. */
  key: IdempotencyKey | undefined
  contentType: string
  body: Buffer
  deadlineAtMs: number
}

/** Runs a call until its outcome is known. */
export type RunCall = (call: CallRequest, signal: AbortSignal) => Promise<Result<ServiceResponse, Refusal>>

/** Whether the load balancer may send new requests to this node, and otherwise the reason why not. */
export type Readiness = { ready: true } | { ready: false, reason: string }

/** Options of `createCallerServer`. */
export interface CallerServerOptions {
  node: NodeId
  host: string
  port: number
  clock: Clock
  log: Log
  metrics: Metrics
  admission: Admission
  drafts: Drafts
  runCall: RunCall
  /** Number of concurrent requests that this node may send to a team's live backend servers, by their current limits. */
  capacityOf: (team: TeamId) => number
  /** The declaration of a team; undefined if there is no such team. */
  findTeam: (team: TeamId) => TeamDeclaration | undefined
  teams: () => Iterable<TeamDeclaration>
  readiness: () => Readiness
  /** Whether the node is about to stop and reports that it isn't ready. */
  isLeaving: () => boolean
  /** Whether the node is stopping and refuses new requests. */
  isDraining: () => boolean
  /** The status for operators. */
  status: () => Promise<unknown>
  operatorDigests: readonly string[]
  maxBodyBytes: number
  maxHeaderMs: number
  maxBodyMs: number
  maxConnections: number
}
