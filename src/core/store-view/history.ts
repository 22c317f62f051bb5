/** The latest changes of a view, for nodes that know an earlier revision. */
import { eraOf } from '../platform/key-value/revision.ts'
import type { DeltaChange, ViewChange } from './types.ts'

/** Consecutive changes after a revision. */
export interface HistoryPart {
  /** With the latest change of each key. */
  changes: DeltaChange[]
  /** Revision up to which they are complete; undefined if they are all that is stored. */
  upToRevision: number | undefined
}

/** Changes in the order of their revisions. */
export interface History {
  add: (changes: readonly ViewChange[]) => void
  /** Deletes all changes, after the whole content was replaced at a revision. */
  reset: (revision: number) => void
  /**
   * Adds what a restore of the service changed. `lastRevision` is the last known one of
   * the era before: nodes that know a later one have content that these changes don't undo.
   */
  addRestore: (changes: readonly ViewChange[], lastRevision: number) => void
  /** The changes after a revision, or the first part of them; undefined if they are no longer complete. */
  after: (revision: number) => HistoryPart | undefined
}

/** Maximum number of stored changes; enough for the registrations of several thousand backend servers at once. */
const maxStoredChanges = 5_000
/** Maximum length of a value that is included; sending a longer one costs a collector's link more than a read costs the service. */
const maxInlineValueChars = 700
/** Maximum number of characters in one part; with loads and prefixes beside it, a digest stays below the 64 KiB of a datagram. */
const maxPartChars = 24_000

/** Creates an empty history. */
export function createHistory (): History {
  let changes: ViewChange[] = []
  let completeSinceRevision = 0
  /** Last known revisions of the eras that ended while this history was kept. */
  const lastRevisions = new Map<number, number>()

  /** Index of the first change after a revision. */
  function firstIndexAfter (revision: number): number {
    let low = 0
    let high = changes.length
    while (low < high) {
      const middle = (low + high) >> 1
      if ((changes[middle]?.modRevision ?? Infinity) > revision) high = middle
      else low = middle + 1
    }
    return low
  }

  function after (revision: number): HistoryPart | undefined {
    if (revision < completeSinceRevision || revision > (lastRevisions.get(eraOf(revision)) ?? Infinity)) return undefined
    const latest = new Map<string, DeltaChange>()
    let chars = 0
    let lastRevision = revision
    for (let index = firstIndexAfter(revision); index < changes.length; index += 1) {
      const { key, value, modRevision, isByRestore } = changes[index] as ViewChange
      const isValueOmitted = (value?.length ?? 0) > maxInlineValueChars
      chars += key.length + (isValueOmitted ? 0 : value?.length ?? 0)
      // Changes of one transaction have the same revision and stay together.
      if (chars > maxPartChars && modRevision > lastRevision && latest.size > 0) return { changes: [...latest.values()], upToRevision: lastRevision }
      latest.delete(key)
      latest.set(key, { key, value: isValueOmitted ? undefined : value, modRevision, ...(isValueOmitted ? { isValueOmitted } : {}), ...(isByRestore === true ? { isByRestore } : {}) })
      lastRevision = modRevision
    }
    return { changes: [...latest.values()], upToRevision: undefined }
  }

  function add (added: readonly ViewChange[]): void {
    let isInOrder = true
    for (const change of added) {
      isInOrder &&= change.modRevision >= (changes.at(-1)?.modRevision ?? 0)
      changes.push(change)
    }
    // Values that were read later carry later revisions.
    if (!isInOrder) changes.sort((a, b) => a.modRevision - b.modRevision)
    if (changes.length <= maxStoredChanges) return
    completeSinceRevision = changes[changes.length - maxStoredChanges - 1]?.modRevision ?? completeSinceRevision
    changes = changes.slice(-maxStoredChanges)
  }

  return {
    add,
    reset: revision => {
      changes = []
      completeSinceRevision = revision
      lastRevisions.clear()
    },
    addRestore: (restored, lastRevision) => {
      lastRevisions.set(eraOf(lastRevision), lastRevision)
      add(restored)
    },
    after
  }
}
