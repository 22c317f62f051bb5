/** Checks the users' rule on request limits: what a limited backend server gets from nodes that had passed on its limit. */
import type { Arrival } from './arrival.ts'

/** A request that reached a backend server while it named a limit. */
export interface LimitedArrival extends Pick<Arrival, 'backend' | 'startedAtMs' | 'atMs'> {
  limit: NonNullable<Arrival['limit']>
  /** Time at which its node had first passed on a response with the limit, in the same life of its process; undefined if it hadn't. */
  toldAtMs: number | undefined
}

const windowMs = 4_000
/** Time after a node passed on a limit from which its requests count. */
const toldAfterMs = 500
/** Time after a backend server first named a limit from which windows are checked; shorter than the rule's. */
const checkedAfterMs = 1_000

/** Requests that the rule allows in a window. */
function allowedInWindow (perSecond: number): number {
  return 1.5 * perSecond * windowMs / 1_000 + 5
}

/** Returns a description of each backend server that got too many requests; the first window of each. */
export function findExceededLimits (arrivals: readonly LimitedArrival[]): string[] {
  const byBackend = new Map<string, LimitedArrival[]>()
  for (const arrival of arrivals) {
    const key = `${arrival.backend}/${arrival.startedAtMs}/${arrival.limit.sinceMs}`
    byBackend.set(key, [...byBackend.get(key) ?? [], arrival])
  }
  return [...byBackend.values()].flatMap(all => {
    const checkedFromMs = Math.min(...all.map(({ atMs }) => atMs)) + checkedAfterMs
    const counted = all.filter(({ atMs, toldAtMs }) => atMs >= checkedFromMs && toldAtMs !== undefined && toldAtMs <= atMs - toldAfterMs)
    for (const { atMs: fromMs } of counted) {
      const inWindow = counted.filter(({ atMs }) => atMs >= fromMs && atMs < fromMs + windowMs)
      const perSecond = all[0]?.limit.perSecond ?? 0
      if (inWindow.length > allowedInWindow(perSecond)) return [`${all[0]?.backend} with a limit of ${perSecond} a second got ${inWindow.length} requests in ${windowMs} ms, allowed ${allowedInWindow(perSecond)}`]
    }
    return []
  })
}
