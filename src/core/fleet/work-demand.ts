/**
 * Backend servers that a service's work keeps busy, from the time that all
 * nodes' requests need, by the rate over a while and its highest value lately.
 */
import type { Clock } from '../clock/index.ts'

/** Options of the demand of one service. */
export interface WorkDemandOptions {
  clock: Clock
}

/** The demand of one service. */
export interface WorkDemand {
  /** Takes in the work of all nodes since their starts, in milliseconds of one backend server; it may fall when a node starts anew. */
  record: (totalWorkMs: number) => void
  /** Backend servers kept busy at the busiest recent time; undefined before enough was seen. */
  busy: () => number | undefined
}

/** Time over which a rate is taken; a few arrivals of the rarest kind. */
const rateMs = 4_000
/** Time for which the highest rate is kept, so that counts don't follow every dip. */
const keepMs = 20_000

/** Creates the demand; nothing is known yet. */
export function createWorkDemand ({ clock }: WorkDemandOptions): WorkDemand {
  let readings: Array<{ atMs: number, totalWorkMs: number }> = []
  let rates: Array<{ atMs: number, busy: number }> = []

  function record (totalWorkMs: number): void {
    const atMs = clock.monotonicMs()
    const last = readings.at(-1)
    if (last !== undefined && totalWorkMs < last.totalWorkMs) readings = []
    readings.push({ atMs, totalWorkMs })
    const before = readings.find(reading => reading.atMs >= atMs - rateMs)
    readings = readings.filter(reading => reading.atMs >= atMs - rateMs)
    if (before !== undefined && atMs - before.atMs >= rateMs / 2 && totalWorkMs > 0) {
      const busy = (totalWorkMs - before.totalWorkMs) / (atMs - before.atMs)
      rates = rates.filter(rate => rate.atMs >= atMs - keepMs && rate.busy > busy)
      rates.push({ atMs, busy })
    }
  }

  return {
    record,
    busy: () => {
      const oldestAtMs = clock.monotonicMs() - keepMs
      return rates.find(({ atMs }) => atMs >= oldestAtMs)?.busy
    }
  }
}
