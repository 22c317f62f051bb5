/**
 * Quotas of teams over all nodes together. Each node keeps the whole bucket:
 * it takes from it what it lets in itself and what the others tell that they
 * let in. While others can't be heard, their part of the rate is left to them.
 */
import type { Clock } from '../clock/index.ts'
import type { NodeId, TeamId } from '../ids/index.ts'

/** A team's limit: a rate, and what may come at once. */
export interface QuotaLimit {
  perSecond: number
  burst: number
}

/** Options of the quotas of one node. */
export interface QuotaOptions {
  clock: Clock
  /** Share of the rate that nodes may use which this node hears, itself included: 1 when it hears all. */
  heardShare: () => number
}

/** The quotas as one node keeps them. */
export interface Quotas {
  /** Takes tokens; 0 when they were taken, else the time after which they may be there. */
  take: (team: TeamId, limit: QuotaLimit, tokens: number) => number
  /** Tokens that this node has taken in its life, by team. */
  taken: () => ReadonlyMap<TeamId, number>
  /** What another node has taken in a life of its own. */
  peerTaken: (from: NodeId, life: string, taken: ReadonlyMap<TeamId, number>) => void
  /** What a refusal rests on. */
  explain: (team: TeamId) => Record<string, unknown>
}

interface Bucket {
  level: number
  updatedAtMs: number
  limit: QuotaLimit
}

const secondMs = 1_000

/** Creates full buckets when they are first needed. */
export function createQuotas ({ clock, heardShare }: QuotaOptions): Quotas {
  const buckets = new Map<TeamId, Bucket>()
  const own = new Map<TeamId, number>()
  const peers = new Map<NodeId, { life: string, taken: ReadonlyMap<TeamId, number> }>()

  function refresh (bucket: Bucket): void {
    const nowMs = clock.monotonicMs()
    const grown = bucket.limit.perSecond * heardShare() * (nowMs - bucket.updatedAtMs) / secondMs
    bucket.level = Math.min(bucket.limit.burst, bucket.level + grown)
    bucket.updatedAtMs = nowMs
  }

  function bucketOf (team: TeamId, limit: QuotaLimit): Bucket {
    const known = buckets.get(team)
    if (known === undefined) {
      const made = { level: limit.burst, updatedAtMs: clock.monotonicMs(), limit }
      buckets.set(team, made)
      return made
    }
    refresh(known)
    known.limit = limit
    known.level = Math.min(known.level, limit.burst)
    return known
  }

  function take (team: TeamId, limit: QuotaLimit, tokens: number): number {
    const bucket = bucketOf(team, limit)
    // A request larger than the burst passes when the bucket is full, and leaves a debt.
    const needed = Math.min(tokens, limit.burst)
    if (bucket.level < needed) return (needed - bucket.level) / limit.perSecond * secondMs
    bucket.level -= tokens
    own.set(team, (own.get(team) ?? 0) + tokens)
    return 0
  }

  function peerTaken (from: NodeId, life: string, taken: ReadonlyMap<TeamId, number>): void {
    const before = peers.get(from)
    const isSameLife = before?.life === life
    for (const [team, tokens] of taken) {
      const added = tokens - (isSameLife ? before?.taken.get(team) ?? 0 : 0)
      const bucket = buckets.get(team)
      if (bucket === undefined || added <= 0) continue
      refresh(bucket)
      bucket.level -= added
    }
    peers.set(from, { life, taken })
  }

  return {
    take,
    taken: () => own,
    peerTaken,
    explain: team => {
      const bucket = buckets.get(team)
      return bucket === undefined ? {} : { quotaLevel: Math.round(bucket.level), quotaPerSecond: bucket.limit.perSecond, heardShare: heardShare() }
    }
  }
}
