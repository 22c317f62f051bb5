/** History of changes of an in-memory key-value service, for watches that start at a past revision. */
import type { KeyValueChange } from '../types.ts'

/** Called with the changes of one revision under the subscribed prefix. */
export type HistoryListener = (changes: KeyValueChange[], revision: number) => void

interface Subscription {
  prefix: string
  listener: HistoryListener
}

/** Recent changes, and the subscriptions to new ones. */
export interface History {
  append: (revision: number, changes: KeyValueChange[]) => void
  /** Calls the listener with the kept changes after a revision, then with each new change; returns a function that unsubscribes it. */
  subscribe: (prefix: string, afterRevision: number, listener: HistoryListener) => () => void
  compact: (revision: number) => void
  /** Forgets the changes after a revision and ends all subscriptions, when the data is restored from a copy of that revision. */
  rewind: (revision: number) => void
  /** Last revision whose changes were dropped; 0 if none was. */
  compactedRevision: () => number
}

function notify ({ prefix, listener }: Subscription, changes: KeyValueChange[], revision: number): void {
  const matching = changes.filter(change => change.key.startsWith(prefix))
  if (matching.length > 0) listener(matching, revision)
}

/** Creates an empty history that keeps at least the last `maxLength` revisions. */
export function createHistory (maxLength: number): History {
  let kept: Array<{ revision: number, changes: KeyValueChange[] }> = []
  let compacted = 0
  const subscriptions = new Set<Subscription>()

  function compact (revision: number): void {
    compacted = Math.max(compacted, revision)
    kept = kept.filter(item => item.revision > compacted)
  }

  function append (revision: number, changes: KeyValueChange[]): void {
    kept.push({ revision, changes })
    // Trims only at twice the length, so that the cost of a write is constant on average.
    if (kept.length > 2 * maxLength) compact(kept[kept.length - maxLength - 1]?.revision ?? 0)
    for (const subscription of [...subscriptions]) notify(subscription, changes, revision)
  }

  function subscribe (prefix: string, afterRevision: number, listener: HistoryListener): () => void {
    const subscription = { prefix, listener }
    for (const { revision, changes } of kept) {
      if (revision > afterRevision) notify(subscription, changes, revision)
    }
    subscriptions.add(subscription)
    return () => { subscriptions.delete(subscription) }
  }

  function rewind (revision: number): void {
    kept = kept.filter(item => item.revision <= revision)
    subscriptions.clear()
  }

  return { append, subscribe, compact, rewind, compactedRevision: () => compacted }
}
