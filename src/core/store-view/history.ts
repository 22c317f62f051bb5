/** The latest changes of a view, for nodes that know an earlier revision. */
import type { DeltaChange, ViewChange } from './types.ts'

/** Changes in the order in which they were received. */
export interface History {
  add: (changes: readonly ViewChange[]) => void
  /** Deletes all changes, after the whole content was replaced at a revision. */
  reset: (revision: number) => void
  /** The changes after a revision, with the latest one of each key; undefined if they are no longer complete or too large. */
  after: (revision: number) => DeltaChange[] | undefined
}

/** Maximum number of stored changes; enough for several seconds in which all backend servers change. */
const maxStoredChanges = 500
/** Maximum length of a value that is included; sending a longer one costs a collector's link more than a read costs the service. */
const maxInlineValueChars = 700
/**
 * Maximum number of characters in one delta. A node that gets none lists the whole
 * content at the service, which costs more than this; with loads and prefixes beside
 * it, a digest stays below the 64 KiB of a datagram.
 */
const maxDeltaChars = 24_000

/** Creates an empty history. */
export function createHistory (): History {
  let changes: ViewChange[] = []
  let completeSinceRevision = 0

  function after (revision: number): DeltaChange[] | undefined {
    if (revision < completeSinceRevision) return undefined
    const latest = new Map<string, DeltaChange>()
    let chars = 0
    for (const { key, value, modRevision } of changes) {
      if (modRevision <= revision) continue
      const isValueOmitted = (value?.length ?? 0) > maxInlineValueChars
      chars += key.length + (isValueOmitted ? 0 : value?.length ?? 0)
      latest.delete(key)
      latest.set(key, isValueOmitted ? { key, value: undefined, modRevision, isValueOmitted } : { key, value, modRevision })
    }
    return chars > maxDeltaChars ? undefined : [...latest.values()]
  }

  return {
    add: added => {
      changes.push(...added)
      if (changes.length <= maxStoredChanges) return
      completeSinceRevision = changes[changes.length - maxStoredChanges - 1]?.modRevision ?? completeSinceRevision
      changes = changes.slice(-maxStoredChanges)
    },
    reset: revision => {
      changes = []
      completeSinceRevision = revision
    },
    after
  }
}
