/** Passes changes on so that one which can't be processed keeps nothing else from being processed. */
import type { Log } from '../log/index.ts'
import type { ViewChange } from './types.ts'

/** Called with the changes of an update. */
export type ChangeListener = (changes: readonly ViewChange[]) => void

/** Logs that changes could not be processed. */
export function logChangeFailure (log: Log, changes: readonly ViewChange[], error: unknown): void {
  log('viewChangeFailed', { key: changes[0]?.key, changes: changes.length, cause: (error as Error).stack })
}

/** Calls all listeners, also if one of them fails. */
export function notifyEach (listeners: readonly ChangeListener[], changes: readonly ViewChange[], log: Log): void {
  for (const listener of listeners) {
    try {
      listener(changes)
    } catch (error) {
      logChangeFailure(log, changes, error)
    }
  }
}

/** Creates a listener that applies each change by itself; one that fails is logged. */
export function createChangeListener (log: Log, applyChange: (change: ViewChange) => void): ChangeListener {
  return changes => {
    for (const change of changes) notifyEach([([each]) => applyChange(each as ViewChange)], [change], log)
  }
}
