/** Parses and validates template and team files together, without access to the key-value service. */
import { err, ok } from 'true-myth/result'
import { createError } from '../errors/index.ts'
import { findNearestName } from '../nearest/index.ts'
import { validateYaml, formatFieldPath, parseYamlDocument, renderProblems } from '../settings/index.ts'
import { checkTemplate } from './check-template.ts'
import { resolveTeam } from './resolve.ts'
import { teamFileSchema, templateFileSchema } from './schema.ts'
import type { Result } from 'true-myth'
import type { CyclamenError } from '../errors/index.ts'
import type { FieldProblem, YamlDocument } from '../settings/index.ts'
import type { TeamDeclaration } from '../teams/types.ts'
import type { FileProblems, ParameterProblem, ParsedFile, SourceFile, Template, TeamFile } from './types.ts'

/** A team file with the declaration that it resolves to. */
export interface CheckedTeam {
  file: string
  teamFile: TeamFile
  declaration: TeamDeclaration
}

/** Files that passed validation. */
export interface CheckedFiles {
  templates: Array<{ file: string, text: string, template: Template }>
  teams: CheckedTeam[]
}

/** Adds to each problem the line and column of its field. */
export function locateProblems (document: YamlDocument, problems: ParameterProblem[]): FieldProblem[] {
  return problems.map(({ path, text }) => ({ ...document.position(path), field: formatFieldPath(path), text }))
}

function unknownKindProblem (file: string, document: YamlDocument): FileProblems {
  const text = 'is neither a template nor a team; write "kind: template" or "kind: team" at the top'
  return { file, problems: document.problems.length > 0 ? document.problems : [{ ...document.position(['kind']), field: 'kind', text }] }
}

/** Parses one file and, if it is a template, validates it. */
export function parseSourceFile ({ file, text }: SourceFile): Result<ParsedFile, FileProblems> {
  const first = parseYamlDocument(text)
  const kind = (first.value as { kind?: unknown } | undefined | null)?.kind
  if (kind === 'template') {
    const { value, problems, document } = validateYaml(templateFileSchema, text)
    if (value === undefined) return err({ file, problems })
    const template = { name: value.name, description: value.description, parameters: value.parameters, team: value.team } as Template
    const placed = locateProblems(document, checkTemplate(template))
    return placed.length > 0 ? err({ file, problems: placed }) : ok({ kind, file, text, template, document })
  }
  if (kind === 'team') {
    const { value, problems, document } = validateYaml(teamFileSchema, text)
    if (value === undefined) return err({ file, problems })
    return ok({ kind, file, teamFile: { team: value.team, template: value.template, parameters: value.parameters }, document })
  }
  return err(unknownKindProblem(file, first))
}

function checkTeam (read: Extract<ParsedFile, { kind: 'team' }>, templates: Map<string, Template>): Result<CheckedTeam, FileProblems> {
  const { file, teamFile, document } = read
  const template = templates.get(teamFile.template)
  if (template === undefined) {
    const suggestion = findNearestName(teamFile.template, [...templates.keys()])
    const remedy = suggestion === undefined ? 'add its file' : `did you mean "${suggestion}"?`
    return err({ file, problems: locateProblems(document, [{ path: ['template'], text: `names the template "${teamFile.template}", which doesn't exist; ${remedy}` }]) })
  }
  return resolveTeam(template, teamFile.team, teamFile.parameters)
    .map(declaration => ({ file, teamFile, declaration }))
    .mapErr(problems => ({ file, problems: locateProblems(document, problems) }))
}

function findDuplicates (read: ParsedFile[]): FileProblems[] {
  const firstFiles = new Map<string, string>()
  return read.flatMap(item => {
    const name = item.kind === 'team' ? `team "${item.teamFile.team}"` : `template "${item.template.name}"`
    const first = firstFiles.get(name)
    firstFiles.set(name, first ?? item.file)
    const field = item.kind === 'team' ? 'team' : 'name'
    if (first === undefined) return []
    return [{ file: item.file, problems: locateProblems(item.document, [{ path: [field], text: `declares ${name}, which ${first} declares too; rename or remove one` }]) }]
  })
}

/** Creates one error that lists the problems of all files. */
export function createFilesError (invalidFiles: FileProblems[]): CyclamenError<'SettingsInvalid'> {
  return createError('SettingsInvalid', {
    file: [...new Set(invalidFiles.map(({ file }) => file))].join(', '),
    problems: invalidFiles.flatMap(({ file, problems }) => renderProblems(file, problems))
  })
}

/** Validates files together; `known` are further templates that team files may name. The error lists all problems of all files. */
export function checkFiles (files: SourceFile[], known: Template[] = []): Result<CheckedFiles, CyclamenError<'SettingsInvalid'>> {
  const results = files.map(parseSourceFile)
  const read = results.flatMap(result => result.isOk ? [result.value] : [])
  const templates = read.filter(item => item.kind === 'template')
  const byName = new Map([...known, ...templates.map(({ template }) => template)].map(template => [String(template.name), template]))
  // A team whose template is in an invalid file isn't reported as naming an unknown template.
  const invalidNames = files.flatMap(({ text }, index) => results[index]!.isErr ? [String((parseYamlDocument(text).value as { name?: unknown } | undefined)?.name)] : [])
  const teams = read.filter(item => item.kind === 'team').filter(({ teamFile }) => byName.has(teamFile.template) || !invalidNames.includes(teamFile.template))
  const checked = teams.map(team => checkTeam(team, byName))
  const invalidFiles = [
    ...results.flatMap(result => result.isErr ? [result.error] : []),
    ...findDuplicates(read),
    ...checked.flatMap(result => result.isErr ? [result.error] : [])
  ]
  if (invalidFiles.length > 0) return err(createFilesError(invalidFiles))
  return ok({ templates, teams: checked.flatMap(result => result.isOk ? [result.value] : []) })
}

/** Parses the text of a template that was read from the service; undefined when it isn't valid for this version. */
export function parseTemplate (text: string): Template | undefined {
  const read = parseSourceFile({ file: 'service', text })
  return read.isOk && read.value.kind === 'template' ? read.value.template : undefined
}
