/** The report page: verdicts, a table of the trials and plots as SVG. */
import { mkdir, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import type { TopLevelSpec } from 'vega-lite'
import type { Comparison, Verdict } from './compare.ts'
import { target } from './node.ts'
import { toSvg } from './plot.ts'

type TrialLine = Comparison['trials'][number]

function lineChart (values: readonly TrialLine[], field: string, title: string, bound: number | undefined): TopLevelSpec {
  const rows = values.map(trial => ({ ...trial, firstTokenP95Ms: trial.firstTokenMs.p95, betweenTokensP95Ms: trial.betweenTokensMs.p95 }))
  const lines = {
    data: { values: rows },
    mark: { type: 'line' as const, point: true },
    encoding: {
      x: { field: 'load', type: 'quantitative' as const, title: 'load (multiple of the base rate)' },
      y: { field, type: 'quantitative' as const, title, scale: { type: 'log' as const } },
      color: { field: 'policy', type: 'nominal' as const, title: 'version' }
    }
  }
  const rule = { data: { values: [{ bound }] }, mark: { type: 'rule' as const, strokeDash: [4, 4] }, encoding: { y: { field: 'bound', type: 'quantitative' as const } } }
  return { width: 420, height: 240, background: 'white', layer: bound === undefined ? [lines] : [lines, rule] }
}

const charts: ReadonlyArray<{ name: string, field: string, title: string, bound?: number }> = [
  { name: 'first-token', field: 'firstTokenP95Ms', title: 'first token, p95 (ms)', bound: target.firstTokenMs },
  { name: 'between-tokens', field: 'betweenTokensP95Ms', title: 'between tokens, p95 (ms)', bound: target.betweenTokensMs },
  { name: 'cost', field: 'milliEuroPerRequest', title: 'thousandths of a euro per request in target' },
  { name: 'recomputed', field: 'recomputedTokens', title: 'tokens recomputed' }
]

function figure (value: number | undefined): string {
  return value === undefined ? 'none' : Number(value.toPrecision(3)).toString()
}

function verdictRow (verdict: Verdict): string {
  const cells = [verdict.workload, verdict.name, verdict.target, figure(verdict.naive), figure(verdict.current), figure(verdict.ratio), verdict.met ? 'met' : 'missed']
  return `| ${cells.join(' | ')} |`
}

function trialRow (trial: TrialLine): string {
  const quantilesOf = ({ p50, p95, p99 }: { p50: number, p95: number, p99: number }): string => [p50, p95, p99].map(figure).join(' / ')
  const cells = [
    trial.kind, trial.policy, figure(trial.load), trial.offered, trial.finished, trial.inTarget,
    quantilesOf(trial.firstTokenMs), quantilesOf(trial.betweenTokensMs), trial.recomputedTokens,
    figure(trial.fairness), figure(trial.milliEuroPerRequest), JSON.stringify(trial.refused), JSON.stringify(trial.retried)
  ]
  return `| ${cells.join(' | ')} |`
}

const trialHeads = ['trial', 'version', 'load', 'offered', 'finished', 'in target', 'first token ms p50 / p95 / p99',
  'between tokens ms p50 / p95 / p99', 'tokens recomputed', 'fairness', 'cost', 'refused', 'retried']

function tableHead (heads: readonly string[]): string[] {
  return [`| ${heads.join(' | ')} |`, `|${heads.map(() => '---').join('|')}|`]
}

/** The verdicts as a Markdown table. */
export function verdictTable (comparisons: readonly Comparison[]): string {
  const heads = ['workload', 'measure', 'target', 'naive', 'current', 'ratio', 'verdict']
  return [...tableHead(heads), ...comparisons.flatMap(({ verdicts }) => verdicts.map(verdictRow))].join('\n')
}

/** Writes the lines, the page and its plots into a folder. */
export async function writeReport (folder: string, command: string, comparisons: readonly Comparison[]): Promise<void> {
  await mkdir(folder, { recursive: true })
  const lines = comparisons.flatMap(({ trials, verdicts }) => [...trials, ...verdicts]).map(line => JSON.stringify(line))
  await writeFile(join(folder, 'measure.jsonl'), lines.join('\n') + '\n')
  const page = ['# Current version and naive version', '', `Made by \`${command}\`.`, '', verdictTable(comparisons), '']
  for (const { workload, trials } of comparisons) {
    page.push(`## ${workload}`, '')
    const swept = trials.filter(({ kind }) => kind === 'sweep')
    for (const { name, field, title, bound } of charts) {
      const file = `measure-${workload}-${name}.svg`
      await writeFile(join(folder, file), await toSvg(lineChart(swept, field, title, bound)))
      page.push(`![${title}](${file})`, '')
    }
    page.push(...tableHead(trialHeads), ...trials.map(trialRow), '')
  }
  await writeFile(join(folder, 'measure.md'), page.join('\n'))
}
