/**
 * Types of the router: the input and result of a choice, and the feedback that
 * the router receives about attempts, load and caches.
 */
import type { Result } from 'true-myth'
import type { BackendSpeeds } from '../backend-speeds/types.ts'
import type { Backend, CacheEvent, LoadReport } from '../backends/types.ts'
import type { AttemptId, BackendId, NodeId, RequestId, TeamId, VersionId } from '../ids/index.ts'
import type { Refusal } from '../outcomes/index.ts'
import type { Priority, VersionShares } from '../teams/types.ts'
import type { Clock } from '../clock/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { EngineProfile } from './engine-profile.ts'

export type { EngineProfile } from './engine-profile.ts'

/** A prompt split into blocks. Each hash covers its block and all blocks before it. */
export interface PromptBlocks {
  /** Hex hashes of the complete blocks, first to last. */
  hashes: string[]
  /** Estimated tokens of the whole prompt. */
  tokens: number
  /** Tokens of each block when blocks differ in size; without it, each block has `tokensPerBlock` tokens. */
  blockTokens?: number[]
  /**
   * Requests with the same key prefer the same backend servers. When it is set, the
   * last block belongs to this request alone. Without it, the key is derived from the hashes.
   */
  affinityKey?: string
}

/** Splits prompts into blocks and hashes texts. */
export interface PromptHasher {
  blocks: (prompt: string) => PromptBlocks
  /** Maps a text to an evenly distributed number from 0 (inclusive) to 1 (exclusive), the same on every node. */
  draw: (text: string) => number
  /** Returns an unsigned 32-bit hash of a text. */
  hash32: (text: string) => number
}

/** A request that needs a backend server for its next attempt. */
export interface RouteRequest {
  request: RequestId
  team: TeamId
  shares: VersionShares
  /** Undefined for calls to plain services. */
  prompt?: PromptBlocks
  priority: Priority
  deadlineAtMs: number
  /** Wall time by which the first token must arrive; defaults to `deadlineAtMs`. */
  firstTokenDeadlineAtMs?: number
  /** Compares all live backend servers instead of a few; useful when the load from other nodes is known without delay. */
  compareAllBackends?: boolean
  /** Decides which backend servers are always compared: those for which this node has permits that others don't have. */
  isAlwaysCompared?: (backend: BackendId) => boolean
  /** Backend servers where earlier attempts of this request failed. */
  excluded: ReadonlySet<BackendId>
  /** Restricts the choice to one version, for example to continue an answer that this version began. */
  requiredVersion?: VersionId
}

/** Load that one node causes at one backend server. */
export interface PeerLoad {
  /** Requests in flight. */
  requests: number
  /** Prompt tokens that are yet to be computed. */
  pendingTokens: number
}

/** Block hashes of a prompt prefix, and the backend server that has it cached because it was sent there. */
export interface PrefixPlacement {
  backend: BackendId
  hashes: string[]
}

/**
 * Why a backend server was chosen:
 * - `prefix-held`: the prefix index says that it has a prefix of the prompt cached
 * - `prefix-fetched`: it fetches the prefix from another engine
 * - `prefix-home`: it is an affinity backend server of the prompt and probably has the prefix cached
 * - `least-cost`: it has the lowest cost without an expected cache hit
 */
export type RouteReason = 'prefix-held' | 'prefix-fetched' | 'prefix-home' | 'least-cost'

/** The backend server that was chosen for one attempt, and the estimates behind the choice. */
export interface RouteChoice {
  backend: Backend
  version: VersionId
  reason: RouteReason
  promptTokens: number
  expectedCachedTokens: number
  /** Backend server from which the engine fetches a longer cached prefix; undefined when nothing is fetched. */
  fetchFrom: Backend | undefined
  /** Expected time from sending the attempt to its first token, or to the response of a plain service. */
  expectedFirstTokenMs: number
  /** Expected time to compute the prompt tokens that aren't cached, at the speed that the service's profile states. */
  prefillMs: number
  /** Requests that were running or waiting there, as far as known. */
  requestsAhead: number
  prompt: PromptBlocks | undefined
}

/** Outcome of an attempt, as feedback to the router. */
export interface RouteOutcome {
  ok: boolean
  /** False when the backend server isn't responsible for a failure, such as a cancellation or a reclaim; defaults to true. */
  attributedToBackend?: boolean
  /** Prompt tokens that the engine found in its cache, if it reported them. */
  cachedTokens?: number
  promptTokens?: number
  /** Number of gaps between the events of a stream, and the time from its first to its last event. */
  eventGaps?: { count: number, sumMs: number }
}

/** Chooses backend servers and keeps the state that the choice needs. All functions are synchronous and do no I/O. */
export interface Router {
  choose: (request: RouteRequest, backends: readonly Backend[]) => Result<RouteChoice, Refusal>
  /** Records that the attempt was sent to the chosen backend server. */
  onAttemptSent: (attempt: AttemptId, choice: RouteChoice) => void
  /** Records that the attempt's first token, or the response of a plain service, has arrived. */
  onFirstToken: (attempt: AttemptId) => void
  /** Records the first event of a stream, which is a sample of the backend server's speed. */
  onFirstEvent: (attempt: AttemptId) => void
  onAttemptEnded: (attempt: AttemptId, outcome: RouteOutcome) => void
  onLoadReport: (report: LoadReport) => void
  /** Replaces the load that another node causes, by backend server. An empty map removes the node. */
  onPeerLoad: (from: NodeId, loads: ReadonlyMap<BackendId, PeerLoad>) => void
  /** Returns the load that this node causes, by backend server, to report it to the other nodes. */
  localLoads: () => Map<BackendId, PeerLoad>
  /** Returns the prefixes that this node sent within the last reporting window, to report them to the other nodes. */
  recentPrefixes: () => PrefixPlacement[]
  /** Adds prefixes that another node sent to the index. */
  onPeerPrefixes: (placements: readonly PrefixPlacement[]) => void
  onCacheEvents: (backend: BackendId, events: readonly CacheEvent[]) => void
  /** Deletes the state of a backend server that is gone. */
  removeBackend: (backend: BackendId) => void
  close: () => void
}

/** Options of a router. */
export interface RouterOptions {
  node: NodeId
  clock: Clock
  metrics: Metrics
  hasher: PromptHasher
  /** Returns an evenly distributed number from 0 (inclusive) to 1 (exclusive), from a seeded source. */
  random: () => number
  profileOf: (machineClass: string) => EngineProfile
  /** The learned speeds of backend servers; without them, only this node's own recent latency ratios correct the profiles. */
  speeds?: Pick<BackendSpeeds, 'record' | 'recordPace' | 'profileOf'>
  /** Decides whether a backend server may serve a team; by default, only the team that it was started for. */
  mayServe?: (backend: Backend, team: TeamId) => boolean
  /** Largest number of backend servers from which the two random candidates are picked. */
  subsetSize?: number
  /** Time after its last use for which a prefix is considered cached; without it, until it is evicted from the index. */
  prefixTtlMs?: number
  /** Most block hashes that the prefix index holds. */
  maxIndexEntries?: number
}

/** Creates a router. Implementations with other policies, such as the naive baseline, have the same signature. */
export type CreateRouter = (options: RouterOptions) => Router
