/** The naive way, to compare with: each node keeps to an equal part of the limits that it heard of itself, and tells nobody. */
import { createPermitBucket } from '../../../src/core/backend-limits/permits.ts'
import type { PermitBucket } from '../../../src/core/backend-limits/permits.ts'
import type { CreateLimits } from './cluster.ts'

/** Creates the limits of one node. */
export const createEqualShares: CreateLimits = ({ clock, otherNodes }) => {
  const buckets = new Map<string, { perSecond: number, bucket: PermitBucket }>()
  const empty = { limits: [], demands: new Map<string, number>(), shares: undefined }
  return {
    recordResponse: ({ id }, named) => {
      if (named.kind === 'none') buckets.delete(id)
      if (named.kind !== 'named' || buckets.get(id)?.perSecond === named.perSecond) return
      const bucket = buckets.get(id)?.bucket ?? createPermitBucket()
      bucket.setRate({ perSecond: named.perSecond / (otherNodes().length + 1), burst: 1 }, clock.monotonicMs())
      buckets.set(id, { perSecond: named.perSecond, bucket })
    },
    recordDemand: () => {},
    demandPerSecond: () => 0,
    hasPermit: ({ id }) => (buckets.get(id)?.bucket.waitMs(0, clock.monotonicMs()) ?? 0) === 0,
    recordSkipped: () => {},
    take: ({ id }) => {
      const held = buckets.get(id)
      if (held === undefined) return { giveBack: () => {} }
      if (held.bucket.waitMs(0, clock.monotonicMs()) > 0) return undefined
      held.bucket.take()
      return { giveBack: held.bucket.giveBack }
    },
    recordRegistration: () => {},
    removeRegistration: () => {},
    isLimited: ({ id }) => buckets.has(id),
    stateOf: ({ id }) => {
      const held = buckets.get(id)
      return held === undefined ? undefined : { perSecond: held.perSecond, forMs: 0, ownPerSecond: 0, nextPermitInMs: 0 }
    },
    endedAtMs: () => -Infinity,
    onRefused: () => 0,
    report: () => empty,
    digestFor: () => empty,
    mergeLimits: () => {},
    setShares: () => {},
    list: () => []
  }
}
