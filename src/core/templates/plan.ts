/** Computes what an apply would change, without writing anything. */
import { err, ok } from 'true-myth/result'
import { teamsPrefix, templatesPrefix } from '../configuration/index.ts'
import { checkFiles, createFilesError } from './check-files.ts'
import { findDifferences } from './differences.ts'
import { historyKeyOf } from './history.ts'
import { resolveTeam } from './resolve.ts'
import { readDeclarations } from './stored.ts'
import { parseDeclaredValue } from '../configuration/declared-value.ts'
import type { Result } from 'true-myth'
import type { CyclamenError } from '../errors/index.ts'
import type { TeamContent } from '../configuration/index.ts'
import type { Compare, KeyValueEntry, KeyValueError, KeyValueStore } from '../platform/key-value/types.ts'
import type { TeamDeclaration } from '../teams/types.ts'
import type { CheckedFiles } from './check-files.ts'
import type { StoredDeclarations } from './stored.ts'
import type { ApplyPlan, FileProblems, PlannedChange, SourceFile, TemplateContent } from './types.ts'

/** Why there is no plan. */
export type PlanError = CyclamenError<'SettingsInvalid'> | KeyValueError

/** Options of planning. */
export interface PlanOptions {
  store: KeyValueStore
  deadlineAtMs: number
  /** Current wall time, against which the deadlines of moves are checked. */
  nowMs: number
}

function planChange (stored: StoredDeclarations, key: string, content: TeamContent | TemplateContent): PlannedChange {
  const entry = stored.entries.get(key)
  const before = entry === undefined ? undefined : parseDeclaredValue(entry.value).map(value => value.content).unwrapOr(undefined)
  const differences = findDifferences(before ?? {}, content)
  const action = entry === undefined ? 'create' : differences.length > 0 ? 'change' : 'keep'
  return { key, action, differences, content }
}

/** Resolves the stored teams again that use a template among the files but aren't among the files themselves. */
function resolveDependents (checked: CheckedFiles, stored: StoredDeclarations): { contents: TeamContent[], invalidFiles: FileProblems[] } {
  const given = new Set(checked.teams.map(({ teamFile }) => String(teamFile.team)))
  const contents: TeamContent[] = []
  const invalidFiles: FileProblems[] = []
  for (const { file, template } of checked.templates) {
    for (const [team, { content }] of stored.teams) {
      if (content.template !== template.name || given.has(team)) continue
      const declaration = resolveTeam(template, content.declaration.team, content.parameters)
      if (declaration.isOk) contents.push({ ...content, declaration: declaration.value })
      else {
        const problems = declaration.error.map(({ path, text }) => ({
          line: 1, column: 1, field: '', text: `makes team "${team}" invalid, whose ${path.join('.')} ${text}; apply that team's file together with this one`
        }))
        invalidFiles.push({ file, problems })
      }
    }
  }
  return { contents, invalidFiles }
}

function findPastDeadlines (checked: CheckedFiles, stored: StoredDeclarations, nowMs: number): FileProblems[] {
  return checked.teams.flatMap(({ file, teamFile, declaration }) => {
    const { move } = declaration
    const known = stored.teams.get(teamFile.team)?.content.declaration.move
    const isNew = move !== undefined && findDifferences(known, move).length > 0
    if (!isNew || move.deadlineAtMs > nowMs) return []
    const text = `sets the deadline of the move to "${move.toVersion}" to ${new Date(move.deadlineAtMs).toISOString()}, which is in the past; set a later time`
    return [{ file, problems: [{ line: 1, column: 1, field: 'parameters', text }] }]
  })
}

function compareOf (entries: Map<string, KeyValueEntry>, key: string): Compare {
  return { key, modRevision: entries.get(key)?.modRevision ?? 0 }
}

/** Reads the histories of the keys that would change. */
async function readHistories (changed: PlannedChange[], options: PlanOptions): Promise<Result<Map<string, KeyValueEntry | undefined>, KeyValueError>> {
  const histories = new Map<string, KeyValueEntry | undefined>()
  for (const { key } of changed) {
    const read = await options.store.get(historyKeyOf(key), options)
    if (read.isErr) return err(read.error)
    histories.set(historyKeyOf(key), read.value.entry)
  }
  return ok(histories)
}

/** Builds a plan from validated contents: differences, histories, and compares of the changed keys, their templates and histories. */
export async function planContents (
  stored: StoredDeclarations,
  contents: Array<[string, TeamContent | TemplateContent]>,
  options: PlanOptions
): Promise<Result<ApplyPlan, KeyValueError>> {
  const changes = contents.map(([key, content]) => planChange(stored, key, content))
  const changed = changes.filter(({ action }) => action !== 'keep')
  const histories = await readHistories(changed, options)
  if (histories.isErr) return err(histories.error)
  const templateKeys = changed.flatMap(({ content }) => 'template' in content ? [templatesPrefix + content.template] : [])
  const touched = [...new Set([...changed.map(({ key }) => key), ...templateKeys])].map(key => compareOf(stored.entries, key))
  const historyCompares = [...histories.value].map(([key, entry]) => ({ key, modRevision: entry?.modRevision ?? 0 }))
  return ok({ changes, compares: [...touched, ...historyCompares], histories: histories.value })
}

/** Creates the stored content of a team's key. */
export function createTeamContent (template: string, parameters: Record<string, unknown>, declaration: TeamDeclaration): TeamContent {
  return { template, parameters, declaration }
}

/** Validates files and computes what applying them would change. */
export async function planApply (files: SourceFile[], options: PlanOptions): Promise<Result<ApplyPlan, PlanError>> {
  const read = await readDeclarations(options.store, options.deadlineAtMs)
  if (read.isErr) return err(read.error)
  const stored = read.value
  const checked = checkFiles(files, [...stored.templates.values()])
  if (checked.isErr) return err(checked.error)
  const dependents = resolveDependents(checked.value, stored)
  const invalidFiles = [...dependents.invalidFiles, ...findPastDeadlines(checked.value, stored, options.nowMs)]
  if (invalidFiles.length > 0) return err(createFilesError(invalidFiles))
  const templates = checked.value.templates.map(({ text, template }): [string, TemplateContent] => [templatesPrefix + template.name, { text }])
  const teams = checked.value.teams.map(({ teamFile, declaration }): [string, TeamContent] =>
    [teamsPrefix + teamFile.team, createTeamContent(teamFile.template, teamFile.parameters, declaration)])
  const others = dependents.contents.map((content): [string, TeamContent] => [teamsPrefix + content.declaration.team, content])
  return planContents(stored, [...templates, ...teams, ...others], options)
}
