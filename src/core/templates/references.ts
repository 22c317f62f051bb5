/** References to parameters in a template: a string `$name` is replaced by the parameter's value. */

/** Returns the name of the parameter that a value refers to; undefined when it isn't a reference. */
export function referenceOf (value: unknown): string | undefined {
  return typeof value === 'string' && value.startsWith('$') ? value.slice(1) : undefined
}

/** One reference and its path in the template. */
export interface Reference {
  path: Array<string | number>
  name: string
}

/** Finds all references in a value, at any depth. */
export function findReferences (value: unknown, path: Array<string | number> = []): Reference[] {
  const name = referenceOf(value)
  if (name !== undefined) return [{ path, name }]
  if (Array.isArray(value)) return value.flatMap((item, index) => findReferences(item, [...path, index]))
  if (typeof value !== 'object' || value === null) return []
  return Object.entries(value).flatMap(([key, item]) => findReferences(item, [...path, key]))
}

/**
 * Replaces references by the parameters' values. A field whose reference has no
 * value is left out, and so is a map that contains no other fields.
 */
export function substitute (value: unknown, values: Map<string, unknown>): unknown {
  const name = referenceOf(value)
  if (name !== undefined) return values.get(name)
  if (Array.isArray(value)) return value.map(item => substitute(item, values))
  if (typeof value !== 'object' || value === null) return value
  const fields = Object.entries(value)
    .map(([key, item]) => [key, substitute(item, values)] as const)
    .filter(([, item]) => item !== undefined)
  return fields.length === 0 && Object.keys(value).length > 0 ? undefined : Object.fromEntries(fields)
}
