/** Reads the templates and teams that are stored in the key-value service. */
import { ok } from 'true-myth/result'
import { configurationPrefix, parseDeclaredValue, parseTeamValue, teamsPrefix, templatesPrefix } from '../configuration/index.ts'
import { parseTemplate } from './check-files.ts'
import type { Result } from 'true-myth'
import type { DeclaredValue, TeamContent } from '../configuration/index.ts'
import type { KeyValueEntry, KeyValueError, KeyValueStore } from '../platform/key-value/types.ts'
import type { Template, TemplateContent } from './types.ts'

/** All declarations at one revision of the service. */
export interface StoredDeclarations {
  entries: Map<string, KeyValueEntry>
  /** Templates by name; those that can't be parsed are left out. */
  templates: Map<string, Template>
  /** Teams by name; those that can't be parsed are left out. */
  teams: Map<string, DeclaredValue<TeamContent>>
}

/** Parses the stored value of a template; undefined when it can't be parsed. */
export function parseTemplateValue (entry: KeyValueEntry): Template | undefined {
  const value = parseDeclaredValue(entry.value)
  if (value.isErr) return undefined
  const { text } = value.value.content as TemplateContent
  return typeof text === 'string' ? parseTemplate(text) : undefined
}

/** Reads all declarations. */
export async function readDeclarations (store: KeyValueStore, deadlineAtMs: number): Promise<Result<StoredDeclarations, KeyValueError>> {
  const list = await store.list(configurationPrefix, { deadlineAtMs })
  return list.andThen(({ entries }) => {
    const templates = new Map<string, Template>()
    const teams = new Map<string, DeclaredValue<TeamContent>>()
    for (const entry of entries) {
      const template = entry.key.startsWith(templatesPrefix) ? parseTemplateValue(entry) : undefined
      if (template !== undefined) templates.set(template.name, template)
      const team = entry.key.startsWith(teamsPrefix) ? parseTeamValue(entry.value).unwrapOr(undefined) : undefined
      if (team !== undefined) teams.set(entry.key.slice(teamsPrefix.length), team)
    }
    return ok<StoredDeclarations, KeyValueError>({ entries: new Map(entries.map(entry => [entry.key, entry])), templates, teams })
  })
}
