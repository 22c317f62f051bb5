/** Backend servers that were removed, in case their entries return with an older copy of the key-value service. */
import type { BackendId } from '../ids/index.ts'
import type { BackendEntry } from './types.ts'

/** The removed backend servers. */
export interface DepartedBackends {
  add: (entry: BackendEntry, wasLeaving: boolean) => void
  /** How the same start of a backend server departed; undefined if it didn't. */
  find: (entry: BackendEntry) => { wasLeaving: boolean } | undefined
}

/** Number of departed backend servers that are remembered. */
const maxDeparted = 5_000

/** Creates an empty list. */
export function createDepartedBackends (): DepartedBackends {
  const departed = new Map<BackendId, { startedAtMs: number | undefined, wasLeaving: boolean }>()
  return {
    add: ({ id, startedAtMs }, wasLeaving) => {
      // The latest is last, so that the oldest is forgotten first.
      departed.delete(id)
      departed.set(id, { startedAtMs, wasLeaving })
      const oldest = departed.keys().next().value
      if (departed.size > maxDeparted && oldest !== undefined) departed.delete(oldest)
    },
    find: ({ id, startedAtMs }) => {
      const departure = departed.get(id)
      return departure?.startedAtMs === startedAtMs ? departure : undefined
    }
  }
}
