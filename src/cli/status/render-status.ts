/** Renders a node's status as text: fields as lines, lists of objects as tables. */
import { renderTable } from '../table.ts'

type Fields = Record<string, unknown>

function isFields (value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

/** Renders any value on one line, such as `inFlight 3, waiting 0`. */
function renderInline (value: unknown): string {
  if (value === undefined || value === null || value === '') return '-'
  if (typeof value === 'number') return String(Math.round(value * 1000) / 1000)
  if (Array.isArray(value)) return value.length === 0 ? '-' : value.map(renderInline).join('; ')
  if (!isFields(value)) return String(value)
  const fields = Object.entries(value).map(([name, inner]) => `${name} ${isFields(inner) ? `(${renderInline(inner)})` : renderInline(inner)}`)
  return fields.length === 0 ? '-' : fields.join(', ')
}

function renderRows (rows: readonly Fields[]): string {
  const columns = [...new Set(rows.flatMap(row => Object.keys(row)))]
  return renderTable(columns, rows.map(row => columns.map(column => renderInline(row[column]))))
}

/** Renders one field: an object as indented lines, a list of objects as a table, anything else on one line. */
function renderField (name: string, value: unknown): string[] {
  if (Array.isArray(value) && value.length > 0 && value.every(isFields)) return ['', `${name} (${value.length})`, renderRows(value)]
  if (!isFields(value)) return [`${name}: ${renderInline(value)}`]
  return [`${name}:`, ...Object.entries(value).map(([fieldName, fieldValue]) => `  ${fieldName}: ${renderInline(fieldValue)}`)]
}

/** Renders a status of any shape, because the node may run another version. */
export function renderStatus (status: unknown): string {
  if (!isFields(status)) return renderInline(status)
  return Object.entries(status).flatMap(([name, value]) => renderField(name, value)).join('\n')
}
