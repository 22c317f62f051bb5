/** Renders the plan and the outcome of a change of declarations. */
import type { Result } from 'true-myth'
import { err, ok } from 'true-myth/result'
import { createError } from '../core/errors/index.ts'
import type { CyclamenError } from '../core/errors/index.ts'
import type { ApplyConflict, ApplyOutcome, ApplyPlan, FieldDifference } from '../core/templates/index.ts'

function renderValue (value: unknown): string {
  return value === undefined ? '(none)' : JSON.stringify(value)
}

function renderDifference ({ field, before, after }: FieldDifference): string {
  return `    ${field}: ${renderValue(before)} -> ${renderValue(after)}`
}

/** Renders a plan with one block per declaration. */
export function renderPlan ({ changes }: ApplyPlan): string {
  if (changes.every(({ action }) => action === 'keep')) return 'Nothing would change.'
  return changes
    .map(({ key, action, differences }) => [`${action.padEnd(6)} ${key}`, ...(action === 'change' ? differences.map(renderDifference) : [])].join('\n'))
    .join('\n')
}

function renderConflict ({ key, theirs, differences }: ApplyConflict): string {
  const change = theirs === undefined ? 'was deleted' : `was written by ${theirs.by} at ${new Date(theirs.atMs).toISOString()}`
  const lines = differences.map(({ field, before, after }) => `    ${field}: theirs ${renderValue(before)}, yours ${renderValue(after)}`)
  return [`  ${key} ${change}`, ...lines].join('\n')
}

/** The message for a write that succeeded or wasn't needed; a conflict or an unknown outcome is an error. */
export function describeOutcome (outcome: ApplyOutcome): Result<string, CyclamenError> {
  switch (outcome.outcome) {
    case 'unchanged':
      return ok('Nothing had to be written.')
    case 'landed':
      return ok(`Written at revision ${outcome.revision}.`)
    case 'superseded':
      return ok(`Written at revision ${outcome.revision}; another operator has changed it since.`)
    case 'conflict':
      return err(createError('DeclarationConflict', { conflicts: outcome.conflicts.map(renderConflict) }))
    case 'unknown':
      return err(createError('DeclarationUnknown', { writeId: outcome.writeId, run: 'unknown' }))
  }
}

/** JSON output of a plan. The outcome is undefined for a dry run. */
export interface PlanOutput {
  changes: Array<{ key: string, action: string, differences: FieldDifference[] }>
  outcome: ApplyOutcome | undefined
}

export function toPlanOutput (plan: ApplyPlan, outcome: ApplyOutcome | undefined): PlanOutput {
  const changes = plan.changes.map(({ key, action, differences }) => ({ key, action, differences }))
  return { changes, outcome }
}
