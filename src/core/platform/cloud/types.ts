/** Types of the cloud API: offers, starting and stopping instances, and reclaim notices. */
import type { Result } from 'true-myth'
import type { CyclamenError } from '../../errors/index.ts'
import type { DomainId, InstanceId, TeamId, VersionId } from '../../ids/index.ts'

/** Purchase option of an instance. The cloud may take back reclaimable ones after a notice. */
export type Purchase = 'reclaimable' | 'on-demand'

/** An offer of the cloud: a machine class in one failure domain, with its price. */
export interface CloudOffer {
  domain: DomainId
  machineClass: string
  purchase: Purchase
  priceMilliEuroPerHour: number
}

/** Request to start an instance. It is idempotent by name: while an instance of that name runs, the cloud starts no other. */
export interface CloudStartRequest {
  name: string
  domain: DomainId
  machineClass: string
  purchase: Purchase
  team: TeamId
  version: VersionId
  fencingNumber: number
}

/** An instance that the cloud bills. */
export interface CloudInstance extends Omit<CloudStartRequest, 'fencingNumber'> {
  id: InstanceId
  state: 'starting' | 'live' | 'leaving'
  priceMilliEuroPerHour: number
  /** Wall time at which the cloud removes a reclaimed instance. */
  goneAtMs?: number
}

/** Notice that the cloud takes back a reclaimable instance. */
export interface ReclaimNotice {
  sequence: number
  instance: InstanceId
  goneAtMs: number
}

/** The functions of the cloud API. */
export interface Cloud {
  offers: (deadlineAtMs: number) => Promise<Result<CloudOffer[], CyclamenError>>
  /** Resolves to false if the cloud has no capacity for the instance. */
  start: (order: CloudStartRequest, deadlineAtMs: number) => Promise<Result<boolean, CyclamenError>>
  stop: (instance: InstanceId, fencingNumber: number, deadlineAtMs: number) => Promise<Result<void, CyclamenError>>
  instances: (deadlineAtMs: number) => Promise<Result<CloudInstance[], CyclamenError>>
  /** Reads the notices after a sequence number. */
  notices: (afterSequence: number, deadlineAtMs: number) => Promise<Result<ReclaimNotice[], CyclamenError>>
  close: () => Promise<void>
}
