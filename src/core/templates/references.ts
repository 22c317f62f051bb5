/** References to parameters in a template: a text `$name` stands for the parameter's value. */

/** The parameter that a value refers to, if it is a reference. */
export function referenceOf (value: unknown): string | undefined {
  return typeof value === 'string' && value.startsWith('$') ? value.slice(1) : undefined
}

/** One reference and the path it stands at. */
export interface Reference {
  path: Array<string | number>
  name: string
}

/** All references below a value. */
export function findReferences (value: unknown, path: Array<string | number> = []): Reference[] {
  const name = referenceOf(value)
  if (name !== undefined) return [{ path, name }]
  if (Array.isArray(value)) return value.flatMap((item, index) => findReferences(item, [...path, index]))
  if (typeof value !== 'object' || value === null) return []
  return Object.entries(value).flatMap(([key, item]) => findReferences(item, [...path, key]))
}

/**
 * Puts values in the place of references. A reference without a value leaves its
 * field out; a map of nothing but such references is left out whole.
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
