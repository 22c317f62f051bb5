/** Types of templates, of the team files that use them, and of changes of both. */
import type { FieldProblem, YamlDocument } from '../settings/index.ts'
import type { TeamId, TemplateId, WriteId } from '../ids/index.ts'
import type { DeclaredValue, TeamContent } from '../configuration/index.ts'
import type { Compare, KeyValueEntry } from '../platform/key-value/types.ts'

export type ParameterKind = 'string' | 'number' | 'boolean' | 'enum' | 'list' | 'duration' | 'money' | 'time'

/** One parameter of a template. Bounds and default use the same notation as values of its kind. */
export interface ParameterDefinition {
  kind: ParameterKind
  description: string
  /** Whether every team must set the parameter. An optional parameter without a default may be left out. */
  required?: boolean
  default?: unknown
  /** Smallest value; for a string or list, the smallest length. `max` is the largest accordingly. */
  min?: unknown
  max?: unknown
  /** Allowed values of an enum. */
  values?: string[]
  /** Kind of a list's items. */
  of?: 'string' | 'number'
}

/** A template: the fields of a team's declaration, in which `$name` refers to a parameter. */
export interface Template {
  name: TemplateId
  description: string
  parameters: Record<string, ParameterDefinition>
  team: Record<string, unknown>
}

/** Content of a team file. */
export interface TeamFile {
  team: TeamId
  template: TemplateId
  parameters: Record<string, unknown>
}

/** A problem of a template or team; `path` is the field in its file. */
export interface ParameterProblem {
  path: Array<string | number>
  text: string
}

/** A file to validate or apply. */
export interface SourceFile {
  file: string
  text: string
}

/** A parsed file: a template or a team, with the positions of its fields. */
export type ParsedFile =
  | { kind: 'template', file: string, text: string, template: Template, document: YamlDocument }
  | { kind: 'team', file: string, teamFile: TeamFile, document: YamlDocument }

/** The problems of one file. */
export interface FileProblems {
  file: string
  problems: FieldProblem[]
}

/** Stored content of a template: the unchanged text of its file. */
export interface TemplateContent {
  text: string
}

/** One field that differs; `before` or `after` is undefined where the field is absent. */
export interface FieldDifference {
  field: string
  before: unknown
  after: unknown
}

/** One key of a plan and the content that it would have. `keep` means that its content doesn't change. */
export interface PlannedChange {
  key: string
  action: 'create' | 'change' | 'keep'
  differences: FieldDifference[]
  content: TeamContent | TemplateContent
}

/** What an apply would change, and the revisions on which that depends. */
export interface ApplyPlan {
  changes: PlannedChange[]
  compares: Compare[]
  /** Histories of the changed keys, by history key; they are updated in the same transaction. */
  histories: Map<string, KeyValueEntry | undefined>
}

/** A key whose value was changed by another write after the plan had read it. */
export interface ApplyConflict {
  key: string
  /** The current value; undefined when the key has been deleted or can't be parsed. */
  theirs: DeclaredValue<unknown> | undefined
  /** Differences from the current value to the one that was to be written. */
  differences: FieldDifference[]
}

/**
 * Outcome of an apply. `landed`: it took effect. `superseded`: it took effect and
 * a later write has replaced it. `unknown`: whether it took effect couldn't be
 * determined before the deadline; look the write id up in the history later.
 */
export type ApplyOutcome =
  | { outcome: 'unchanged' }
  | { outcome: 'landed' | 'superseded', writeId: WriteId, revision: number }
  | { outcome: 'conflict', conflicts: ApplyConflict[] }
  | { outcome: 'unknown', writeId: WriteId }

/** One write in the history of a key. */
export interface HistoryEntry {
  writeId: WriteId
  by: string
  atMs: number
  /** Revision of this write; undefined while it isn't known. */
  revision: number | undefined
  /** Revision of the value that this write replaced; 0 when the key was absent. */
  replacedRevision: number
  content: unknown
}
