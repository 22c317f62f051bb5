/** Types of the configuration that is in effect on a node. */
import type { KeyValueEntry } from '../platform/key-value/types.ts'
import type { NodeId, TeamId, WriteId } from '../ids/index.ts'
import type { TeamDeclaration } from '../teams/types.ts'
import type { FeedReadiness, FeedStatus } from './feed/index.ts'

/** A value in the key-value service, with its author, its time and an id that is unique to the write. */
export interface DeclaredValue<Content> {
  writeId: WriteId
  /** Name of the operator, or id of the node that wrote the value as holder of a duty. */
  by: string
  atMs: number
  content: Content
}

/** What is stored for a team: its template, the parameters and the declaration that they resolve to. */
export interface TeamContent {
  template: string
  parameters: Record<string, unknown>
  declaration: TeamDeclaration
}

/** All declarations in effect, taken from one revision of the key-value service. */
export interface EffectiveConfiguration {
  revision: number
  teams: ReadonlyMap<TeamId, TeamDeclaration>
}

/** The teams' declarations on one node. A change reaches every node within seconds. */
export interface Configuration {
  current: () => EffectiveConfiguration
  /** Calls the listener with the ids of the teams that changed; returns a function that unsubscribes it. */
  onChange: (listener: (teams: TeamId[]) => void) => () => void
  readiness: () => FeedReadiness
  status: () => FeedStatus
  statusOfPeers: (deadlineAtMs: number) => Promise<Map<NodeId, FeedStatus>>
  /** The stored entry of a key under `config/`, such as a template. */
  entry: (key: string) => KeyValueEntry | undefined
  close: () => Promise<void>
}
