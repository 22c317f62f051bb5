/** Moving averages of the requests a second that this node is asked for, by service. */
import type { Clock } from '../clock/index.ts'

/** The demand of the services. */
export interface DemandMeter {
  record: (service: string) => void
  /** Requests a second; 0 if there were none lately. */
  perSecond: (service: string) => number
  /** The services with the highest demand, at most as many as fit into a report. */
  highest: () => Map<string, number>
}

const timeConstantMs = 3_000
const secondMs = 1_000
const maxReportedServices = 16
/** Rate below which a service counts as not asked for. */
const minPerSecond = 0.01

/** Creates a meter. */
export function createDemandMeter (clock: Clock): DemandMeter {
  const meters = new Map<string, { perSecond: number, updatedAtMs: number }>()

  function read (service: string): number {
    const meter = meters.get(service)
    if (meter === undefined) return 0
    const nowMs = clock.monotonicMs()
    meter.perSecond *= Math.exp(-(nowMs - meter.updatedAtMs) / timeConstantMs)
    meter.updatedAtMs = nowMs
    return meter.perSecond
  }

  function perSecond (service: string): number {
    const rate = read(service)
    return rate < minPerSecond ? 0 : rate
  }

  return {
    record: service => {
      meters.set(service, { perSecond: read(service) + secondMs / timeConstantMs, updatedAtMs: clock.monotonicMs() })
    },
    perSecond,
    highest: () => {
      const rates = [...meters.keys()].map(service => [service, Math.round(perSecond(service) * 100) / 100] as const)
      return new Map(rates.filter(([, rate]) => rate > 0).sort(([, a], [, b]) => b - a).slice(0, maxReportedServices))
    }
  }
}
