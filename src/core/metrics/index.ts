/**
 * Counters, gauges and histograms of a process, rendered in the Prometheus text
 * format. HDR histograms keep high quantiles accurate to three significant digits.
 */
import { Counter, Gauge, Registry } from 'prom-client'
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { recomputeCauses, refusalReasons, retryReasons } from '../outcomes/index.ts'
import type { RecomputeCause, RefusalReason, RetryReason } from '../outcomes/index.ts'

const quantiles = [0.5, 0.95, 0.99, 0.999] as const

/** The metrics of one node. */
export interface Metrics {
  countRefusal: (reason: RefusalReason) => void
  countRetry: (reason: RetryReason) => void
  countRecomputedTokens: (cause: RecomputeCause, tokens: number) => void
  /** Increments the named counter by `amount` (default 1) and creates it on first use. Names end in `_total`. */
  count: (name: string, labels?: Record<string, string>, amount?: number) => void
  /** Sets the named gauge and creates it on first use. */
  setGauge: (name: string, value: number, labels?: Record<string, string>) => void
  /** Records a value in the named histogram, such as `first_token_ms`, and creates it on first use. */
  observe: (name: string, value: number) => void
  /** Current value of the first series of a counter that has the given labels; 0 when there is none. */
  counterValue: (name: string, labels?: Record<string, string>) => Promise<number>
  /** A quantile of a histogram; `quantile` is between 0 and 1. Returns 0 when no value was recorded. */
  quantile: (name: string, quantile: number) => number
  /** Renders all metrics in the Prometheus text format. */
  render: () => Promise<string>
}

const metricPrefix = 'cyclamenshunt_'

/** Creates the metrics of one node. The counters of all reasons start at 0, so that they are exported from the start. */
export function createMetrics (): Metrics {
  const registry = new Registry()
  const counters = new Map<string, Counter>()
  const gauges = new Map<string, Gauge>()
  const histograms = new Map<string, Histogram>()

  function counterOf (name: string, labelNames: string[]): Counter {
    const existing = counters.get(name)
    if (existing !== undefined) return existing
    const created = new Counter({ name: metricPrefix + name, help: name, labelNames, registers: [registry] })
    counters.set(name, created)
    return created
  }

  function gaugeOf (name: string, labelNames: string[]): Gauge {
    const existing = gauges.get(name)
    if (existing !== undefined) return existing
    const created = new Gauge({ name: metricPrefix + name, help: name, labelNames, registers: [registry] })
    gauges.set(name, created)
    return created
  }

  function histogramOf (name: string): Histogram {
    const existing = histograms.get(name)
    if (existing !== undefined) return existing
    const created = build({ lowestDiscernibleValue: 1, highestTrackableValue: 3_600_000_000, numberOfSignificantValueDigits: 3 })
    histograms.set(name, created)
    return created
  }

  // HDR histograms only store integers, so values are recorded in thousandths.
  function observe (name: string, value: number): void {
    histogramOf(name).recordValue(Math.max(1, Math.round(value * 1000)))
  }

  function quantileOf (name: string, quantile: number): number {
    const existing = histograms.get(name)
    if (existing === undefined || existing.totalCount === 0) return 0
    return existing.getValueAtPercentile(quantile * 100) / 1000
  }

  function renderHistogram (name: string): string {
    const metricName = metricPrefix + name
    const lines = quantiles.map(quantile => `${metricName}{quantile="${quantile}"} ${quantileOf(name, quantile)}`)
    const count = histograms.get(name)?.totalCount ?? 0
    return [`# TYPE ${metricName} summary`, ...lines, `${metricName}_count ${count}`].join('\n')
  }

  function count (name: string, labels: Record<string, string> = {}, amount = 1): void {
    counterOf(name, Object.keys(labels)).inc(labels, amount)
  }

  for (const reason of refusalReasons) count('refused_total', { reason }, 0)
  for (const reason of retryReasons) count('retried_total', { reason }, 0)
  for (const cause of recomputeCauses) count('recomputed_tokens_total', { cause }, 0)

  return {
    countRefusal: reason => count('refused_total', { reason }),
    countRetry: reason => count('retried_total', { reason }),
    countRecomputedTokens: (cause, tokens) => count('recomputed_tokens_total', { cause }, tokens),
    count,
    setGauge: (name, value, labels = {}) => gaugeOf(name, Object.keys(labels)).set(labels, value),
    observe,
    counterValue: async (name, labels = {}) => {
      const existing = counters.get(name)
      if (existing === undefined) return 0
      const { values } = await existing.get()
      const match = values.find(value => Object.entries(labels).every(([key, text]) => value.labels[key] === text))
      return match?.value ?? 0
    },
    quantile: quantileOf,
    render: async () => {
      const text = await registry.metrics()
      return [text.trimEnd(), ...[...histograms.keys()].map(renderHistogram)].join('\n') + '\n'
    }
  }
}
