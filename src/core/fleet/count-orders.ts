/**
 * Orders backend servers by wanted counts on the node that holds the duty. An
 * order without a response may take effect late and override a newer one, so the
 * observed counts decide whether an order is sent again.
 */
import { planCounts } from './counts.ts'
import type { Result } from 'true-myth'
import type { Clock } from '../clock/index.ts'
import type { CyclamenError } from '../errors/index.ts'
import type { Duty, OrderWindow } from '../leases/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { CountKey, CountPlanInput, DomainCount } from './counts.ts'

/** Result of an order; `fenced` means that another node holds the duty. */
export type CountOrderResult = 'taken' | 'none-left' | 'fenced'

/** A service with the input of its plan. */
export interface ScaledService extends Omit<CountPlanInput, 'isRefused' | 'starting'> {
  service: string
  /** Time from the order of a backend server until it serves. */
  bootMs: number
  /** Backend servers of a version under evaluation; orders leave them in place. */
  evaluated: DomainCount[]
}

/** Options of the count orders. */
export interface CountOrdersOptions {
  clock: Clock
  log: Log
  metrics: Metrics
  duty: Duty
  /** Whether the cloud rejects orders with an outdated fencing number; otherwise no order may overlap with those of the previous holder. */
  checksFencing: boolean
  /** Plans the counts of a service; `planCounts` by default. */
  plan?: (input: CountPlanInput) => DomainCount[]
  /** The services to order for; empty while too little is known. */
  services: () => ScaledService[]
  order: (service: string, wanted: DomainCount, fencingNumber: number, deadlineAtMs: number) => Promise<Result<CountOrderResult, CyclamenError>>
}

/** Sends the orders of one node. */
export interface CountOrders {
  /** Plans the counts and sends the due orders; does nothing without the duty. */
  reconcile: () => Promise<void>
}

/** Timeout of one call to the cloud. */
const callTimeoutMs = 1_200
/** Time after which an offer that had no backend servers left is ordered again. */
const refusalBackOffMs = 2_000
/** Time, on top of the boot time of a backend server, after which an order without visible effect is sent again. */
const effectTimeoutMs = 3_000
/** Time, on top of the boot time, within which an accepted order must have had its effect, registration included. */
const startMarginMs = 1_500
/** Pause after an order without a response. */
const retryMs = 1_000

interface SentOrder {
  count: number
  /** Most backend servers that served since it was sent. */
  servingCount: number
  atMs: number
  isAccepted: boolean
}

/** Creates the count orders of a node. */
export function createCountOrders (options: CountOrdersOptions): CountOrders {
  const { clock, log, metrics, duty, checksFencing, plan = planCounts } = options
  const sentOrders = new Map<string, SentOrder>()
  const refusedUntilMs = new Map<string, number>()
  let currentFencingNumber: number | undefined
  let overtakenFencingNumber: number | undefined

  function keyOf (service: string, { domain, purchase }: CountKey): string {
    return `${service}/${domain}/${purchase}`
  }

  function countOf (counts: readonly DomainCount[], key: CountKey): number {
    return counts.find(({ domain, purchase }) => domain === key.domain && purchase === key.purchase)?.count ?? 0
  }

  /** The cloud counts the backend servers of all versions together. */
  function presentCount ({ serving, evaluated }: ScaledService, key: CountKey): number {
    return countOf(serving, key) + countOf(evaluated, key)
  }

  function withEvaluated ({ evaluated }: ScaledService, planned: DomainCount): DomainCount {
    return { ...planned, count: planned.count + countOf(evaluated, planned) }
  }

  function isDue (service: ScaledService, wanted: DomainCount): boolean {
    const key = keyOf(service.service, wanted)
    const nowMs = clock.monotonicMs()
    if (nowMs < (refusedUntilMs.get(key) ?? 0)) return false
    const last = sentOrders.get(key)
    if (last === undefined) return wanted.count !== presentCount(service, wanted)
    if (last.count !== wanted.count) return true
    if (!last.isAccepted) return nowMs >= last.atMs + retryMs
    // After a reclaim, only the cloud can tell whether others will start.
    const serving = presentCount(service, wanted)
    if (wanted.purchase === 'reclaimable' && serving < Math.min(wanted.count, last.servingCount)) return true
    last.servingCount = Math.max(last.servingCount, serving)
    // The count was not reached in time: an older order overrode this one, or this one was lost.
    return presentCount(service, wanted) !== wanted.count && nowMs >= last.atMs + service.bootMs + effectTimeoutMs
  }

  /** Reclaimable backend servers that are booting: accepted orders beyond what serves. */
  function startingCounts (service: ScaledService): DomainCount[] {
    return service.domains.flatMap(({ domain }) => {
      const key: CountKey = { domain, purchase: 'reclaimable' }
      const last = sentOrders.get(keyOf(service.service, key))
      if (last?.isAccepted !== true || clock.monotonicMs() >= last.atMs + service.bootMs + startMarginMs) return []
      // Those that served and were reclaimed since don't start again.
      const count = last.count - Math.max(last.servingCount, presentCount(service, key))
      return count > 0 ? [{ ...key, count }] : []
    })
  }

  async function sendOrder (service: ScaledService, wanted: DomainCount, { fencingNumber, deadlineAtMs }: OrderWindow): Promise<void> {
    const key = keyOf(service.service, wanted)
    const atMs = clock.monotonicMs()
    const response = await options.order(service.service, wanted, fencingNumber, Math.min(deadlineAtMs, clock.wallMs() + callTimeoutMs))
    const result = response.isOk ? response.value : 'failed'
    metrics.count('fleet_count_orders_total', { result })
    log('countOrdered', {
      service: service.service,
      ...wanted,
      result,
      fencingNumber,
      needed: service.needed,
      present: presentCount(service, wanted),
      ...(response.isErr ? { cause: response.error.message } : {})
    })
    sentOrders.set(key, { count: wanted.count, servingCount: presentCount(service, wanted), atMs, isAccepted: result === 'taken' })
    if (result === 'none-left') refusedUntilMs.set(key, atMs + refusalBackOffMs)
    else refusedUntilMs.delete(key)
    if (result === 'fenced') overtakenFencingNumber = fencingNumber
  }

  return {
    reconcile: async () => {
      const fencingNumber = duty.orderWindow(checksFencing)?.fencingNumber
      if (fencingNumber === undefined || fencingNumber === overtakenFencingNumber) return
      if (currentFencingNumber !== fencingNumber) {
        currentFencingNumber = fencingNumber
        sentOrders.clear()
        refusedUntilMs.clear()
      }
      for (const service of options.services()) {
        const isRefused = (key: CountKey): boolean => refusedUntilMs.has(keyOf(service.service, key))
        for (const planned of plan({ ...service, starting: startingCounts(service), isRefused })) {
          const wanted = withEvaluated(service, planned)
          const window = duty.orderWindow(checksFencing)
          if (window?.fencingNumber !== fencingNumber) return
          if (isDue(service, wanted)) await sendOrder(service, wanted, window)
        }
      }
    }
  }
}
