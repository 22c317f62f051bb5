/**
 * Types for the instances that a team's backend servers run on: the input of a
 * plan, the plan, and the functions of the cloud that carry it out.
 */
import type { Result } from 'true-myth'
import type { CyclamenError } from '../errors/index.ts'
import type { DomainId, InstanceId, TeamId, VersionId } from '../ids/index.ts'

/** Purchase option of an instance; the cloud may take back a reclaimable one at any time. */
export type Purchase = 'reclaimable' | 'on-demand'

/** An instance type that the cloud offers in one failure domain. */
export interface Offer {
  domain: DomainId
  machineClass: string
  purchase: Purchase
  priceMilliEuroPerHour: number
}

/** Failure domain, machine class and purchase option; identifies an offer, also in refusals and reclaims. */
export type OfferKey = Pick<Offer, 'domain' | 'machineClass' | 'purchase'>

/** An instance of a team. */
export interface FleetInstance extends OfferKey {
  id: InstanceId
  /** The name under which it was ordered. */
  name: string
  version: VersionId
  state: 'starting' | 'live' | 'leaving'
  priceMilliEuroPerHour: number
  /** Requests in flight on it; an instance is stopped only at 0. */
  running: number
}

/** A refused start, or the reclaim of an instance. */
export interface OfferEvent extends OfferKey {
  atMs: number
}

/** Input of a plan. */
export interface FleetPlanInput {
  nowMs: number
  team: TeamId
  version: VersionId
  /** Number of concurrent requests that the fleet must serve within the latency target. */
  demandSlots: number
  domains: DomainId[]
  minInstances: number
  maxInstances: number
  maxPriceMilliEuroPerHour: number
  offers: Offer[]
  /** Instances of this team and version. */
  instances: FleetInstance[]
  /** Refused starts since the last accepted one of the same offer, oldest first. */
  refusals: OfferEvent[]
  reclaims: OfferEvent[]
  /** Number of concurrent requests that an instance of the class serves within the latency target. */
  slotsOf: (machineClass: string) => number
}

/** The wanted instances of a team, and the starts and drains that lead to them. */
export interface FleetPlan {
  /** Wanted instances by failure domain, class and purchase option. */
  wanted: Array<OfferKey & { count: number }>
  starts: OfferKey[]
  /** Instances to drain; each is stopped once it has no requests in flight. */
  drains: InstanceId[]
  /** Slots missing for the demand after the loss of one failure domain. */
  shortSlots: number
  /** Wall time at which a refused offer may be tried again; set only when slots are missing. */
  retryAtMs?: number
}

/** A policy that makes a plan. */
export type PlanFleet = (input: FleetPlanInput) => FleetPlan

/** An order to start an instance. It is idempotent: the cloud starts no second instance while one of the same name runs. */
export interface StartOrder extends OfferKey {
  name: string
  team: TeamId
  version: VersionId
  fencingNumber: number
}

/** The functions of the cloud that the fleet uses. */
export interface FleetCloud {
  offers: (deadlineAtMs: number) => Promise<Result<Offer[], CyclamenError>>
  /** Resolves to false when the cloud refused the start because it has no such instances left. */
  start: (order: StartOrder, deadlineAtMs: number) => Promise<Result<boolean, CyclamenError>>
  stop: (instance: InstanceId, fencingNumber: number, deadlineAtMs: number) => Promise<Result<void, CyclamenError>>
}

/** The lease of the fleet duty. */
export interface FleetLease {
  /** The fencing number while the lease is certainly valid; undefined when this node doesn't hold it. */
  fencingNumber: () => number | undefined
}

/** The declaration and the current instances of one team and version. */
export type FleetObservation = Omit<FleetPlanInput, 'nowMs' | 'offers' | 'refusals' | 'reclaims' | 'slotsOf' | 'demandSlots'> & {
  /** Requests running and waiting at the team's backend servers, according to their reports. */
  requestsInSystem: number
  /** Reclaims seen in the instance list. */
  reclaims: OfferEvent[]
}

/** Permits for loading weights from the weight store, a semaphore that all fleets share. */
export interface LoadPermits {
  /** Requests a permit that expires at a wall time; false when no permit is free. A holder that has one gets true. */
  acquire: (holder: string, untilMs: number, deadlineAtMs: number) => Promise<Result<boolean, CyclamenError>>
  release: (holder: string, deadlineAtMs: number) => Promise<Result<void, CyclamenError>>
}

/** The reconcile loop for the instances of one team and version. */
export interface Fleet {
  /** Observes, plans and sends orders once; does nothing without the lease. */
  reconcile: () => Promise<void>
  /** Reconciles repeatedly until it is closed. */
  run: () => Promise<void>
  close: () => void
}
