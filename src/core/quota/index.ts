/**
 * Team quotas across all nodes, as replicated token buckets. Each node keeps the
 * team's whole bucket and subtracts what it admits itself and what the other nodes report
 * that they admitted. Reports arrive late, so between them every node could admit all that
 * is available. While the other nodes are asked for more than that, each node therefore
 * admits a random part of its own requests, so that all of them together use up the
 * bucket and no more. The rate that belongs to nodes without current reports is left to
 * them.
 */
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
  /** Mean age in ms of what this node knows of the others' admissions. */
  reportAgeMs: () => number
  /** A team's quota in the configuration, for usage that others report before this node gets a request of the team. */
  limitOf?: (team: TeamId) => QuotaLimit | undefined
}

/** The quotas of one node. */
export interface Quotas {
  /** Takes tokens. Returns 0 on success, otherwise the delay in milliseconds after which they may be available. */
  take: (team: TeamId, limit: QuotaLimit, tokens: number) => number
  /** Returns what this node has taken since its process started, by team. */
  localUsage: () => ReadonlyMap<TeamId, QuotaUsage>
  /** Subtracts what another node has taken since its last report. `bootId` identifies a start of that node's process; its counters restart with it. */
  onPeerUsage: (node: NodeId, bootId: string, taken: ReadonlyMap<TeamId, QuotaUsage>) => void
  /** Records, without subtracting it, what one node or several took before this node received their first report. */
  setPeerBaseline: (node: NodeId, bootId: string, taken: ReadonlyMap<TeamId, QuotaUsage>) => void
  /** Returns the values behind a refusal, such as the level of the team's bucket. */
  explain: (team: TeamId) => Record<string, unknown>
}

/** Token bucket of a team's quota and of the tolerance beyond it. */
interface Bucket {
  /** Available tokens; negative when peers reported more than was left. */
  level: number
  toleranceLevel: number
  updatedAtMs: number
  limit: QuotaLimit
}

/** Tokens that a node has taken since its process started, from the quota itself and from the tolerance, and all that it was asked for. */
export interface QuotaUsage {
  quota: number
  tolerance: number
  asked: number
}

const secondMs = 1_000
/** Parts of the tolerance that may be used at once and over one window. The rest covers admissions that other nodes haven't reported yet. */
const toleranceBurstRatio = 0.2
const toleranceRefillRatio = 0.45
/** Time constant of the moving average of what nodes are asked for. */
const askedTimeConstantMs = 1_000
/** Age from which a report no longer tells what its source is asked for; several report intervals. */
const maxReportAgeMs = 1_500
/** Time over which all nodes together use up what is available, in ages of their reports; below three the admissions would oscillate. */
const spendingHorizonAges = 3
/** Longest delay for a request that was refused although tokens were left. */
const maxExcessDelayMs = 4_000

/** A team's usage in the last report of a source. */
interface PeerTeamUsage extends QuotaUsage {
  /** Moving average of the tokens that the source is asked for. */
  askedPerSecond: number
}

/** The last report of one source: a node, or a collector with the totals of several. */
interface PeerReport {
  bootId: string
  /** Monotonic time. */
  receivedAtMs: number
  teams: Map<TeamId, PeerTeamUsage>
}

