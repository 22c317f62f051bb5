/**
 * Team quotas across all nodes, as replicated token buckets. Each node keeps the
 * team's whole bucket and subtracts what it admits itself and what the other nodes report
 * that they admitted. Reports arrive late, so between them every node could admit all that
 * is available. While the other nodes are asked for more than that, each node therefore
 * admits a random part of its own requests, so that all of them together use up the
 * bucket and no more. The part of rate and burst that belongs to nodes without current
 * reports is left to them. A node that restarts continues with the levels that the others
 * know or have stored; while there are none, its buckets begin empty. With collectors, one of
 * them decides instead, see `cluster-quotas.ts`.
 */
import { createBucketRules, excessDelayMs } from './buckets.ts'
import { createPeerUsage } from './peer-usage.ts'
import { createWindowUse } from './window-use.ts'
import type { TeamId } from '../ids/index.ts'
import type { Bucket } from './buckets.ts'
import type { PeerReport } from './peer-usage.ts'
import type { QuotaLevels, QuotaLimit, QuotaOptions, QuotaReport, Quotas, QuotaUsage } from './types.ts'

const secondMs = 1_000
/** Part of the tolerance that may be used again after all nodes have forgotten it. */
const forgettableRatio = 0.3
/** Time over which all nodes together use up what is available, in ages of their reports; below three the admissions would oscillate. */
const spendingHorizonAges = 3
/** Time after a start without knowledge of others for which a node uses only its own share, until the others' reports tell what they are asked for. */
const settleMs = 600
/** Part of what the window has left that all nodes together may admit before a collector hears of it. */
const allowanceRatio = 0.75
/** Longest time until a collector's digest contains what this node admitted: an interval of reports and half a second for the digest, rounded up. */
const accountedAfterMs = 1_000
/** Slots before the current one whose own admissions may not be accounted for yet: between one and two seconds with a window of 8 s. */
const unaccountedSlots = 1
/** Time without a report after which a collector leaves a node's share to it. */
const silentAfterMs = 600
/** Part of the refill, and of the tolerance, that nodes use while the collector doesn't respond: the next one doesn't know yet what they admit meanwhile. */
const aloneRefillRatio = 1.15
const aloneToleranceRatio = 0.6

