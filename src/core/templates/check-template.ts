/** Validates a template beyond its schema: parameter definitions, references and declaration fields. */
import { findNearestName } from '../nearest/index.ts'
import { declarationFields } from './resolve.ts'
import { findReferences } from './references.ts'
import { parseBound, parseParameter } from './values.ts'
import type { ParameterDefinition, ParameterProblem, Template } from './types.ts'

function checkParameter (name: string, definition: ParameterDefinition): ParameterProblem[] {
  const path = ['parameters', name]
  const problems: ParameterProblem[] = []
  for (const bound of ['min', 'max'] as const) {
    if (definition[bound] === undefined) continue
    const parsed = parseBound(definition, definition[bound])
    if (parsed.isErr) problems.push({ path: [...path, bound], text: parsed.error })
  }
  const min = definition.min === undefined ? -Infinity : parseBound(definition, definition.min).unwrapOr(-Infinity)
  const max = definition.max === undefined ? Infinity : parseBound(definition, definition.max).unwrapOr(Infinity)
  if (min > max) problems.push({ path: [...path, 'min'], text: 'is above max; write a smaller min or a larger max' })
  if (definition.kind === 'enum' && (definition.values ?? []).length === 0) problems.push({ path, text: 'has no values; add the allowed ones as "values"' })
  if (definition.default === undefined) return problems
  if (definition.required === true) problems.push({ path: [...path, 'required'], text: 'can\'t be true beside a default; remove one of them' })
  const parsed = parseParameter(definition, definition.default)
  if (parsed.isErr) problems.push({ path: [...path, 'default'], text: parsed.error })
  return problems
}

function describeUnknownName (given: string, known: string[], what: string): string {
  const suggestion = findNearestName(given, known)
  return `is not known as ${what}; ${suggestion === undefined ? `known names: ${known.join(', ')}` : `did you mean "${suggestion}"?`}`
}

/** Returns all problems of a template, with paths relative to the root of its file. */
export function checkTemplate (template: Template): ParameterProblem[] {
  const names = Object.keys(template.parameters)
  const references = findReferences(template.team)
  const used = new Set(references.map(({ name }) => name))
  return [
    ...names.flatMap(name => checkParameter(name, template.parameters[name]!)),
    ...Object.keys(template.team)
      .filter(field => !declarationFields.includes(field))
      .map(field => ({ path: ['team', field], text: describeUnknownName(field, declarationFields, 'a field of a team') })),
    ...references
      .filter(({ name }) => !names.includes(name))
      .map(({ path, name }) => ({ path: ['team', ...path], text: `refers to "$${name}", which ${describeUnknownName(name, names, 'a parameter')}` })),
    ...names
      .filter(name => !used.has(name))
      .map(name => ({ path: ['parameters', name], text: `is never used; refer to it as $${name} under "team" or remove it` }))
  ]
}
