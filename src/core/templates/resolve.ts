/** Resolves a template with a team's parameters into the team's declaration. */
import { err, ok } from 'true-myth/result'
import { declarationSchema } from '../configuration/declared-value.ts'
import { findNearestName } from '../nearest/index.ts'
import { referenceOf, substitute } from './references.ts'
import { parseParameter } from './values.ts'
import type { Result } from 'true-myth'
import type { TeamId } from '../ids/index.ts'
import type { TeamDeclaration } from '../teams/types.ts'
import type { ParameterProblem, Template } from './types.ts'

/** Fields that a template's `team` may set. The fields `team` and `template` come from the team file. */
export const declarationFields = Object.keys(declarationSchema.shape).filter(field => field !== 'team' && field !== 'template')

/** Parses all parameters that the team sets or that have a default. */
function parseParameters (template: Template, given: Record<string, unknown>): { values: Map<string, unknown>, problems: ParameterProblem[] } {
  const values = new Map<string, unknown>()
  const names = Object.keys(template.parameters)
  const problems: ParameterProblem[] = Object.keys(given).filter(name => !names.includes(name)).map(name => {
    const suggestion = findNearestName(name, names)
    const remedy = suggestion === undefined ? `known parameters: ${names.join(', ')}` : `did you mean "${suggestion}"?`
    return { path: ['parameters', name], text: `is not a parameter of template "${template.name}"; ${remedy}` }
  })
  for (const [name, definition] of Object.entries(template.parameters)) {
    const raw = given[name] ?? definition.default
    if (raw === undefined) {
      if (definition.required === true) problems.push({ path: ['parameters', name], text: `is missing; add it (${definition.kind}): ${definition.description}` })
      continue
    }
    const parsed = parseParameter(definition, raw)
    if (parsed.isErr) problems.push({ path: ['parameters', name], text: parsed.error })
    else values.set(name, parsed.value)
  }
  return { values, problems }
}

/** Returns the path in the team file of the parameter that a declaration field comes from; the path of `template` if it comes from none. */
function sourcePathOf (template: Template, path: PropertyKey[]): Array<string | number> {
  let value: unknown = template.team
  for (const part of path) {
    value = (value as Record<PropertyKey, unknown> | undefined)?.[part]
    const name = referenceOf(value)
    if (name !== undefined) return ['parameters', name]
  }
  return ['template']
}

/** Checks rules that involve more than one field or entry. */
function checkCombinations (template: Template, declaration: TeamDeclaration): ParameterProblem[] {
  const problems: ParameterProblem[] = []
  const add = (field: string, text: string): unknown => problems.push({ path: sourcePathOf(template, field.split('.')), text })
  if (declaration.minBackends > declaration.maxBackends) add('minBackends', `sets minBackends to ${declaration.minBackends}, which is above maxBackends ${declaration.maxBackends}; lower minBackends or raise maxBackends`)
  if (declaration.domains.length === 0) add('domains', 'names no failure domain; add at least one')
  if (new Set(declaration.domains).size < declaration.domains.length) add('domains', 'names a failure domain twice; remove one')
  if (declaration.routes.length === 0) add('routes', 'leaves the team without a route; add at least one')
  if (new Set(declaration.routes.map(route => route.name)).size < declaration.routes.length) add('routes', 'gives two routes the same name; rename one')
  if (declaration.tokenDigests.length === 0) add('tokenDigests', 'contains no digest, so no caller can authenticate; add the SHA-256 digest of a token')
  if (declaration.move?.toVersion === declaration.version) add('move.toVersion', `is "${declaration.version}", which is the current version; name another version or remove the move`)
  return problems
}

/** Resolves the declaration of a team. The error lists all problems of its parameters. */
export function resolveTeam (template: Template, team: TeamId, parameters: Record<string, unknown>): Result<TeamDeclaration, ParameterProblem[]> {
  const { values, problems } = parseParameters(template, parameters)
  if (problems.length > 0) return err(problems)
  const filled = { ...substitute(template.team, values) as object, team, template: template.name }
  const parsed = declarationSchema.safeParse(filled)
  if (!parsed.success) {
    return err(parsed.error.issues.map(issue => ({
      path: sourcePathOf(template, issue.path),
      text: `makes the team's "${issue.path.join('.')}" invalid: ${issue.message}; correct the parameter or the template`
    })))
  }
  const declaration = parsed.data as TeamDeclaration
  const combinationProblems = checkCombinations(template, declaration)
  return combinationProblems.length > 0 ? err(combinationProblems) : ok(declaration)
}
