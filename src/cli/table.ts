/** Renders plain-text tables. */

/** Renders a table with a header row. Each column is as wide as its widest cell; a missing cell is empty. */
export function renderTable (header: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
  const allRows = [header, ...rows]
  const widths = header.map((_, column) => Math.max(...allRows.map(row => (row[column] ?? '').length)))
  const renderRow = (row: readonly string[]): string => row.map((text, column) => text.padEnd(widths[column] ?? 0)).join('  ').trimEnd()
  return [renderRow(header), widths.map(width => '-'.repeat(width)).join('  '), ...rows.map(renderRow)].join('\n')
}
