/**
 * The reconcile loop for the instances of one team and version. While it holds
 * the lease of its duty, it observes the instances, makes a plan, and sends
 * idempotent orders that state what is wanted.
 */
import type { Clock } from '../clock/index.ts'
import type { InstanceId } from '../ids/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import { isSameOffer } from './back-off.ts'
import { createDemandWindow } from './demand.ts'
import { createPendingStarts } from './pending-starts.ts'
import { planFleet as defaultPlanFleet } from './plan.ts'
import type { Fleet, FleetCloud, FleetPlanInput, FleetInstance, FleetLease, FleetObservation, LoadPermits, OfferEvent, OfferKey, PlanFleet } from './types.ts'

export type * from './types.ts'
export { planFleet } from './plan.ts'
export { planCounts } from './counts.ts'
export { createCountOrders } from './count-orders.ts'
export { createLimitedServers } from './limited-servers.ts'
export { countServers } from './server-counts.ts'
export { squareRootStaffing } from './staffing.ts'
export { createWorkDemand } from './work-demand.ts'
export type { CountKey, CountPlanInput, DomainCount } from './counts.ts'
export type { ScaledService, CountOrders, CountOrderResult } from './count-orders.ts'
export type { LimitedServers } from './limited-servers.ts'
export type { CountedServer, ServerCounts } from './server-counts.ts'
export type { WorkDemand } from './work-demand.ts'
export { createLoadPermits } from './load-permits.ts'

/** Interval of the reconcile loop. */
const reconcileIntervalMs = 5000
/** Timeout of one call to the platform. */
const callTimeoutMs = 2000
/** Longest time for which one load of weights holds its permit. */
const permitTtlMs = 10 * 60_000
/** Number of refusals that are kept; older ones no longer affect the back-off. */
const maxRefusals = 200

/** Options of the reconcile loop. */
export interface FleetOptions {
  clock: Clock
  log: Log
  metrics: Metrics
  cloud: FleetCloud
  lease: FleetLease
  loadPermits: LoadPermits
  /** Reads the declaration and the instances; undefined when they are not known, in which case nothing is ordered. */
  observe: () => Promise<FleetObservation | undefined>
  /** Orders the backend server on an instance to accept no new work. Idempotent. */
  drain: (instance: InstanceId, fencingNumber: number, deadlineAtMs: number) => Promise<void>
  slotsOf: FleetPlanInput['slotsOf']
  /** Time after which an accepted start that `observe` does not show is considered lost and ordered again under the same name. */
  maxListLagMs?: number
  planFleet?: PlanFleet
}

/** Creates the reconcile loop; `run` runs it until it is closed. */
export function createFleet (options: FleetOptions): Fleet {
  const { clock, log, metrics, cloud, lease, loadPermits, observe, drain, slotsOf, planFleet = defaultPlanFleet } = options
  const closed = new AbortController()
  const demand = createDemandWindow()
  const pending = createPendingStarts(options.maxListLagMs)
  const heldPermits = new Set<string>()
  const draining = new Set<InstanceId>()
  let refusals: OfferEvent[] = []

  const callDeadlineAtMs = (): number => clock.wallMs() + callTimeoutMs

  async function start (observation: FleetObservation, offer: OfferKey): Promise<void> {
    const { team, version, instances } = observation
    const name = pending.nextName(team, version, offer, instances)
    const permit = await loadPermits.acquire(name, clock.wallMs() + permitTtlMs, callDeadlineAtMs())
    if (permit.isErr || !permit.value) {
      metrics.count('fleet_starts_total', { result: 'waiting-for-turn' })
      return
    }
    heldPermits.add(name)
    const fencingNumber = lease.fencingNumber()
    if (fencingNumber === undefined) return
    const started = await cloud.start({ ...offer, name, team, version, fencingNumber }, callDeadlineAtMs())
    if (started.isErr) {
      // The start may have succeeded. The next run uses the same name, under which the cloud starts only one instance.
      log('fleetCallFailed', { operation: 'start', name, cause: started.error.message })
      return
    }
    metrics.count('fleet_starts_total', { result: started.value ? 'accepted' : 'refused' })
    if (started.value) {
      refusals = refusals.filter(refusal => !isSameOffer(refusal, offer))
      pending.add(name, version, offer, clock.wallMs())
      return
    }
    refusals = [...refusals, { ...offer, atMs: clock.wallMs() }].slice(-maxRefusals)
    await releasePermit(name)
  }

  async function releasePermit (name: string): Promise<void> {
    const returned = await loadPermits.release(name, callDeadlineAtMs())
    if (returned.isOk) heldPermits.delete(name)
  }

  async function releaseLoadedPermits (instances: readonly FleetInstance[]): Promise<void> {
    for (const { name, state } of instances) {
      if (heldPermits.has(name) && state !== 'starting') await releasePermit(name)
    }
  }

  async function drainAndStop (observation: FleetObservation, drains: readonly InstanceId[]): Promise<void> {
    for (const id of drains) draining.add(id)
    for (const instance of observation.instances) {
      const fencingNumber = lease.fencingNumber()
      if (fencingNumber === undefined) return
      if (draining.has(instance.id) && instance.state === 'live') await drain(instance.id, fencingNumber, callDeadlineAtMs())
      if (instance.state === 'leaving' && instance.running === 0) await stop(instance, fencingNumber)
    }
    const listed = new Set(observation.instances.map(({ id }) => id))
    for (const id of draining) if (!listed.has(id)) draining.delete(id)
  }

  async function stop (instance: FleetInstance, fencingNumber: number): Promise<void> {
    const stopped = await cloud.stop(instance.id, fencingNumber, callDeadlineAtMs())
    metrics.count('fleet_stops_total', { result: stopped.isOk ? 'accepted' : 'failed' })
    if (stopped.isErr) log('fleetCallFailed', { operation: 'stop', instance: instance.id, cause: stopped.error.message })
  }

  /** Applies orders that the list does not show yet: instances being drained are leaving, and pending starts are starting. */
  function applyOrders (observation: FleetObservation): FleetInstance[] {
    const instances = observation.instances.map((instance): FleetInstance => {
      return draining.has(instance.id) ? { ...instance, state: 'leaving' } : instance
    })
    return pending.merge(instances, clock.wallMs())
  }

  async function reconcile (): Promise<void> {
    if (lease.fencingNumber() === undefined) return
    const observation = await observe()
    const offers = await cloud.offers(callDeadlineAtMs())
    if (observation === undefined || offers.isErr) return
    const nowMs = clock.wallMs()
    demand.record(observation.requestsInSystem, nowMs)
    const { requestsInSystem, ...declared } = observation
    const instances = applyOrders(observation)
    const demandSlots = demand.slots(nowMs)
    const plan = planFleet({ ...declared, instances, nowMs, demandSlots, offers: offers.value, refusals, slotsOf })
    metrics.setGauge('fleet_demand_slots', demandSlots, { team: observation.team })
    metrics.setGauge('fleet_short_slots', plan.shortSlots, { team: observation.team })
    await releaseLoadedPermits(observation.instances)
    for (const offer of plan.starts) await start(observation, offer)
    await drainAndStop(observation, plan.drains)
  }

  async function run (): Promise<void> {
    while (!closed.signal.aborted) {
      await reconcile()
      await clock.sleep(reconcileIntervalMs, closed.signal)
    }
  }

  return { reconcile, run, close: () => closed.abort() }
}
