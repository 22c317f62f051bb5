/**
 * Estimates how many backend servers a service keeps busy: the rate of the work
 * that all nodes send to it, the recent maximum of that rate, and where it leads
 * while it rises.
 */
import type { Clock } from '../clock/index.ts'

/** Options of the estimate. */
export interface WorkDemandOptions {
  clock: Clock
}

/** Estimated demand of one service. */
export interface WorkDemand {
  /** Records the total work that one process run of a node has sent so far, in milliseconds of one backend server. */
  record: (bootId: string, totalWorkMs: number) => void
  /** Takes a sample of the total; called after the work of all nodes is recorded. */
  sample: () => void
  /**
   * Highest number of busy backend servers, recently and, if the rate is rising, in `leadMs` from now (0 for no
   * forecast); undefined until work was recorded for a whole period.
   */
  busyServers: (leadMs?: number) => number | undefined
}

const secondMs = 1_000
/** Period over which a rate is computed; long enough for a few arrivals of the rarest kind of request. */
const ratePeriodMs = 4_000
/** Period whose highest rate counts, so that the counts do not follow every short decrease. */
const maxRatePeriodMs = 20_000
/** Rise in one second, relative to the rate, that counts as a fluctuation. */
const minRiseRatio = 0.01
/** Largest ratio of a forecast to the present rate; a jump isn't taken for a trend that lasts. */
const maxForecastRatio = 2
/** Number of process runs that are remembered; more than those that run now or ran recently. */
const maxBootIds = 1_024

/** Creates an estimate without samples. */
export function createWorkDemand ({ clock }: WorkDemandOptions): WorkDemand {
  const workByBootId = new Map<string, number>()
  let allWorkMs = 0
  let samples: Array<{ atMs: number, allWorkMs: number }> = []
  let rates: Array<{ atMs: number, busy: number }> = []
  /** All rates of the last period, oldest first. */
  let latestRates: Array<{ atMs: number, busy: number }> = []

  // Only the increase of a process run's total is added, so that a node that is unreachable for a while is counted once.
  function record (bootId: string, totalWorkMs: number): void {
    allWorkMs += Math.max(0, totalWorkMs - (workByBootId.get(bootId) ?? 0))
    workByBootId.delete(bootId)
    workByBootId.set(bootId, totalWorkMs)
    const [oldest] = workByBootId.keys()
    if (workByBootId.size > maxBootIds && oldest !== undefined) workByBootId.delete(oldest)
  }

  function sample (): void {
    const atMs = clock.monotonicMs()
    // Before the first work only the latest sample counts, so that the rate is not averaged over time without traffic.
    if (allWorkMs === 0) samples = []
    const oldestAtMs = atMs - ratePeriodMs
    samples = samples.filter((sample, index) => sample.atMs >= oldestAtMs || (samples[index + 1]?.atMs ?? atMs) > oldestAtMs)
    const previous = samples[0]
    samples.push({ atMs, allWorkMs })
    if (previous === undefined || atMs - previous.atMs < ratePeriodMs) return
    const busy = (allWorkMs - previous.allWorkMs) / (atMs - previous.atMs)
    rates = rates.filter(rate => rate.atMs >= atMs - maxRatePeriodMs && rate.busy > busy)
    rates.push({ atMs, busy })
    latestRates = latestRates.filter(rate => rate.atMs >= oldestAtMs)
    latestRates.push({ atMs, busy })
  }

  /** Rate in `leadMs` from now, if it goes on rising as it did over the last period. A rate is that of the middle of its period. */
  function forecast (leadMs: number): number {
    const first = latestRates[0]
    const last = latestRates.at(-1)
    if (first === undefined || last === undefined || last.atMs === first.atMs) return 0
    const risePerMs = (last.busy - first.busy) / (last.atMs - first.atMs)
    const trendPerMs = Math.max(0, risePerMs - last.busy * minRiseRatio / secondMs)
    return Math.min(maxForecastRatio * last.busy, last.busy + trendPerMs * (leadMs + ratePeriodMs / 2))
  }

  return {
    record,
    sample,
    busyServers: (leadMs = 0) => {
      const oldestAtMs = clock.monotonicMs() - maxRatePeriodMs
      const highest = rates.find(({ atMs }) => atMs >= oldestAtMs)?.busy
      return highest === undefined || leadMs === 0 ? highest : Math.max(highest, forecast(leadMs))
    }
  }
}
