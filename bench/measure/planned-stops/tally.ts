/** What became of the requests of plays. */
import type { CallerRequest } from './callers.ts'

/** Counts of requests, unless said otherwise. */
export interface Counts {
  requests: number
  /** Answers. */
  answers503: number
  served: number
  /** With at least one 503. */
  refused: number
  refusedServed: number
  /** With 503 as their last try. */
  unserved503: number
  /** Those of them whose callers didn't wait as told. */
  unservedImpatient: number
  /** With a refused connection as their last try. */
  unreached: number
  refusedConnections: number
  /** Streams that a node cut at its end, by the time of their try after the signal. */
  cutEarly: number
  cutLate: number
  /** Streams of these that didn't go on elsewhere. */
  lostStreams: number
  /** Calls without an answer at the end of their node, and those of them without another try. */
  cutCalls: number
  lostCalls: number
  pastDeadline: number
}

/** The result of one or more plays. */
export interface Tally extends Counts {
  /** Added by refusals to requests that were served, ascending. */
  addedMs: number[]
}

function emptyCounts (): Counts {
  return { requests: 0, answers503: 0, served: 0, refused: 0, refusedServed: 0, unserved503: 0, unservedImpatient: 0, unreached: 0, refusedConnections: 0, cutEarly: 0, cutLate: 0, lostStreams: 0, cutCalls: 0, lostCalls: 0, pastDeadline: 0 }
}

/** Counts the measured requests of a play. */
export function createTally () {
  const counts = emptyCounts()
  const addedMs: number[] = []

  function count ({ isMeasured }: CallerRequest, what: keyof Counts): void {
    if (isMeasured) counts[what] += 1
  }

  return {
    count,
    recordServed: (request: CallerRequest, waitedMs: number): void => {
      count(request, 'served')
      if (request.refusals === 0 || !request.isMeasured) return
      counts.refusedServed += 1
      addedMs.push(waitedMs)
    },
    result: (): Tally => ({ ...counts, addedMs: addedMs.toSorted((a, b) => a - b) })
  }
}

/** Adds the results of plays up. */
export function sumOf (tallies: readonly Tally[]): Tally {
  const sum = emptyCounts()
  for (const tally of tallies) for (const key of Object.keys(sum) as Array<keyof Counts>) sum[key] += tally[key]
  return { ...sum, addedMs: tallies.flatMap(({ addedMs }) => addedMs).toSorted((a, b) => a - b) }
}
