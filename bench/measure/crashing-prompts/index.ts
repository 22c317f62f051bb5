/** `npm run measure -- crashing-prompts`: how many engines a part of a prompt crashes until all nodes refuse it, and what that costs sound requests; with a plot. */
import { mkdir, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { facetChart } from '../facet-chart.ts'
import { toSvg } from '../plot.ts'
import { playCrashingPrompts } from './play.ts'
import type { TopLevelSpec } from 'vega-lite'
import type { CrashResult, Fleet, Trouble } from './play.ts'

const fleets: Fleet[] = [
  { nodes: 9, engines: 8, soundPerSecond: 50 },
  { nodes: 84, engines: 24, soundPerSecond: 200 },
  { nodes: 195, engines: 55, soundPerSecond: 400 }
]
const ratesPerSecond = [1, 20, 300]
const troubles: Trouble[] = ['none', 'domain-crash', 'resets', 'roll-out']
const forMs = 25_000
const seedCount = 3

interface Row {
  nodes: number
  ratePerSecond: number
  trouble: Trouble
  usesQuarantine: boolean
  results: CrashResult[]
}

function medianOf (values: readonly number[]): number {
  return values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)] ?? NaN
}

function ratioText (ratios: readonly number[]): string {
  const known = ratios.filter(ratio => !Number.isNaN(ratio))
  return known.length === 0 ? '-' : Math.min(...known).toFixed(2)
}

function tableRow ({ nodes, ratePerSecond, trouble, usesQuarantine, results }: Row): string {
  const refusedMs = results.flatMap(({ refusedByAllAfterMs }) => refusedByAllAfterMs ?? [])
  const cells = [
    nodes, ratePerSecond, trouble, usesQuarantine ? 'yes' : 'no',
    results.map(({ crashes }) => crashes).join(' '),
    results.map(({ lateRequests }) => lateRequests).join(' '),
    refusedMs.length < results.length ? `${refusedMs.length} of ${results.length}` : `${(medianOf(refusedMs) / 1_000).toFixed(1)} s`,
    results.reduce((sum, { soundQuarantined }) => sum + soundQuarantined, 0),
    ratioText(results.map(({ soundAnsweredRatio }) => soundAnsweredRatio)),
    ratioText(results.map(({ soundAnsweredBeforeRatio }) => soundAnsweredBeforeRatio))
  ]
  return `| ${cells.join(' | ')} |`
}

function chart (rows: readonly Row[]): TopLevelSpec {
  const values = rows.filter(({ trouble }) => trouble === 'none').map(({ nodes, ratePerSecond, usesQuarantine, results }) => ({
    nodes: `${nodes} nodes`, rate: ratePerSecond, crashes: medianOf(results.map(({ crashes }) => crashes)), policy: usesQuarantine ? 'quarantine' : 'before'
  }))
  return facetChart(values, {
    facets: fleets.map(({ nodes }) => `${nodes} nodes`),
    x: { field: 'rate', title: 'requests with the part a second' },
    y: { field: 'crashes', title: `crashes in ${(forMs / 1_000) - 5} s` }
  })
}

/** Plays all cases and writes the page and the plot into a folder; returns the table. */
export async function measureCrashingPrompts (folder: string, firstSeed: number): Promise<string> {
  await mkdir(folder, { recursive: true })
  const rows: Row[] = []
  for (const fleet of fleets) {
    for (const crashingPerSecond of ratesPerSecond) {
      for (const [trouble, usesQuarantine] of [...troubles.map(name => [name, true] as const), ['none', false] as const]) {
        const results: CrashResult[] = []
        for (let seed = firstSeed; seed < firstSeed + seedCount; seed += 1) {
          results.push(await playCrashingPrompts({ ...fleet, crashingPerSecond, trouble, forMs, seed, usesQuarantine }))
        }
        rows.push({ nodes: fleet.nodes, ratePerSecond: crashingPerSecond, trouble, usesQuarantine, results })
        console.error(tableRow(rows.at(-1)!))
      }
    }
  }
  const file = 'crashing-prompts.svg'
  await writeFile(join(folder, file), await toSvg(chart(rows)))
  const table = [
    '| nodes | requests with the part a second | beside it | quarantine | crashes by seed | requests later than 3 s after the fifth | refused by all nodes after the first | sound parts quarantined | sound, same first part, answered at first attempt | the same before |',
    '|---|---|---|---|---|---|---|---|---|---|',
    ...rows.map(tableRow)
  ].join('\n')
  await writeFile(join(folder, 'crashing-prompts.md'), ['# Prompts that crash engines', '', `Made by \`npm run measure -- crashing-prompts --seed ${firstSeed}\`.`, '', `![crashes by rate](${file})`, '', table, ''].join('\n'))
  return table
}
