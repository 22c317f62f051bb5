/** Types of version moves: the stored record of a move, and the interface of the moves on a node. */
import type { AttemptObservation } from './attempt-observation.ts'
import type { Backend } from '../backends/types.ts'
import type { BackendId, MoveId, NodeId, TeamId, VersionId, WriteId } from '../ids/index.ts'
import type { TeamDeclaration, VersionShares } from '../teams/types.ts'

/** In what way a new version is worse than the old one. */
export type RegressionKind = 'failing' | LatencyKind

/** Part that a version plays in a service: it serves, is evaluated beside the serving one, or was just replaced and is being stopped. */
export type VersionRole = 'serving' | 'evaluated' | 'replaced'

/** Regressions that show in latencies: of the first token, and between two tokens. */
export type LatencyKind = 'first-token-slow' | 'between-tokens-slow'

/** Attempts of both versions over the same time, on one route and for one kind of regression; "bad" ones show it. */
export interface VersionCounts {
  newBad: number
  oldBad: number
  newTotal: number
  oldTotal: number
}

/** The counts that showed a regression. */
export interface RegressionEvidence extends VersionCounts {
  route: string
  kind: RegressionKind
  /** Node that detected it, in its own counts or in the sum over all nodes. */
  node: NodeId
  atMs: number
}

/** Why a move ended. */
export type EndReason =
  | 'moved'
  | 'bad-version'
  | 'deadline-past'
  | 'not-loaded'
  | 'withdrawn'
  | 'changed'

/** How a move ended. */
export interface MoveEnd {
  word: 'done' | 'taken-back'
  reason: EndReason
  /** Explanation of the reason for the operator. */
  detail: string
  evidence?: RegressionEvidence
  atMs: number
}

/** The stored record of a team's move. It is written by compare-and-swap, and an end that was written is final. */
export interface MoveRecord {
  writeId: WriteId
  move: MoveId
  team: TeamId
  fromVersion: VersionId
  toVersion: VersionId
  startedAtMs: number
  deadlineAtMs: number
  /** The node that last wrote the record under its duty, and the fencing number of that duty. */
  holder: NodeId
  fencingNumber: number
  /** Backend servers that run `fromVersion` after earlier moves, even if the instance list shows another version. */
  servesFrom: BackendId[]
  /** Backend servers that have loaded `toVersion`. */
  loadedOn: BackendId[]
  /** When the new version got its first share of traffic; undefined while it loads. */
  trafficAtMs?: number
  /** Current step of the schedule, and the wall time at which it began. */
  step: number
  stepAtMs: number
  end?: MoveEnd
  /** When the version that no longer serves was unloaded from all backend servers. */
  unloadedAtMs?: number
}

/** The moves of all teams as seen by one node. */
export interface Moves {
  /** Current traffic shares of a team's versions; undefined for an unknown team. */
  sharesOf: (team: TeamId) => VersionShares | undefined
  /** The team's declaration with the version that its last move left in effect. */
  effectiveDeclaration: (team: TeamId) => TeamDeclaration | undefined
  /** Records the result of an attempt. */
  recordAttempt: (observation: AttemptObservation) => void
  /** Returns one entry for each version that each of the backend servers serves. */
  expandVersions: (team: TeamId, backends: readonly Backend[]) => Backend[]
  /** The records known to this node. */
  list: () => MoveRecord[]
  close: () => Promise<void>
}
