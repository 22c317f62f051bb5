/** Renders moves for people. */
import type { MoveRecord } from '../../core/moves/index.ts'
import { newShareOf } from '../../core/moves/index.ts'
import { renderTable } from '../table.ts'

function renderTime (atMs: number): string {
  return new Date(atMs).toISOString()
}

/** The word of a move: its end, or what it is at. */
export function wordOf (record: MoveRecord): string {
  return record.end?.word ?? (record.trafficAtMs === undefined ? 'loading' : 'running')
}

/** One line on a move, with the reason and the evidence of its end. */
export function renderMove (record: MoveRecord, nowMs: number): string {
  const { team, fromVersion, toVersion, end } = record
  const head = `${team}: ${fromVersion} to ${toVersion}: ${wordOf(record)}`
  if (end !== undefined) return `${head} at ${renderTime(end.atMs)} (${end.reason}). ${end.detail}`
  const share = Math.round(newShareOf(record, nowMs) * 1000) / 10
  return `${head}, ${share}% of new requests, deadline ${renderTime(record.deadlineAtMs)}`
}

/** All moves as a table. */
export function renderMoves (records: readonly MoveRecord[], nowMs: number): string {
  const rows = records.map(record => [
    record.team,
    record.fromVersion,
    record.toVersion,
    wordOf(record),
    `${Math.round(newShareOf(record, nowMs) * 1000) / 10}%`,
    renderTime(record.deadlineAtMs),
    record.end === undefined ? '-' : `${record.end.reason}: ${record.end.detail}`
  ])
  return renderTable(['team', 'from', 'to', 'word', 'share', 'deadline', 'reason'], rows)
}
