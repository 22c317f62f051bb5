/** Renders a node's status for people: fields as lines, lists of things as tables. */
import { renderTable } from '../table.ts'

type Row = Record<string, unknown>

function isRow (value: unknown): value is Row {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

/** Renders any value in one line, such as `inFlight 3, waiting 0`. */
function cell (value: unknown): string {
  if (value === undefined || value === null || value === '') return '-'
  if (typeof value === 'number') return String(Math.round(value * 1000) / 1000)
  if (Array.isArray(value)) return value.length === 0 ? '-' : value.map(cell).join('; ')
  if (!isRow(value)) return String(value)
  const fields = Object.entries(value).map(([name, inner]) => `${name} ${isRow(inner) ? `(${cell(inner)})` : cell(inner)}`)
  return fields.length === 0 ? '-' : fields.join(', ')
}

function renderRows (rows: readonly Row[]): string {
  const columns = [...new Set(rows.flatMap(row => Object.keys(row)))]
  return renderTable(columns, rows.map(row => columns.map(column => cell(row[column]))))
}

/** Lines of one field; the fields of a map stand below it, a list of maps is a table. */
function renderField (name: string, value: unknown): string[] {
  if (Array.isArray(value) && value.length > 0 && value.every(isRow)) return ['', `${name} (${value.length})`, renderRows(value)]
  if (!isRow(value)) return [`${name}: ${cell(value)}`]
  return [`${name}:`, ...Object.entries(value).map(([inner, part]) => `  ${inner}: ${cell(part)}`)]
}

/** Renders a status of any shape, since nodes of another version may answer. */
export function renderStatus (status: unknown): string {
  if (!isRow(status)) return cell(status)
  return Object.entries(status).flatMap(([name, value]) => renderField(name, value)).join('\n')
}
