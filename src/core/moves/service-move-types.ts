/** Types of the version moves of services whose new version runs on separate backend servers. */
import type { Clock } from '../clock/index.ts'
import type { NodeId, VersionId } from '../ids/index.ts'
import type { Duty } from '../leases/index.ts'
import type { Log } from '../log/index.ts'
import type { KeyValueStore, Transaction } from '../platform/key-value/types.ts'
import type { RegistrationTimes, VersionPresence } from '../registrations/index.ts'
import type { PackedCounts } from './attempt-counts.ts'
import type { AttemptObservation } from './attempt-observation.ts'
import type { LatencyObservation } from './canary-analysis.ts'
import type { VersionRole } from './types.ts'

/** An operator's order to move a service to a new version within `durationMs`. */
export interface ServiceMoveOrder {
  service: string
  target: VersionId
  durationMs: number
  /** Store revision of the order; later orders have larger ones. */
  revision: number
}

/** State of a move as shown to operators. */
export type ServiceMoveState = 'running' | 'done' | 'taken-back'

/** Why a state is written; `lost` if the key-value service has lost a result that this node knows. */
export type StateCause = 'ordered' | 'bad-version' | 'deadline-past' | 'shown-good' | 'old-version-gone' | 'lost'

/** The last written state of a move. */
export interface ServiceMoveStatus {
  state: ServiceMoveState
  target: VersionId
  revision: number
}

/** What a holder of the duty stored about a move with its last state. */
export interface ServiceMoveRecord {
  /** Revision of the order at that time. */
  revision: number
  /** Wall time at which the move began. */
  startedAtMs: number
  /** Missing in records of earlier releases. */
  state?: ServiceMoveState | undefined
}

/** Report of one node about one move to the other nodes. */
export interface ServiceMoveReport {
  service: string
  revision: number
  /** Whether the node knows of a regression of the new version. */
  isBad: boolean
  /** Empty in most reports; the next ones make up for it. */
  counts: PackedCounts[]
}

/** Options of the service moves of one node. */
export interface ServiceMovesOptions {
  node: NodeId
  clock: Clock
  log: Log
  store: KeyValueStore
  duty: Duty
  orders: () => ServiceMoveOrder[]
  status: (service: string) => ServiceMoveStatus | undefined
  /** The record of an order's move, also if it is from before a restore of the key-value service. */
  record: (order: ServiceMoveOrder) => ServiceMoveRecord | undefined
  /** What is known of the backend servers of other versions than the target. */
  oldVersionPresence: (order: ServiceMoveOrder) => VersionPresence
  /** Whether running backend servers have had the time to register since this node's start or the last restore, and to prove that they run. */
  areRegistrationsSettled: () => boolean
  registrationTimes: RegistrationTimes
  /** The writes for a state and the compares that they require, in addition to the duty's guard. */
  encode: (order: ServiceMoveOrder, state: ServiceMoveState, startedAtMs: number) => Pick<Transaction, 'compares' | 'puts'>
  /** Number of routes to a service, and number of serving nodes. */
  routes: (service: string) => number
  nodes: () => number
  /** Whether this node would know by now that a move has ended; without that it sends the new version nothing. */
  hasCurrentView: () => boolean
  /** Largest share of a service's requests that a canary version may get, 0 to 1. */
  maxShare: number
  /** Number of requests that it may get beyond that share, over all nodes. */
  shareSlack: number
}

/** The result of an attempt at a service. */
export type AttemptResult = Omit<AttemptObservation, 'version' | 'team' | 'firstTokenMs' | 'betweenTokensMs'>

/** The service moves of one node. */
export interface ServiceMoves {
  /** The roles of a service's versions now. The new version stays apart after its move was taken back. */
  versionRolesOf: (service: string) => (version: VersionId) => VersionRole
  /** Current share of a service's requests for its canary version, 0 to 1; 1 if the old version has no backend server left. */
  canaryShareOf: (service: string) => number
  /** Counts an attempt towards the canary version's share, when it is sent. */
  recordSent: (service: string, isCanary: boolean) => void
  /** Records the result of an attempt at a service, without its latencies. */
  recordAttempt: (service: string, isCanary: boolean, evidence: AttemptResult) => void
  /** Records a latency of an attempt as soon as it is known, also while no move is running. */
  recordLatency: (service: string, isCanary: boolean, observation: Omit<LatencyObservation, 'version'>) => void
  /** Reports of this node for the other nodes. */
  reports: () => ServiceMoveReport[]
  /** Adds the reports of another node's process; invalid ones are ignored. */
  mergeReports: (from: NodeId, bootId: string, reports: unknown) => void
  /** Evaluates the summed reports, and begins and ends moves if this node holds the duty. */
  reconcile: () => Promise<void>
}
