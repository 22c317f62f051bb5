/** Looks up error kinds, log events and reasons in their catalogues. */
import { err, ok } from 'true-myth/result'
import type { Result } from 'true-myth'
import { createError, errorCatalogue } from '../../core/errors/index.ts'
import type { CyclamenError } from '../../core/errors/index.ts'
import { eventCatalogue } from '../../core/log/events/index.ts'
import { findNearestName } from '../../core/nearest/index.ts'
import { recomputeExplanations, refusalExplanations, retryExplanations } from '../../core/outcomes/explanations.ts'

/** Explanation of one error kind, log event or reason. */
export interface Explanation {
  kind: 'error' | 'event' | 'refusal' | 'retry' | 'recompute'
  name: string
  number?: number
  level?: string
  text: string
  remedy: string
}

/** Lists all error kinds, log events and reasons. */
export function listExplanations (): Explanation[] {
  const reasons = [
    ['refusal', refusalExplanations],
    ['retry', retryExplanations],
    ['recompute', recomputeExplanations]
  ] as const
  return [
    ...Object.entries(errorCatalogue).map(([name, { title, hint }]) => ({ kind: 'error' as const, name, text: `${title}.`, remedy: hint })),
    ...Object.entries(eventCatalogue).map(([name, entry]) => ({ kind: 'event' as const, name, ...entry })),
    ...reasons.flatMap(([kind, explanations]) =>
      Object.entries(explanations).map(([name, { text, remedy }]) => ({ kind, name, text, remedy })))
  ]
}

/** Finds all entries with the given name, in any case, or event number; the error suggests the nearest name. */
export function findExplanations (nameOrNumber: string): Result<Explanation[], CyclamenError<'ArgumentWrong'>> {
  const all = listExplanations()
  const lower = nameOrNumber.toLowerCase()
  const found = all.filter(({ name, number }) => name.toLowerCase() === lower || String(number) === nameOrNumber)
  if (found.length > 0) return ok(found)
  const nearest = findNearestName(nameOrNumber, all.map(({ name }) => name))
  const problem = `is not an error, an event or a reason${nearest === undefined ? '' : `; did you mean "${nearest}"?`}`
  return err(createError('ArgumentWrong', { argument: `"${nameOrNumber}"`, problem: problem.replace(/\?$/, '') }))
}