/** Creates the quotas of one node. A team's bucket is created at its first request or the first report of one. */
export function createQuotas (options: QuotaOptions): Quotas {
  const { clock, random, reachableShare, reportAgeMs, tolerance = { windowMs: secondMs, share: 0, extra: 0 }, limitOf = () => undefined, isExact = false, keepsReserve = () => isExact } = options
  const buckets = new Map<TeamId, Bucket>()
  const usage = new Map<TeamId, QuotaUsage>()
  const peerUsage = createPeerUsage({ clock, countsAsked: !isExact })
  const { toleranceOf, refillPerSecond, ...rules } = createBucketRules(tolerance)
  /** Levels that others reported before this node had the bucket. */
  const reportedLevels = new Map<TeamId, QuotaLevels & { receivedAtMs: number, isKnownByAll: boolean }>()
  let isInformed = options.hasFullBuckets
  const startedAtMs = clock.monotonicMs()
  /** What this node knows to be admitted in the last window, and what it admitted itself without the collector. */
  const knownUse = createWindowUse(clock, tolerance.windowMs)
  const unaccountedUse = createWindowUse(clock, tolerance.windowMs)
  /** Monotonic time from which on no admission is missing in `knownUse`. */
  let knownSinceMs = options.hasFullBuckets ? -Infinity : startedAtMs
  const informedAtMs = startedAtMs + tolerance.windowMs

  function refresh (bucket: Bucket): void {
    rules.refresh(bucket, usableShare(bucket), clock.monotonicMs(), keepsReserve())
  }

  /** After a start of all nodes a low level is left to each node in part, until the others' reports tell what they are asked for. */
  function usableShare ({ isKnownByAll }: Pick<Bucket, 'isKnownByAll'>): number {
    const isSettling = !isKnownByAll && clock.monotonicMs() < startedAtMs + settleMs
    return isSettling ? options.ownShare() : reachableShare()
  }

  /** This node and those it hears use no more than their part of the burst, as the others may use theirs. */
  function capacityOf (limit: QuotaLimit, share = reachableShare()): QuotaLevels {
    return rules.capacityOf(limit, share)
  }

  /** Whether this node knows what all nodes admitted in the last window, from others or because it has run for so long. */
  function knowsUsage (): boolean {
    return isInformed || clock.monotonicMs() >= informedAtMs
  }

  function createBucket (team: TeamId, limit: QuotaLimit): Bucket {
    const nowMs = clock.monotonicMs()
    const capacity = capacityOf(limit, keepsReserve() ? 1 : reachableShare())
    const reserved: QuotaLevels = { quota: 0, tolerance: 0 }
    const reported = reportedLevels.get(team)
    reportedLevels.delete(team)
    const bucket: Bucket = reported === undefined
      ? { level: knowsUsage() ? capacity.quota : 0, toleranceLevel: capacity.tolerance, updatedAtMs: nowMs, limit, isKnownByAll: knowsUsage(), reserved }
      : { level: reported.quota, toleranceLevel: reported.tolerance, updatedAtMs: reported.receivedAtMs, limit, isKnownByAll: reported.isKnownByAll, reserved }
    refresh(bucket)
    buckets.set(team, bucket)
    options.onBucketCreated?.({ team, level: bucket.level, isFromPeer: reported !== undefined, knowsUsage: knowsUsage() })
    return bucket
  }

  function bucketOf (team: TeamId, limit: QuotaLimit): Bucket {
    const existing = buckets.get(team)
    if (existing === undefined) return createBucket(team, limit)
    existing.limit = limit
    refresh(existing)
    return existing
  }

  function recordUsage (team: TeamId, quota: number, tolerance: number, asked: number): void {
    knownUse.add(team, quota + tolerance)
    const before = usage.get(team) ?? { quota: 0, tolerance: 0, asked: 0 }
    usage.set(team, { quota: before.quota + quota, tolerance: before.tolerance + tolerance, asked: before.asked + asked })
  }

  /** Part of its own requests that this node may admit, so that all nodes use up what is available over the horizon; 1 or more while there is enough for all. */
  function admissibleRatio (team: TeamId, limit: QuotaLimit, availableTokens: number): number {
    const horizonSeconds = spendingHorizonAges * reportAgeMs() / secondMs
    const askedTokens = peerUsage.askedPerSecond(team) * horizonSeconds
    return askedTokens === 0 ? 1 : (availableTokens + refillPerSecond(limit) * horizonSeconds) / askedTokens
  }

  function take (team: TeamId, limit: QuotaLimit, tokens: number): number {
    const bucket = bucketOf(team, limit)
    const availableTokens = bucket.level + bucket.toleranceLevel
    const capacity = capacityOf(limit, usableShare(bucket))
    const largestTokens = capacity.quota + capacity.tolerance
    if (isExact && tokens > largestTokens && usableShare(bucket) < 1) return takeFromShare(team, limit, tokens, bucket, availableTokens)
    // A request larger than the burst needs both parts, and one larger than both a full bucket, which it leaves in debt.
    const requiredTokens = Math.min(tokens, largestTokens)
    // Every other admission is subtracted at once, so nothing has to be left for those that aren't known yet.
    const admissible = isExact ? 1 : admissibleRatio(team, limit, availableTokens)
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
    return Math.ceil(Math.max(refillMs, excessDelayMs(admissible), 1))
  }

  function takeAllowance (team: TeamId, limit: QuotaLimit, tokens: number): boolean {
    const bucket = bucketOf(team, limit)
    if (bucket.level < tokens || clock.monotonicMs() < knownSinceMs + tolerance.windowMs) return false
    const windowTokens = limit.perSecond * tolerance.windowMs / secondMs + limit.burst + toleranceOf(limit)
    // The collector may admit as much until its digest shows what nodes admit now.
    const collectorTokens = bucket.level + limit.perSecond * accountedAfterMs / secondMs
    const allowance = (windowTokens - knownUse.sum(team) - collectorTokens) * allowanceRatio * options.ownShare()
    if (unaccountedUse.sum(team, unaccountedSlots) + tokens > allowance) return false
    unaccountedUse.add(team, tokens)
    bucket.level -= tokens
    recordUsage(team, tokens, 0, tokens)
    return true
  }

  /**
   * Nodes that are cut off may have less than one large request, and must not all leave a debt. It is admitted with
   * the probability that makes the mean right, and the available tokens are used up either way.
   */
  function drawFromShare (bucket: Bucket, tokens: number, availableTokens: number): boolean {
    const chargedTokens = Math.min(tokens, availableTokens)
    if (chargedTokens <= 0) return false
    bucket.level -= chargedTokens
    return random() * tokens < chargedTokens
  }

  function takeFromShare (team: TeamId, limit: QuotaLimit, tokens: number, bucket: Bucket, availableTokens: number): number {
    const isAdmitted = drawFromShare(bucket, tokens, availableTokens)
    recordUsage(team, isAdmitted ? tokens : 0, 0, tokens)
    return isAdmitted ? 0 : Math.ceil(Math.max(1, tokens / (limit.perSecond * usableShare(bucket)) * secondMs))
  }

  function takeAlone (team: TeamId, limit: QuotaLimit, tokens: number): number {
    const bucket = bucketOf(team, limit)
    const availableTokens = bucket.level + Math.max(0, bucket.toleranceLevel * aloneToleranceRatio)
    const askedPerSecond = peerUsage.askedPerSecond(team)
    const refillRatio = askedPerSecond === 0 ? 1 : limit.perSecond * aloneRefillRatio / askedPerSecond
    const admissible = Math.min(admissibleRatio(team, limit, availableTokens), refillRatio)
    if (random() < admissible && drawFromShare(bucket, tokens, availableTokens)) {
      unaccountedUse.add(team, tokens)
      recordUsage(team, tokens, 0, tokens)
      return 0
    }
    return recordRefusal(team, limit, tokens)
  }

  function recordRefusal (team: TeamId, limit: QuotaLimit, tokens: number): number {
    recordUsage(team, 0, 0, tokens)
    const { level, toleranceLevel } = bucketOf(team, limit)
    return Math.ceil(Math.max(1, excessDelayMs(admissibleRatio(team, limit, level + toleranceLevel))))
  }

  /** Sets the levels to those of a source that has heard of all usage, less what this node has admitted since its start. */
  function takeOverLevels (levels: ReadonlyMap<TeamId, QuotaLevels>, receivedAtMs: number, isKnownByAll: boolean): void {
    for (const [team, reported] of levels) if (!buckets.has(team)) reportedLevels.set(team, { ...reported, receivedAtMs, isKnownByAll })
    for (const [team, bucket] of buckets) {
      const capacity = capacityOf(bucket.limit)
      const { quota, tolerance } = levels.get(team) ?? capacity
      const own = usage.get(team) ?? { quota: 0, tolerance: 0 }
      bucket.level = quota - own.quota
      bucket.toleranceLevel = tolerance - own.tolerance
      bucket.updatedAtMs = receivedAtMs
      bucket.isKnownByAll = isKnownByAll || !levels.has(team)
    }
    isInformed = true
  }

  function lowLevels (): Map<TeamId, QuotaLevels> | undefined {
    if (!knowsUsage()) return undefined
    const low = new Map<TeamId, QuotaLevels>()
    for (const [team, bucket] of buckets) {
      refresh(bucket)
      const missingTokens = capacityOf(bucket.limit).quota - bucket.level
      if (missingTokens > toleranceOf(bucket.limit) * forgettableRatio) low.set(team, { quota: Math.round(bucket.level), tolerance: Math.round(bucket.toleranceLevel) })
    }
    return low
  }

  function onStoredLevels (levels: ReadonlyMap<TeamId, QuotaLevels>, ageMs: number): void {
    if (knowsUsage()) return
    takeOverLevels(levels, clock.monotonicMs() - Math.min(ageMs, tolerance.windowMs), false)
  }

  /** Lowers levels to those of a new source, which may have heard of usage that this node hasn't. */
  function lowerLevels (levels: ReadonlyMap<TeamId, QuotaLevels>): void {
    for (const [team, reported] of levels) {
      const bucket = buckets.get(team)
      if (bucket === undefined) {
        const known = reportedLevels.get(team)
        if (known === undefined || reported.quota < known.quota) reportedLevels.set(team, { ...reported, receivedAtMs: clock.monotonicMs(), isKnownByAll: true })
        continue
      }
      refresh(bucket)
      bucket.level = Math.min(bucket.level, reported.quota)
      bucket.toleranceLevel = Math.min(bucket.toleranceLevel, reported.tolerance)
    }
  }

  /** Time for which the refill of a node was left to it, because it was silent; what it used of it isn't subtracted a second time. */
  function reservedMs ({ receivedAtMs }: PeerReport): number {
    return isExact ? Math.max(0, clock.monotonicMs() - receivedAtMs - silentAfterMs) : 0
  }

  function onPeerReport ({ source, bootId, usage: taken, levels, isFirst }: QuotaReport): void {
    const previous = peerUsage.replace(source, bootId, taken)
    if (levels !== undefined && !knowsUsage()) takeOverLevels(levels, clock.monotonicMs(), true)
    else if (levels !== undefined && isFirst) lowerLevels(levels)
    if (isFirst) {
      knownSinceMs = clock.monotonicMs()
      return
    }
    for (const [team, { quota, tolerance }] of taken) {
      const existing = previous?.teams.get(team)
      // A collector gets many reports, and most of them change the usage of few teams.
      if (isExact && existing?.quota === quota && existing.tolerance === tolerance) continue
      knownUse.add(team, quota + tolerance - (existing?.quota ?? 0) - (existing?.tolerance ?? 0))
      const limit = limitOf(team) ?? buckets.get(team)?.limit
      if (limit === undefined) continue
      const bucket = bucketOf(team, limit)
      const reservedTokens = previous === undefined ? 0 : limit.perSecond * reservedMs(previous) / secondMs * options.ownShare()
      const added = quota - (existing?.quota ?? 0)
      bucket.level -= Math.max(Math.min(0, added), added - reservedTokens)
      bucket.toleranceLevel -= tolerance - (existing?.tolerance ?? 0)
    }
  }

  return {
    take,
    takeAllowance,
    takeAlone,
    recordGrant: (team, limit, grant, tokens) => {
      const bucket = bucketOf(team, limit)
      bucket.level -= grant.quota
      bucket.toleranceLevel -= grant.tolerance
      recordUsage(team, grant.quota, grant.tolerance, tokens)
    },
    recordRefusal,
    localUsage: () => usage,
    levels: () => {
      if (!knowsUsage()) return undefined
      return new Map([...buckets].map(([team, bucket]) => {
        refresh(bucket)
        return [team, { quota: bucket.level, tolerance: bucket.toleranceLevel }]
      }))
    },
    lowLevels,
    onStoredLevels,
    onPeerReport,
    explain: team => {
      const bucket = buckets.get(team)
      if (bucket === undefined) return {}
      return {
        quotaLevel: Math.round(bucket.level),
        toleranceLevel: Math.round(bucket.toleranceLevel),
        askedElsewherePerSecond: Math.round(peerUsage.askedPerSecond(team)),
        quotaPerSecond: bucket.limit.perSecond,
        heardShare: reachableShare()
      }
    }
  }
}
