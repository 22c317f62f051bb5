/**
 * The changes of an in-memory key-value service by revision, for watches that
 * start in the past.
 */
import type { KeyValueChange } from '../types.ts'

/** Hears the changes of one revision that fall under its prefix. */
export type HistoryListener = (changes: KeyValueChange[], revision: number) => void

interface Subscription {
  prefix: string
  listener: HistoryListener
}

/** The kept changes and those who hear of new ones. */
export interface History {
  append: (revision: number, changes: KeyValueChange[]) => void
  /** Replays what is kept after a revision, then goes on; returns a function that ends it. */
  subscribe: (prefix: string, afterRevision: number, listener: HistoryListener) => () => void
  compact: (revision: number) => void
  /** Last revision whose changes are gone; 0 when none is. */
  compactedRevision: () => number
}

function notify ({ prefix, listener }: Subscription, changes: KeyValueChange[], revision: number): void {
  const matching = changes.filter(change => change.key.startsWith(prefix))
  if (matching.length > 0) listener(matching, revision)
}

/** Creates an empty history that keeps `maxLength` revisions. */
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
    // Twice the bound before trimming keeps the cost of a write constant on average.
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

  return { append, subscribe, compact, compactedRevision: () => compacted }
}
