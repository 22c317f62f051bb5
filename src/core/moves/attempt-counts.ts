/** Counts of attempts by route, kind of regression and traffic share, as reported between nodes. */
import { z } from 'zod'
import type { RegressionKind, VersionCounts } from './types.ts'

/** Counts for one route and kind of regression, of attempts drawn at one share of the new version. Latencies are only classified as bad where they are added up. */
export interface AttemptCounts extends VersionCounts {
  route: string
  kind: RegressionKind
  /** 0 for attempts before the move. */
  share: number
  /** Bucket of the latencies; undefined for failures. */
  latencyBucket?: number | undefined
  /** Whether the attempts ended before the latency was complete, because the caller left, for example. */
  isLowerBound?: boolean | undefined
}

/** Schema of counts that another node reports. */
export const attemptCountsSchema = z.object({
  route: z.string(),
  kind: z.enum(['failing', 'first-token-slow', 'between-tokens-slow']),
  share: z.number(),
  latencyBucket: z.number().optional(),
  isLowerBound: z.boolean().optional(),
  newBad: z.number(),
  oldBad: z.number(),
  newTotal: z.number(),
  oldTotal: z.number()
})

const kinds = ['failing', 'first-token-slow', 'between-tokens-slow'] as const
const noBucket = -1

/** Counts as a short list of values, because hundreds of nodes send them several times a minute. */
export type PackedCounts = [route: string, kind: number, share: number, bucket: number, isLowerBound: number, newBad: number, oldBad: number, newTotal: number, oldTotal: number]

/** Schema of packed counts that another node reports. */
export const packedCountsSchema = z.tuple([z.string(), z.number().int().min(0).max(kinds.length - 1), z.number(), z.number(), z.number(), z.number(), z.number(), z.number(), z.number()])

export function packCounts ({ route, kind, share, latencyBucket = noBucket, isLowerBound = false, newBad, oldBad, newTotal, oldTotal }: AttemptCounts): PackedCounts {
  return [route, kinds.indexOf(kind), share, latencyBucket, isLowerBound ? 1 : 0, newBad, oldBad, newTotal, oldTotal]
}

export function unpackCounts ([route, kind, share, bucket, isLowerBound, newBad, oldBad, newTotal, oldTotal]: PackedCounts): AttemptCounts {
  return {
    route,
    kind: kinds[kind] ?? 'failing',
    share,
    ...(bucket === noBucket ? {} : { latencyBucket: bucket }),
    ...(isLowerBound === 1 ? { isLowerBound: true } : {}),
    newBad,
    oldBad,
    newTotal,
    oldTotal
  }
}

/** Counts that only grow, so that the next report makes up for a lost one. */
export interface AttemptCountsTable {
  add: (delta: AttemptCounts) => void
  all: () => AttemptCounts[]
  /** Replaces the counts by a later report of them; returns the differences. */
  mergeReport: (later: readonly AttemptCounts[]) => AttemptCounts[]
}

function keyOf ({ route, kind, share, latencyBucket, isLowerBound }: AttemptCounts): string {
  return `${share}/${kind}/${latencyBucket ?? ''}/${isLowerBound ?? false}/${route}`
}

/** Creates an empty table. */
export function createAttemptCountsTable (): AttemptCountsTable {
  const table = new Map<string, AttemptCounts>()

  function add (delta: AttemptCounts): void {
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

  function mergeReport (later: readonly AttemptCounts[]): AttemptCounts[] {
    const deltas: AttemptCounts[] = []
    for (const counts of later) {
      const known = table.get(keyOf(counts))
      const knownTotal = (known?.newTotal ?? 0) + (known?.oldTotal ?? 0)
      // A report that arrives after a later one adds nothing.
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

  return { add, all: () => [...table.values()], mergeReport }
}
