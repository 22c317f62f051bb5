/** Compares two values field by field. */
import { isDeepStrictEqual } from 'node:util'
import type { FieldDifference } from './types.ts'

function isMap (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

/** Returns the fields that differ, with dotted paths. Lists are compared as a whole. */
export function findDifferences (before: unknown, after: unknown, field = ''): FieldDifference[] {
  if (isDeepStrictEqual(before, after)) return []
  if (!isMap(before) || !isMap(after)) return [{ field, before, after }]
  const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort()
  return keys.flatMap(key => findDifferences(before[key], after[key], field === '' ? key : `${field}.${key}`))
}
