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
export interface ScaledService extends Omit<CountPlanInput, 'isRefused'> {
  service: string
  /** Time from the order of a backend server until it serves. */
  bootMs: number
  /** All registered backend servers, including leaving ones. */
  present: DomainCount[]
}

/** Options of the count orders. */
export interface CountOrdersOptions {
  clock: Clock
  log: Log
  metrics: Metrics
  duty: Duty
  /** Whether the cloud rejects orders with an outdated fencing number; otherwise no order may overlap with those of the previous holder. */
  checksFencing: boolean
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
/** Pause after an order without a response. */
const retryMs = 1_000

interface SentOrder {
  count: number
  atMs: number
  isAccepted: boolean
}

/** Creates the count orders of a node. */
export function createCountOrders (options: CountOrdersOptions): CountOrders {
  const { clock, log, metrics, duty, checksFencing } = options
  const sentOrders = new Map<string, SentOrder>()
  const refusedUntilMs = new Map<string, number>()
  let currentFencingNumber: number | undefined
  let overtakenFencingNumber: number | undefined

  function keyOf (service: string, { domain, purchase }: CountKey): string {
    return `${service}/${domain}/${purchase}`
  }

  function presentCount ({ present }: ScaledService, wanted: DomainCount): number {
    return present.find(({ domain, purchase }) => domain === wanted.domain && purchase === wanted.purchase)?.count ?? 0
  }

  function isDue (service: ScaledService, wanted: DomainCount): boolean {
    const key = keyOf(service.service, wanted)
    const nowMs = clock.monotonicMs()
    if (nowMs < (refusedUntilMs.get(key) ?? 0)) return false
    const last = sentOrders.get(key)
    if (last === undefined) return wanted.count !== presentCount(service, wanted)
    if (last.count !== wanted.count) return true
    if (!last.isAccepted) return nowMs >= last.atMs + retryMs
    // The count was not reached in time: an older order overrode this one, or this one was lost.
    return presentCount(service, wanted) !== wanted.count && nowMs >= last.atMs + service.bootMs + effectTimeoutMs
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
    sentOrders.set(key, { count: wanted.count, atMs, isAccepted: result === 'taken' })
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
        for (const wanted of planCounts({ ...service, isRefused })) {
          const window = duty.orderWindow(checksFencing)
          if (window?.fencingNumber !== fencingNumber) return
          if (isDue(service, wanted)) await sendOrder(service, wanted, window)
        }
      }
    }
  }
}
