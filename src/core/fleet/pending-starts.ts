/** Names of instances, and starts that the lagging instance list doesn't show yet. */
import type { InstanceId, TeamId, VersionId } from '../ids/index.ts'
import { toId } from '../ids/index.ts'
import type { FleetInstance, OfferKey } from './types.ts'

/** Time after which an accepted start that the list still doesn't show is taken for lost, unless another is given. */
const defaultListLagMs = 120_000

/** Starts that were ordered and aren't listed. */
export interface PendingStarts {
  /** Lowest name that is neither listed nor pending; a new holder of the duty comes to the same name. */
  nextName: (team: TeamId, version: VersionId, offer: OfferKey, listed: readonly FleetInstance[]) => string
  add: (name: string, version: VersionId, offer: OfferKey, nowMs: number) => void
  /** Listed instances, and the pending starts among them as starting. */
  merge: (listed: readonly FleetInstance[], nowMs: number) => FleetInstance[]
}

/** Creates an empty list of pending starts. */
export function createPendingStarts (maxListLagMs = defaultListLagMs): PendingStarts {
  const pending = new Map<string, { instance: FleetInstance, orderedAtMs: number }>()

  function nextName (team: TeamId, version: VersionId, offer: OfferKey, listed: readonly FleetInstance[]): string {
    const taken = new Set([...listed.map(({ name }) => name), ...pending.keys()])
    const stem = [team, version, offer.domain, offer.machineClass, offer.purchase].join('.')
    let number = 1
    while (taken.has(`${stem}.${number}`)) number += 1
    return `${stem}.${number}`
  }

  function add (name: string, version: VersionId, offer: OfferKey, nowMs: number): void {
    const { domain, machineClass, purchase } = offer
    const id = toId<InstanceId>(name)
    const instance: FleetInstance = { id, name, version, domain, machineClass, purchase, state: 'starting', priceMilliEuroPerHour: 0, running: 0 }
    pending.set(name, { instance, orderedAtMs: nowMs })
  }

  function merge (listed: readonly FleetInstance[], nowMs: number): FleetInstance[] {
    const names = new Set(listed.map(({ name }) => name))
    for (const [name, { orderedAtMs }] of pending) {
      if (names.has(name) || nowMs - orderedAtMs > maxListLagMs) pending.delete(name)
    }
    return [...listed, ...[...pending.values()].map(({ instance }) => instance)]
  }

  return { nextName, add, merge }
}
