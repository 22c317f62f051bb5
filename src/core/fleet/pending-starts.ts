/** Chooses names for instances, and tracks starts that the instance list does not show yet. */
import type { InstanceId, TeamId, VersionId } from '../ids/index.ts'
import { toId } from '../ids/index.ts'
import type { FleetInstance, OfferKey } from './types.ts'

/** Default time after which an accepted start that is not listed is considered lost. */
const defaultListLagMs = 120_000

/** Accepted starts that are not listed yet. */
export interface PendingStarts {
  /** The name with the lowest number that is neither listed nor pending; a new holder of the duty computes the same name. */
  nextName: (team: TeamId, version: VersionId, offer: OfferKey, listed: readonly FleetInstance[]) => string
  add: (name: string, version: VersionId, offer: OfferKey, nowMs: number) => void
  /** Returns the listed instances and the pending starts, which have the state `starting`. */
  merge: (listed: readonly FleetInstance[], nowMs: number) => FleetInstance[]
}

/** Creates an empty list; `maxListLagMs` is the time after which an unlisted start is considered lost. */
export function createPendingStarts (maxListLagMs = defaultListLagMs): PendingStarts {
  const pending = new Map<string, { instance: FleetInstance, orderedAtMs: number }>()

  function nextName (team: TeamId, version: VersionId, offer: OfferKey, listed: readonly FleetInstance[]): string {
    const taken = new Set([...listed.map(({ name }) => name), ...pending.keys()])
    const prefix = [team, version, offer.domain, offer.machineClass, offer.purchase].join('.')
    let number = 1
    while (taken.has(`${prefix}.${number}`)) number += 1
    return `${prefix}.${number}`
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
