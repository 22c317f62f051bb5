/** How many attempts a service answers in a second. */

/** Time over which the rate of answers is averaged. */
const rateWindowMs = 5_000

/** Exponential moving averages of answers in a second, by service. */
export function createAnswerRates (nowMs: () => number) {
  const rates = new Map<string, { perSecond: number, updatedAtMs: number }>()
  function read (service: string): number {
    const rate = rates.get(service)
    return rate === undefined ? 0 : rate.perSecond * Math.exp(-(nowMs() - rate.updatedAtMs) / rateWindowMs)
  }
  return {
    read,
    record: (service: string) => { rates.set(service, { perSecond: read(service) + 1_000 / rateWindowMs, updatedAtMs: nowMs() }) }
  }
}
