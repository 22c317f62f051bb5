/** Backend servers that were removed, in case their entries return: registered again after they expired, or with an older copy of the key-value service. */
import type { BackendId } from '../ids/index.ts'
import type { KnownBackend } from './backend-table-types.ts'
import type { BackendEntry } from './types.ts'

/** What is known of a removed backend server. Times are monotonic, in ms. */
export interface DepartedBackend extends Pick<KnownBackend, 'leavingSinceMs' | 'isLeavingHeard' | 'pausedUntilMs'> {
  wasLeaving: boolean
}

/** The removed backend servers. */
export interface DepartedBackends {
  add: (entry: BackendEntry, known: DepartedBackend) => void
  /** What is known of the same start of a backend server; undefined if it didn't depart. */
  find: (entry: BackendEntry) => DepartedBackend | undefined
}

/** Number of departed backend servers that are remembered. */
const maxDeparted = 5_000

/** Creates an empty list. */
export function createDepartedBackends (): DepartedBackends {
  const departed = new Map<BackendId, DepartedBackend & { startedAtMs: number | undefined }>()
  return {
    add: ({ id, startedAtMs }, { wasLeaving, leavingSinceMs, isLeavingHeard, pausedUntilMs }) => {
      // The latest is last, so that the oldest is forgotten first.
      departed.delete(id)
      departed.set(id, { startedAtMs, wasLeaving, leavingSinceMs, isLeavingHeard, pausedUntilMs })
      const oldest = departed.keys().next().value
      if (departed.size > maxDeparted && oldest !== undefined) departed.delete(oldest)
    },
    find: ({ id, startedAtMs }) => {
      const departure = departed.get(id)
      return departure?.startedAtMs === startedAtMs ? departure : undefined
    }
  }
}
