/**
 * Parses YAML against a schema and reports all problems at once, each with its
 * file, line, column, field and remedy.
 */
import { err, ok } from 'true-myth/result'
import type { Result } from 'true-myth'
import { LineCounter, isMap, isNode, isPair, isScalar, parseDocument } from 'yaml'
import type { Document } from 'yaml'
import type { z } from 'zod'
import { createError } from '../errors/index.ts'
import type { CyclamenError } from '../errors/index.ts'
import { describeIssue } from './issues.ts'
import type { FieldPath, FieldProblem, YamlDocument } from './fields.ts'

/** Returns the offset of the field at a path, or of its nearest existing ancestor. */
function offsetOf (document: Document, path: FieldPath, part: 'key' | 'value'): number {
  const parent = path.length <= 1 ? document.contents : document.getIn(path.slice(0, -1), true)
  const last = path.at(-1)
  if (isMap(parent)) {
    const pair = parent.items.find(item => isPair(item) && isScalar(item.key) && String(item.key.value) === String(last))
    const target = part === 'key' ? pair?.key : pair?.value ?? pair?.key
    if (isNode(target) && target.range != null) return target.range[0]
  }
  const node = path.length === 0 ? document.contents : document.getIn(path, true)
  if (isNode(node) && node.range != null) return node.range[0]
  if (path.length === 0) return 0
  return offsetOf(document, path.slice(0, -1), 'key')
}

/** Parses YAML and keeps the positions of its fields. Lines and columns start at 1. */
export function parseYamlDocument (text: string): YamlDocument {
  const lines = new LineCounter()
  const document = parseDocument(text, { lineCounter: lines, prettyErrors: false })
  const problems = document.errors.map(error => {
    const { line, col } = lines.linePos(error.pos[0])
    return { line, column: col, field: '', text: `is not valid YAML: ${error.message}; correct the syntax here` }
  })
  return {
    value: problems.length === 0 ? document.toJS() : undefined,
    problems,
    position: (path, part = 'value') => {
      const { line, col } = lines.linePos(offsetOf(document, path, part))
      return { line: Math.max(1, line), column: Math.max(1, col) }
    }
  }
}

/** Renders problems in the order of their positions, in the form `file:line:column: field text`. */
export function renderProblems (file: string, problems: readonly FieldProblem[]): string[] {
  return [...problems]
    .sort((a, b) => a.line - b.line || a.column - b.column)
    .map(({ line, column, field, text }) => `${file}:${line}:${column}: ${field === '' ? 'file' : field} ${text}`)
}

/** Creates the error that lists all problems of a file. */
export function createSettingsError (file: string, problems: readonly FieldProblem[]): CyclamenError<'SettingsInvalid'> {
  return createError('SettingsInvalid', { file, problems: renderProblems(file, problems) })
}

/** Result of validating a file against a schema. The value is undefined when the file has problems. */
export interface ValidatedYaml<Value> {
  value: Value | undefined
  problems: FieldProblem[]
  document: YamlDocument
}

/** Drops the issues that the schema library reports on a value in addition to its wrong type, such as bounds. */
function dropSecondaryIssues (issues: readonly z.core.$ZodIssue[]): z.core.$ZodIssue[] {
  const mistyped = new Set(issues.filter(issue => issue.code === 'invalid_type').map(issue => issue.path.join('/')))
  return issues.filter(issue => issue.code === 'invalid_type' || !mistyped.has(issue.path.join('/')))
}

/** Parses and validates YAML against a schema, and keeps the positions of its fields. */
export function validateYaml<Schema extends z.ZodType> (schema: Schema, text: string): ValidatedYaml<z.output<Schema>> {
  const document = parseYamlDocument(text)
  if (document.problems.length > 0) return { value: undefined, problems: document.problems, document }
  const parsed = schema.safeParse(document.value ?? {})
  if (parsed.success) return { value: parsed.data, problems: [], document }
  const problems = dropSecondaryIssues(parsed.error.issues).flatMap(issue => describeIssue(schema, document, issue))
  return { value: undefined, problems, document }
}

/** Parses and validates YAML against a schema; `file` is the name used in messages. */
export function parseYaml<Schema extends z.ZodType> (
  schema: Schema,
  text: string,
  file: string
): Result<z.output<Schema>, CyclamenError<'SettingsInvalid'>> {
  const { value, problems } = validateYaml(schema, text)
  if (value === undefined || problems.length > 0) return err(createSettingsError(file, problems))
  return ok(value)
}