/** Creates the quotas of one node. A team's bucket is created full, at its first request or the first report of one. */
export function createQuotas (options: QuotaOptions): Quotas {
  const { clock, random, reachableShare, reportAgeMs, tolerance = { windowMs: secondMs, share: 0, extra: 0 }, limitOf = () => undefined } = options
  const buckets = new Map<TeamId, Bucket>()
  const usage = new Map<TeamId, QuotaUsage>()
  const peerReports = new Map<NodeId, PeerReport>()

  /** Returns how many tokens may be taken beyond a quota in one window. */
  function toleranceOf ({ perSecond, burst }: QuotaLimit): number {
    return (perSecond * tolerance.windowMs / secondMs + burst) * tolerance.share + tolerance.extra
  }

  function refresh (bucket: Bucket): void {
    const nowMs = clock.monotonicMs()
    const effectiveElapsedMs = (nowMs - bucket.updatedAtMs) * reachableShare()
    const refilledTokens = bucket.limit.perSecond * effectiveElapsedMs / secondMs
    const toleranceTokens = toleranceOf(bucket.limit)
    bucket.level = Math.min(bucket.limit.burst, bucket.level + refilledTokens)
    bucket.toleranceLevel = Math.min(toleranceTokens * toleranceBurstRatio, bucket.toleranceLevel + toleranceTokens * toleranceRefillRatio * effectiveElapsedMs / tolerance.windowMs)
    bucket.updatedAtMs = nowMs
  }

  function bucketOf (team: TeamId, limit: QuotaLimit): Bucket {
    const existing = buckets.get(team)
    if (existing === undefined) {
      const created = { level: limit.burst, toleranceLevel: toleranceOf(limit) * toleranceBurstRatio, updatedAtMs: clock.monotonicMs(), limit }
      buckets.set(team, created)
      return created
    }
    existing.limit = limit
    refresh(existing)
    return existing
  }

  function recordUsage (team: TeamId, quota: number, tolerance: number, asked: number): void {
    const before = usage.get(team) ?? { quota: 0, tolerance: 0, asked: 0 }
    usage.set(team, { quota: before.quota + quota, tolerance: before.tolerance + tolerance, asked: before.asked + asked })
  }

  function askedPerSecondElsewhere (team: TeamId): number {
    const oldestAtMs = clock.monotonicMs() - maxReportAgeMs
    let perSecond = 0
    for (const { teams, receivedAtMs } of peerReports.values()) {
      if (receivedAtMs >= oldestAtMs) perSecond += teams.get(team)?.askedPerSecond ?? 0
    }
    return perSecond
  }

  /** Rate at which quota and tolerance are refilled together. */
  function refillPerSecond (limit: QuotaLimit): number {
    return limit.perSecond + toleranceOf(limit) * toleranceRefillRatio * secondMs / tolerance.windowMs
  }

  /** Part of its own requests that this node may admit, so that all nodes use up what is available over the horizon; 1 or more while there is enough for all. */
  function admissibleRatio (team: TeamId, limit: QuotaLimit, availableTokens: number): number {
    const horizonSeconds = spendingHorizonAges * reportAgeMs() / secondMs
    const askedTokens = askedPerSecondElsewhere(team) * horizonSeconds
    return askedTokens === 0 ? 1 : (availableTokens + refillPerSecond(limit) * horizonSeconds) / askedTokens
  }

  function take (team: TeamId, limit: QuotaLimit, tokens: number): number {
    const bucket = bucketOf(team, limit)
    const availableTokens = bucket.level + bucket.toleranceLevel
    const largestTokens = limit.burst + toleranceOf(limit) * toleranceBurstRatio
    // A request larger than the burst needs both parts, and one larger than both a full bucket, which it leaves in debt.
    const requiredTokens = Math.min(tokens, largestTokens)
    const admissible = admissibleRatio(team, limit, availableTokens)
    if (availableTokens >= requiredTokens && random() < admissible) {
      const fromQuota = Math.max(0, Math.min(tokens, bucket.level))
      bucket.level -= fromQuota
      bucket.toleranceLevel -= tokens - fromQuota
      recordUsage(team, fromQuota, tokens - fromQuota, tokens)
      return 0
    }
    recordUsage(team, 0, 0, tokens)
    const missingTokens = Math.max(0, requiredTokens - availableTokens)
    // The tolerance may already be at its maximum, so only the quota is certain to be refilled.
    const refillMs = missingTokens / limit.perSecond * secondMs
    // Time in which the excess of one second is worked off.
    const excessMs = admissible < 1 ? Math.min(maxExcessDelayMs, (1 / Math.max(admissible, Number.EPSILON) - 1) * secondMs) : 0
    return Math.ceil(Math.max(refillMs, excessMs, 1))
  }

  /** Replaces the report of a source and returns the one before, if it was of the same process. */
  function replaceReport (node: NodeId, bootId: string, taken: ReadonlyMap<TeamId, QuotaUsage>): PeerReport | undefined {
    const nowMs = clock.monotonicMs()
    const known = peerReports.get(node)
    const previous = known?.bootId === bootId ? known : undefined
    const intervalMs = previous === undefined ? 0 : nowMs - previous.receivedAtMs
    const weight = 1 - Math.exp(-intervalMs / askedTimeConstantMs)
    const teams = new Map<TeamId, PeerTeamUsage>()
    for (const [team, { quota, tolerance, asked }] of taken) {
      const before = previous?.teams.get(team)
      const averagePerSecond = before?.askedPerSecond ?? 0
      const latestPerSecond = intervalMs === 0 ? averagePerSecond : (asked - (before?.asked ?? asked)) / intervalMs * secondMs
      teams.set(team, { quota, tolerance, asked, askedPerSecond: averagePerSecond + weight * (latestPerSecond - averagePerSecond) })
    }
    peerReports.set(node, { bootId, receivedAtMs: nowMs, teams })
    return previous
  }

  function onPeerUsage (node: NodeId, bootId: string, taken: ReadonlyMap<TeamId, QuotaUsage>): void {
    const previous = replaceReport(node, bootId, taken)
    for (const [team, { quota, tolerance }] of taken) {
      const existing = previous?.teams.get(team)
      const limit = limitOf(team) ?? buckets.get(team)?.limit
      if (limit === undefined) continue
      const bucket = bucketOf(team, limit)
      bucket.level -= quota - (existing?.quota ?? 0)
      bucket.toleranceLevel -= tolerance - (existing?.tolerance ?? 0)
    }
  }

  return {
    take,
    localUsage: () => usage,
    onPeerUsage,
    setPeerBaseline: (node, bootId, taken) => { replaceReport(node, bootId, taken) },
    explain: team => {
      const bucket = buckets.get(team)
      if (bucket === undefined) return {}
      return {
        quotaLevel: Math.round(bucket.level),
        toleranceLevel: Math.round(bucket.toleranceLevel),
        askedElsewherePerSecond: Math.round(askedPerSecondElsewhere(team)),
        quotaPerSecond: bucket.limit.perSecond,
        heardShare: reachableShare()
      }
    }
  }
}
