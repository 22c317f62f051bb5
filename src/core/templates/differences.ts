/** What differs between two values, field by field. */
import { isDeepStrictEqual } from 'node:util'
import type { FieldDifference } from './types.ts'

function isMap (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

/** The fields that differ, with dots between the parts of their names; lists are compared whole. */
export function findDifferences (before: unknown, after: unknown, field = ''): FieldDifference[] {
  if (isDeepStrictEqual(before, after)) return []
  if (!isMap(before) || !isMap(after)) return [{ field, before, after }]
  const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort()
  return keys.flatMap(key => findDifferences(before[key], after[key], field === '' ? key : `${field}.${key}`))
}
