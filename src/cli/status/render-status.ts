/** Renders a node's status for people: fields as lines, lists of things as tables. */
import { renderTable } from '../table.ts'

type Row = Record<string, unknown>

function isRow (value: unknown): value is Row {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function cell (value: unknown): string {
  if (value === undefined || value === null) return '-'
  return typeof value === 'object' ? JSON.stringify(value) : String(value)
}

function renderRows (rows: readonly Row[]): string {
  const columns = [...new Set(rows.flatMap(row => Object.keys(row)))]
  return renderTable(columns, rows.map(row => columns.map(column => cell(row[column]))))
}

/** Renders a status of any shape, since nodes of another version may answer. */
export function renderStatus (status: unknown): string {
  if (!isRow(status)) return cell(status)
  const lines = Object.entries(status).map(([name, value]) => {
    if (Array.isArray(value) && value.length > 0 && value.every(isRow)) return `${name} (${value.length})\n${renderRows(value)}\n`
    return `${name}: ${cell(value)}`
  })
  return lines.join('\n')
}
