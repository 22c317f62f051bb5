/** Parses assignments of parameters, such as `maxBackends=8`, from the command line. */
import { err, ok } from 'true-myth/result'
import type { Result } from 'true-myth'
import { parse } from 'yaml'
import { createError } from '../../core/errors/index.ts'
import type { CyclamenError } from '../../core/errors/index.ts'

type AssignmentError = CyclamenError<'ArgumentWrong'>

function readAssignment (text: string): Result<[string, unknown], AssignmentError> {
  const match = /^([A-Za-z]\w*)=(.+)$/s.exec(text)
  if (match === null) return err(createError('ArgumentWrong', { argument: `"${text}"`, problem: 'is not an assignment; write name=value' }))
  try {
    return ok([match[1]!, parse(match[2]!)])
  } catch {
    return err(createError('ArgumentWrong', { argument: `"${text}"`, problem: 'has a value that is not valid YAML; quote it' }))
  }
}

/** Returns the new values by parameter name; undefined for a parameter that is removed. An empty change is an error. */
export function readAssignments (assignments: readonly string[], unset: readonly string[]): Result<Record<string, unknown>, AssignmentError> {
  const changes: Record<string, unknown> = Object.fromEntries(unset.map(name => [name, undefined]))
  for (const text of assignments) {
    const read = readAssignment(text)
    if (read.isErr) return err(read.error)
    const [name, value] = read.value
    changes[name] = value
  }
  if (Object.keys(changes).length > 0) return ok(changes)
  return err(createError('ArgumentWrong', { argument: 'The change', problem: 'is empty; write name=value or give --unset' }))
}
