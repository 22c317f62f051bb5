/** Converts issues of the schema library into problems with a position and a remedy. */
import { z } from 'zod'
import { findNearestName } from '../nearest/index.ts'
import { formatFieldPath } from './fields.ts'
import type { FieldPath, FieldProblem, YamlDocument } from './fields.ts'

type Issue = z.core.$ZodIssue

/** Unwraps the schema inside defaults, optionals and transforms. */
function unwrapSchema (schema: unknown): unknown {
  if (schema instanceof z.ZodDefault || schema instanceof z.ZodPrefault) return unwrapSchema(schema.def.innerType)
  if (schema instanceof z.ZodOptional || schema instanceof z.ZodNullable) return unwrapSchema(schema.def.innerType)
  if (schema instanceof z.ZodPipe) return unwrapSchema(schema.def.in)
  return schema
}

/** Returns the field names that the schema allows at a path. */
export function knownFields (schema: unknown, path: FieldPath): string[] {
  const inner = unwrapSchema(schema)
  const [first, ...rest] = path
  if (inner instanceof z.ZodObject) {
    if (first === undefined) return Object.keys(inner.shape)
    return knownFields(inner.shape[first], rest)
  }
  if (inner instanceof z.ZodArray && first !== undefined) return knownFields(inner.element, rest)
  if (inner instanceof z.ZodRecord && first !== undefined) return knownFields(inner.valueType, rest)
  return []
}

/** Returns the value at a path. */
function valueAt (value: unknown, path: FieldPath): unknown {
  return path.reduce<unknown>((inner, part) => (inner as Record<string | number, unknown> | undefined)?.[part], value)
}

function describeValue (value: unknown): string {
  if (value === null) return 'empty'
  if (Array.isArray(value)) return 'a list'
  if (typeof value === 'object') return 'a map'
  return `the ${typeof value === 'string' ? 'string' : typeof value} ${JSON.stringify(value)}`
}

const typeNames: Record<string, string> = {
  int: 'a whole number',
  number: 'a number',
  string: 'a string',
  boolean: 'true or false',
  object: 'a map of fields',
  record: 'a map of fields',
  array: 'a list'
}

function describeType (issue: Issue & { code: 'invalid_type' }, value: unknown, given: string): string {
  const expected = typeNames[issue.expected] ?? issue.expected
  if (value === undefined) return `is missing; add it as ${expected}`
  return `is ${given}; write ${expected} instead`
}

/** Renders a bound with its unit. */
function formatBound (amount: number | bigint, origin: string): string {
  if (origin === 'string') return `${amount} characters`
  if (origin === 'array') return amount === 1 ? '1 entry' : `${amount} entries`
  return String(amount)
}

/** Names of fields whose values are secret and never shown in messages. */
const secretFields: ReadonlySet<string | number> = new Set(['key', 'token', 'tokenDigests'])

function isSecret (path: FieldPath): boolean {
  return path.some(part => secretFields.has(part))
}

/** Describes what is wrong with a value and what to write instead. */
function describeProblem (issue: Issue, value: unknown, secret: boolean): string {
  const given = secret ? 'invalid (value not shown)' : describeValue(value)
  switch (issue.code) {
    case 'invalid_type':
      return describeType(issue, value, given)
    case 'too_small':
      return `is too small; write at least ${formatBound(issue.minimum, issue.origin)}`
    case 'too_big':
      return `is too large; write at most ${formatBound(issue.maximum, issue.origin)}`
    case 'invalid_value': {
      const suggestion = findNearestName(String(value), issue.values.map(String))
      const hint = suggestion === undefined ? '' : `; did you mean "${suggestion}"?`
      return `is ${given}; write one of ${issue.values.map(String).join(', ')}${hint}`
    }
    default:
      return `is ${given}; it ${issue.message}`
  }
}

/** Creates the problems of fields that the schema doesn't allow. */
function describeUnknownFields (schema: unknown, document: YamlDocument, path: FieldPath, keys: readonly string[]): FieldProblem[] {
  const known = knownFields(schema, path)
  return keys.map(key => {
    const suggestion = findNearestName(key, known)
    const remedy = suggestion === undefined ? `remove it; known fields: ${known.join(', ')}` : `did you mean "${suggestion}"?`
    const fieldPath = [...path, key]
    return { ...document.position(fieldPath, 'key'), field: formatFieldPath(fieldPath), text: `is not known; ${remedy}` }
  })
}

/** Converts one issue of the schema library into problems with their positions. */
export function describeIssue (schema: unknown, document: YamlDocument, issue: Issue): FieldProblem[] {
  const path = issue.path.filter((part): part is string | number => typeof part !== 'symbol')
  if (issue.code === 'unrecognized_keys') return describeUnknownFields(schema, document, path, issue.keys)
  const value = valueAt(document.value, path)
  return [{ ...document.position(path), field: formatFieldPath(path), text: describeProblem(issue, value, isSecret(path)) }]
}
