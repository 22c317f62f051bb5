/** Types of the quotas of one node. */
import type { Clock } from '../clock/index.ts'
import type { NodeId, TeamId } from '../ids/index.ts'

/** A team's quota: the rate and the capacity of its token bucket. */
export interface QuotaLimit {
  perSecond: number
  burst: number
  /** Whether the quota counts tokens; otherwise it counts requests. */
  countsTokens: boolean
}

/** Options of the quotas of one node. */
export interface QuotaOptions {
  clock: Clock
  /** Random number in [0, 1). */
  random: () => number
  /**
   * How far a quota may be exceeded in any window: by a ratio (`share`) of what the window allows,
   * plus a fixed amount (`extra`). Nodes learn of each other's admissions with a delay, and
   * callers shouldn't be refused because of it.
   */
  tolerance?: { windowMs: number, share: number, extra: number }
  /** Returns the share of all nodes from which this node receives reports, itself included; 1 when it receives all reports. */
  reachableShare: () => number
  /** Returns the share of this node alone. */
  ownShare: () => number
  /** Whether no node has admitted anything yet, so that buckets begin full: at the first start of the whole system. */
  hasFullBuckets: boolean
  /** Mean age in ms of what this node knows of the others' admissions. */
  reportAgeMs: () => number
  /** A team's quota in the configuration, for usage that others report before this node gets a request of the team. */
  limitOf?: (team: TeamId) => QuotaLimit | undefined
  onBucketCreated?: (created: BucketCreated) => void
  /** Whether all admissions are decided here or reported soon, as at a collector; then no random part of the requests is refused. */
  isExact?: boolean
  /** Whether all that unheard nodes use is subtracted once they are heard, so that the burst that was left to them may be taken back; by default if the buckets are exact. */
  keepsReserve?: () => boolean
}

/** How a team's bucket began on this node. */
export interface BucketCreated {
  team: TeamId
  level: number
  /** Whether the level is that of another node. */
  isFromPeer: boolean
  /** Whether this node knew what all nodes had admitted; otherwise the bucket began empty. */
  knowsUsage: boolean
}

/** The quotas of one node. */
export interface Quotas {
  /** Takes tokens. Returns 0 on success, otherwise the delay in milliseconds after which they may be available. */
  take: (team: TeamId, limit: QuotaLimit, tokens: number) => number
  /**
   * Takes tokens for which the collector need not be asked, because all nodes together could take as much without
   * exceeding what the window has left. Returns false, and takes nothing, if there are not enough.
   */
  takeAllowance: (team: TeamId, limit: QuotaLimit, tokens: number) => boolean
  /** Takes tokens while the collector doesn't respond: less than `take`. Returns a delay like it. */
  takeAlone: (team: TeamId, limit: QuotaLimit, tokens: number) => number
  /** Records what the collector granted for a request of that many tokens. */
  recordGrant: (team: TeamId, limit: QuotaLimit, grant: QuotaLevels, tokens: number) => void
  /** Records a request that the collector refused, and returns the delay in milliseconds in which the excess is worked off. */
  recordRefusal: (team: TeamId, limit: QuotaLimit, tokens: number) => number
  /** Returns what this node has taken since its process started, by team. */
  localUsage: () => ReadonlyMap<TeamId, QuotaUsage>
  /** The levels of this node's buckets, for nodes that have just started; undefined while this node doesn't know what the others admitted. */
  levels: () => Map<TeamId, QuotaLevels> | undefined
  /** The levels of teams that have used more than the tolerance would cover if it were forgotten; undefined while this node doesn't know what the others admitted. */
  lowLevels: () => Map<TeamId, QuotaLevels> | undefined
  /** Begins with stored levels if this node doesn't know better ones; teams without one have full buckets. `ageMs` is the time since they were stored. */
  onStoredLevels: (levels: ReadonlyMap<TeamId, QuotaLevels>, ageMs: number) => void
  /** Subtracts what the source of a report has admitted since its previous one. */
  onPeerReport: (report: QuotaReport) => void
  /** Returns the values behind a refusal, such as the level of the team's bucket. */
  explain: (team: TeamId) => Record<string, unknown>
}

/** Tokens that a node has taken since its process started, from the quota itself and from the tolerance, and all that it was asked for. */
export interface QuotaUsage {
  quota: number
  tolerance: number
  asked: number
}

/** Available tokens of a team's quota and of the tolerance beyond it; negative after nodes admitted more than was left. */
export interface QuotaLevels {
  quota: number
  tolerance: number
}

/** What another node reports, or a collector for several. */
export interface QuotaReport {
  source: NodeId
  /** Identifies a start of the source's process; its usage restarts with it. */
  bootId: string
  usage: ReadonlyMap<TeamId, QuotaUsage>
  levels: ReadonlyMap<TeamId, QuotaLevels> | undefined
  /** Whether it is the first report of this source. Its usage is then not subtracted, because it is unknown when it occurred. */
  isFirst: boolean
}

/** Which node decides about a request: each its own, this one as the collector, the collector over the network, or this one because it doesn't hear the collector. */
export type QuotaDecider = 'each-node' | 'this-node' | 'collector' | 'unreachable'

/** Asks a collector for tokens of a team. */
export interface QuotaRequest {
  node: NodeId
  bootId: string
  /** Increases with each request of the node. */
  number: number
  team: TeamId
  tokens: number
}

/** A collector's response. */
export interface QuotaDecision {
  /** The collector's start of a process, which counts the granted tokens. */
  bootId: string
  /** The start of the process that asked. */
  requesterBootId: string
  number: number
  /** What was granted; zeros if nothing was. */
  granted: QuotaLevels
  /** 0 after a grant, otherwise the delay in milliseconds after which the tokens may be available; undefined if the collector can't decide. */
  waitMs: number | undefined
}

/** Tokens that collectors granted to a node since its process started, by the collector's start of a process. */
export type QuotaGrants = ReadonlyMap<string, ReadonlyMap<TeamId, QuotaLevels>>

/** What a collector needs from a node's report. */
export interface NodeQuotaReport {
  node: NodeId
  bootId: string
  sequence: number
  quotaUsage: ReadonlyMap<TeamId, QuotaUsage>
  quotaLevels?: ReadonlyMap<TeamId, QuotaLevels> | undefined
  /** Undefined in reports of earlier releases, which ask for nothing. */
  quotaGrants?: QuotaGrants | undefined
}
