/** Counts of attempts by route, kind of badness and share in force, as nodes report them. */
import type { BadnessKind, EvidenceCounts } from './types.ts'

/** Counts of one route and kind of badness, drawn at one share of the new version. */
export interface CountsOfShare extends EvidenceCounts {
  route: string
  kind: BadnessKind
  share: number
}

/** Counts that only grow, so that a lost report is made up for by the next. */
export interface CountsTable {
  add: (delta: CountsOfShare) => void
  all: () => CountsOfShare[]
  /** Takes in a later state of the same counts; returns what it added. */
  advance: (later: readonly CountsOfShare[]) => CountsOfShare[]
}

function keyOf ({ route, kind, share }: CountsOfShare): string {
  return `${share}/${kind}/${route}`
}

/** An empty table. */
export function createCountsTable (): CountsTable {
  const table = new Map<string, CountsOfShare>()

  function add (delta: CountsOfShare): void {
    const known = table.get(keyOf(delta))
    if (known === undefined) {
      table.set(keyOf(delta), { ...delta })
      return
    }
    known.newBad += delta.newBad
    known.oldBad += delta.oldBad
    known.newTotal += delta.newTotal
    known.oldTotal += delta.oldTotal
  }

  function advance (later: readonly CountsOfShare[]): CountsOfShare[] {
    const deltas: CountsOfShare[] = []
    for (const counts of later) {
      const known = table.get(keyOf(counts))
      const knownTotal = (known?.newTotal ?? 0) + (known?.oldTotal ?? 0)
      // A report that was overtaken on its way adds nothing.
      if (counts.newTotal + counts.oldTotal <= knownTotal) continue
      deltas.push({
        ...counts,
        newBad: counts.newBad - (known?.newBad ?? 0),
        oldBad: counts.oldBad - (known?.oldBad ?? 0),
        newTotal: counts.newTotal - (known?.newTotal ?? 0),
        oldTotal: counts.oldTotal - (known?.oldTotal ?? 0)
      })
      table.set(keyOf(counts), { ...counts })
    }
    return deltas
  }

  return { add, all: () => [...table.values()], advance }
}
