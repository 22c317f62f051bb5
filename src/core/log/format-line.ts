/** The format of a log line: JSON with the keys of all objects in alphabetical order. */

/** A copy of a value that JSON can represent, with sorted keys; `ancestors` are the objects that contain it. */
function sortKeys (value: unknown, ancestors: readonly object[]): unknown {
  if (typeof value === 'bigint') return value.toString()
  if (typeof value !== 'object' || value === null || 'toJSON' in value) return value
  if (ancestors.includes(value)) return '[Circular]'
  const path = [...ancestors, value]
  if (Array.isArray(value)) return value.map(item => sortKeys(item, path))
  return sortedCopy(value as Record<string, unknown>, path)
}

function sortedCopy (fields: Readonly<Record<string, unknown>>, path: readonly object[]): Record<string, unknown> {
  const copy: Record<string, unknown> = {}
  for (const key of Object.keys(fields).sort()) {
    const value = fields[key]
    copy[key] = typeof value === 'object' || typeof value === 'bigint' ? sortKeys(value, path) : value
  }
  return copy
}

/** Formats the fields of one line, with its line feed. */
export function formatLine (fields: Readonly<Record<string, unknown>>): string {
  return `${JSON.stringify(sortedCopy(fields, [fields]))}\n`
}
