/** The table that the demo prints at its end. */
import { build } from 'hdr-histogram-js'
import { renderMove } from '../../src/cli/moves/records.ts'
import { renderTable } from '../../src/cli/table.ts'
import type { MoveRecord } from '../../src/core/moves/index.ts'
import { sumByLabel } from './metrics-text.ts'
import type { CheckedPromise } from './promises.ts'
import type { CallOutcome, DraftOutcome } from './workload.ts'

/** What the report shows. */
export interface DemoResults {
  drafts: readonly DraftOutcome[]
  calls: readonly CallOutcome[]
  /** Metrics of all nodes, also of those that have ended. */
  metrics: readonly string[]
  costMilliEuro: number
  promises: readonly CheckedPromise[]
  move: MoveRecord | undefined
}

const maxBrokenShown = 5

function quantiles (valuesMs: readonly number[]): string[] {
  if (valuesMs.length === 0) return ['-', '-', '-']
  const histogram = build({ numberOfSignificantValueDigits: 3 })
  for (const valueMs of valuesMs) histogram.recordValue(Math.max(1, Math.round(valueMs)))
  return [50, 95, 99].map(percentile => `${histogram.getValueAtPercentile(percentile)} ms`)
}

function section (title: string, text: string): string {
  return `${title}\n${text}\n`
}

function counts (texts: readonly string[], counter: string, label: string): string {
  const rows = [...sumByLabel(texts, counter, label)].sort(([, a], [, b]) => b - a).map(([name, count]) => [name, String(count)])
  return rows.length === 0 ? 'none' : renderTable([label, 'count'], rows)
}

function requestTable ({ drafts, calls }: DemoResults): string {
  const answeredDrafts = drafts.filter(({ summary }) => summary !== undefined)
  const answeredCalls = calls.filter(({ answer }) => answer !== undefined)
  const refusedDrafts = drafts.filter(({ error }) => error?.params.run === 'not-run')
  const refusedCalls = calls.filter(({ error }) => error?.params.run === 'not-run')
  return renderTable(['', 'sent', 'accepted', 'answered once', 'began anew'], [
    ['drafts', drafts.length, drafts.length - refusedDrafts.length, answeredDrafts.length, answeredDrafts.filter(({ restarts }) => restarts > 0).length],
    ['registrations', calls.length, calls.length - refusedCalls.length, answeredCalls.length, '-']
  ].map(row => row.map(String)))
}

function latencyTable ({ drafts, calls }: DemoResults): string {
  const answered = drafts.filter(({ summary }) => summary !== undefined)
  const firstTokens = answered.flatMap(({ firstTokenMs }) => firstTokenMs ?? [])
  return renderTable(['', 'p50', 'p95', 'p99'], [
    ['first token', ...quantiles(firstTokens)],
    ['whole draft', ...quantiles(answered.map(({ totalMs }) => totalMs))],
    ['registration', ...quantiles(calls.filter(({ answer }) => answer !== undefined).map(({ totalMs }) => totalMs))]
  ])
}

function promiseTable (promises: readonly CheckedPromise[]): string {
  const rows = promises.map(({ promise, checked, broken }) => [broken.length === 0 ? 'held' : 'BROKEN', promise, String(checked), String(broken.length)])
  const details = promises.flatMap(({ promise, broken }) => broken.slice(0, maxBrokenShown).map(text => `  ${promise}: ${text}`))
  return [renderTable(['', 'promise', 'checked', 'broken'], rows), ...details].join('\n')
}

/** Renders the results for people. */
export function renderReport (results: DemoResults): string {
  const { metrics, costMilliEuro, drafts, move } = results
  const finished = drafts.filter(({ summary }) => summary !== undefined)
  const cost = costMilliEuro / 1000
  const tokens = finished.reduce((sum, { summary }) => sum + (summary?.events ?? 0), 0)
  return [
    section('Requests', requestTable(results)),
    section('Latency, as the callers saw it', latencyTable(results)),
    section('Refused by reason, all nodes', counts(metrics, 'refused_total', 'reason')),
    section('Retried by reason, all nodes', counts(metrics, 'retried_total', 'reason')),
    section('Tokens recomputed by cause, all nodes', counts(metrics, 'recomputed_tokens_total', 'cause')),
    section('Cost of the instances', `${cost.toFixed(4)} euro for ${finished.length} drafts with ${tokens} tokens and the registrations`),
    section('Version move', move === undefined ? 'no node began it' : renderMove(move)),
    section('Promises', promiseTable(results.promises))
  ].join('\n')
}
