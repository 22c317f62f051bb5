/** Plays a load and reclaims through the real count orders on the virtual clock. */
import { createSilentLog } from '../../../src/core/log/index.ts'
import { countServers, createCountOrders, planCounts, squareRootStaffing } from '../../../src/core/fleet/index.ts'
import { toId } from '../../../src/core/ids/index.ts'
import { createMetrics } from '../../../src/core/metrics/index.ts'
import { createVirtualClock } from '../virtual-clock.ts'
import { createModelCloud, newVersion } from './cloud.ts'
import type { CountPlanInput, DomainCount } from '../../../src/core/fleet/index.ts'
import type { DomainId, VersionId } from '../../../src/core/ids/index.ts'
import type { VersionRole } from '../../../src/core/moves/index.ts'
import type { ModelMove, Reclaim } from './cloud.ts'

/** A plan of counts, as `planCounts`. */
export type PlanCounts = (input: CountPlanInput) => DomainCount[]

/** One case: a load in busy backend servers, the domains and what the cloud does. */
export interface OrderingCase {
  name: string
  domainPrices: readonly number[]
  reclaimablePriceRatio: number
  bootMs: number
  initialPerDomain: number
  maxPerDomain: number
  /** Backend servers that the load keeps busy at a time after the start. */
  busyAt: (atMs: number) => number
  reclaims: readonly Reclaim[]
  move?: ModelMove
  seconds: number
}

/** The state at one time. */
export interface OrderingSample {
  atSeconds: number
  busy: number
  capacity: number
}

/** What a plan achieves in a case. */
export interface OrderingResult {
  samples: OrderingSample[]
  /** Busy servers that had no server, summed over time, relative to the whole load. */
  shortageRatio: number
  /** Longest time without a server for some of the load. */
  longestShortageSeconds: number
  /** Price relative to serving the load with on-demand servers that are always busy. */
  priceRatio: number
}

const stepMs = 250
/** Headroom in square roots of the load, as the platform's node orders it. */
const targetHeadroom = 3
const minHeadroom = 1.33

/** Roles of the versions while the case's move is evaluated and after it. */
function rolesAt ({ move }: OrderingCase, atMs: number): (version: VersionId) => VersionRole {
  if (move === undefined || atMs < move.atMs) return () => 'serving'
  const isDone = atMs >= move.doneAtMs
  return version => version === newVersion ? (isDone ? 'serving' : 'evaluated') : isDone ? 'replaced' : 'serving'
}

/** The naive roles: all versions serve alike. */
export const sameRoles = (): ((version: VersionId) => VersionRole) => () => 'serving'

/** Plays one case. */
export async function playOrdering (ordering: OrderingCase, plan: PlanCounts = planCounts, rolesOf: typeof rolesAt = rolesAt): Promise<OrderingResult> {
  const clock = createVirtualClock()
  const domains = ordering.domainPrices.map((price, index) => ({ domain: toId<DomainId>(`domain-${index}`), price }))
  const cloud = createModelCloud({ ...ordering, clock, domains })
  const startedAtMs = clock.monotonicMs()
  const fencing = { fencingNumber: 1, deadlineAtMs: Infinity }
  const orders = createCountOrders({
    clock,
    log: createSilentLog(),
    metrics: createMetrics(),
    duty: { name: 'ordering', fencingNumber: () => 1, guard: () => undefined, orderWindow: () => fencing, close: async () => {} },
    checksFencing: true,
    plan,
    services: () => {
      const atMs = clock.monotonicMs() - startedAtMs
      const busy = ordering.busyAt(atMs)
      return [{
        service: 'engines',
        bootMs: ordering.bootMs,
        domains,
        minPerDomain: 0,
        maxPerDomain: ordering.maxPerDomain,
        offersReclaimable: true,
        needed: squareRootStaffing(busy, targetHeadroom),
        neededWithoutHeadroom: squareRootStaffing(busy, minHeadroom),
        ...countServers(cloud.servers(), rolesOf(ordering, atMs))
      }]
    },
    order: async (_service, wanted) => cloud.order(wanted)
  })
  const samples: OrderingSample[] = []
  let busySeconds = 0
  let shortSeconds = 0
  let price = 0
  let shortageSeconds = 0
  let longestShortageSeconds = 0
  for (let atMs = 0; atMs < ordering.seconds * 1_000; atMs += stepMs) {
    cloud.advance()
    await orders.reconcile()
    await clock.runUntil(atMs + stepMs)
    const busy = ordering.busyAt(atMs)
    const capacity = cloud.capacity()
    const stepSeconds = stepMs / 1_000
    samples.push({ atSeconds: atMs / 1_000, busy, capacity })
    busySeconds += busy * stepSeconds
    shortSeconds += Math.max(0, busy - capacity) * stepSeconds
    shortageSeconds = capacity < busy ? shortageSeconds + stepSeconds : 0
    longestShortageSeconds = Math.max(longestShortageSeconds, shortageSeconds)
    price += cloud.pricePerSecond() * stepSeconds
  }
  return { samples, shortageRatio: shortSeconds / busySeconds, longestShortageSeconds, priceRatio: price / busySeconds }
}
