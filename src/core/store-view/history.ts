/** The latest changes of a view, told to nodes that know an earlier revision. */
import type { DeltaChange, ViewChange } from './types.ts'

/** Changes as they came. */
export interface History {
  add: (changes: readonly ViewChange[]) => void
  /** Forgets all changes; the content was taken over whole at a revision. */
  restart: (revision: number) => void
  /** Changes after a revision, each key once; undefined when some of them are no longer kept. */
  after: (revision: number) => DeltaChange[] | undefined
}

/** Changes that are kept; those of some seconds in which all backend servers change. */
const maxKept = 500
/** Longest value that is told; a longer one costs a collector's link more than a read costs the service. */
const maxInlineChars = 700
/** Most characters told at once, so that a digest stays within a few packets. */
const maxDeltaChars = 4_000

/** Creates an empty history. */
export function createHistory (): History {
  let changes: ViewChange[] = []
  let completeAfter = 0

  function after (revision: number): DeltaChange[] | undefined {
    if (revision < completeAfter) return undefined
    const latest = new Map<string, DeltaChange>()
    let chars = 0
    for (const { key, value, modRevision } of changes) {
      if (modRevision <= revision) continue
      const isLeftOut = (value?.length ?? 0) > maxInlineChars
      chars += key.length + (isLeftOut ? 0 : value?.length ?? 0)
      latest.delete(key)
      latest.set(key, isLeftOut ? { key, value: undefined, modRevision, isLeftOut } : { key, value, modRevision })
    }
    return chars > maxDeltaChars ? undefined : [...latest.values()]
  }

  return {
    add: added => {
      changes.push(...added)
      if (changes.length <= maxKept) return
      completeAfter = changes[changes.length - maxKept - 1]?.modRevision ?? completeAfter
      changes = changes.slice(-maxKept)
    },
    restart: revision => {
      changes = []
      completeAfter = revision
    },
    after
  }
}
