/** The permits of one node to send to one limited backend server: a token bucket whose rate may change at any time. */

/** Rate and capacity of a bucket. */
export interface PermitRate {
  /** Permits a second; 0 if this node may send none. */
  perSecond: number
  burst: number
}

/** A bucket of permits. Times are monotonic, in ms. */
export interface PermitBucket {
  /** Sets the rate from now on. When a rate ends, the permits are lost. */
  setRate: (rate: PermitRate, nowMs: number) => void
  /** Time until a request of a class may be sent; lower classes go first. 0 if it may be sent now, Infinity if never at this rate. */
  waitMs: (priorityClass: number, nowMs: number) => number
  take: () => void
  giveBack: () => void
  /** Keeps the next permit for a class or lower ones, for a limited time. */
  reserve: (priorityClass: number, nowMs: number) => void
}

const secondMs = 1_000
/** Longest time for which a permit is kept for a class after it is due. */
const maxReservedMs = 1_000
/** Tolerance for the sums of fractions. */
const epsilon = 1e-9

/** Creates a bucket with a part of a permit, 0 to 1, so that buckets of several nodes don't all fill at the same time. */
export function createPermitBucket (initialLevel = 0): PermitBucket {
  let rate: PermitRate = { perSecond: 0, burst: 1 }
  let level = initialLevel
  let updatedAtMs: number | undefined
  let reserved: { priorityClass: number, untilMs: number } | undefined

  function refresh (nowMs: number): void {
    level = Math.min(rate.burst, level + (nowMs - (updatedAtMs ?? nowMs)) / secondMs * rate.perSecond)
    updatedAtMs = nowMs
  }

  function nextPermitInMs (): number {
    if (level >= 1 - epsilon) return 0
    return rate.perSecond > 0 ? (1 - level) / rate.perSecond * secondMs : Infinity
  }

  function isReservedFrom (priorityClass: number, nowMs: number): boolean {
    return reserved !== undefined && nowMs < reserved.untilMs && reserved.priorityClass < priorityClass
  }

  return {
    setRate: (next, nowMs) => {
      refresh(nowMs)
      const hasEnded = rate.perSecond > 0 && next.perSecond === 0
      rate = next
      level = hasEnded ? 0 : Math.min(next.burst, level)
    },
    waitMs: (priorityClass, nowMs) => {
      refresh(nowMs)
      const waitMs = nextPermitInMs()
      return isReservedFrom(priorityClass, nowMs) ? Math.max(waitMs, (reserved?.untilMs ?? nowMs) - nowMs) : waitMs
    },
    take: () => {
      level -= 1
      reserved = undefined
    },
    giveBack: () => { level = Math.min(rate.burst, level + 1) },
    reserve: (priorityClass, nowMs) => {
      refresh(nowMs)
      if (rate.perSecond === 0) return
      if (reserved !== undefined && nowMs < reserved.untilMs && reserved.priorityClass <= priorityClass) return
      reserved = { priorityClass, untilMs: nowMs + nextPermitInMs() + Math.min(maxReservedMs, secondMs / rate.perSecond) }
    }
  }
}
