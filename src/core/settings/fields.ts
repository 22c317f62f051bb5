/** Field paths of a YAML file, their names in messages, and problems at a field. */

/** Path of a field: keys and list indexes from the root. */
export type FieldPath = ReadonlyArray<string | number>

/** One problem of a file. Line and column start at 1. */
export interface FieldProblem {
  line: number
  column: number
  /** Name of the field, such as `peers.seeds[0].port`; empty for the whole file. */
  field: string
  /** What is wrong and what to write instead. */
  text: string
}

/** A parsed YAML file with the positions of its fields. */
export interface YamlDocument {
  /** The parsed value; undefined when the file isn't valid YAML. */
  value: unknown
  /** Syntax errors of the YAML. */
  problems: FieldProblem[]
  /** Position of a field's value, or of its key if `part` is `key`. */
  position: (path: FieldPath, part?: 'key' | 'value') => { line: number, column: number }
}

/** Formats a path for messages, such as `peers.seeds[0].port`. */
export function formatFieldPath (path: FieldPath): string {
  return path
    .map(part => typeof part === 'number' ? `[${part}]` : `.${part}`)
    .join('')
    .replace(/^\./, '')
}
