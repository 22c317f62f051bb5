/**
 * Demand of a team in concurrent requests. The load reports count the requests
 * in the system over all nodes, which by Little's law (J. Little, Operations
 * Research 9, 1961) equals the arrival rate times the time in the system.
 */

/** Target for the average utilisation of an instance's slots; the rest keeps short bursts from queueing. */
const targetUtilisationRatio = 0.7
/** Period whose highest demand counts, so that the fleet does not follow every short decrease. */
const windowMs = 10 * 60_000

/** Highest demand over a sliding window. */
export interface DemandWindow {
  record: (requestsInSystem: number, nowMs: number) => void
  /** Slots needed for the highest demand in the window at the target utilisation. */
  slots: (nowMs: number) => number
}

/** Creates a window without samples. */
export function createDemandWindow (): DemandWindow {
  let samples: Array<{ requestsInSystem: number, atMs: number }> = []

  // A sample that is not larger than a later one can never be the highest again, so it is dropped.
  function record (requestsInSystem: number, nowMs: number): void {
    samples = samples.filter(sample => sample.requestsInSystem > requestsInSystem)
    samples.push({ requestsInSystem, atMs: nowMs })
  }

  function slots (nowMs: number): number {
    samples = samples.filter(({ atMs }) => atMs > nowMs - windowMs)
    const highest = samples[0]?.requestsInSystem ?? 0
    return Math.ceil(highest / targetUtilisationRatio)
  }

  return { record, slots }
}
