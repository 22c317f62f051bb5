/**
 * Demand of a team, in requests in flight. Load reports count requests in the
 * system over all nodes, which by Little's law (J. Little, Operations Research
 * 9, 1961) is the arrival rate times the time that a request stays.
 */

/** Share of its slots that an instance should use on average, so that short bursts don't wait. */
const targetUtilisation = 0.7
/** Time over which the highest demand is kept, so that the fleet doesn't follow every dip. */
const windowMs = 10 * 60_000

/** The demand over the last while. */
export interface DemandWindow {
  record: (requestsInSystem: number, nowMs: number) => void
  /** Slots needed to carry the highest demand of the window at the target utilisation. */
  slots: (nowMs: number) => number
}

/** A window without readings. */
export function createDemandWindow (): DemandWindow {
  let readings: Array<{ requestsInSystem: number, atMs: number }> = []

  // A reading that a later one reaches can never be the highest again, so it is dropped.
  function record (requestsInSystem: number, nowMs: number): void {
    readings = readings.filter(reading => reading.requestsInSystem > requestsInSystem)
    readings.push({ requestsInSystem, atMs: nowMs })
  }

  function slots (nowMs: number): number {
    readings = readings.filter(({ atMs }) => atMs > nowMs - windowMs)
    const highest = readings[0]?.requestsInSystem ?? 0
    return Math.ceil(highest / targetUtilisation)
  }

  return { record, slots }
}
