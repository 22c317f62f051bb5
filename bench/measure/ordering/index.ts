/** `npm run measure -- ordering`: what each plan of counts costs and leaves without a server while the cloud reclaims, with plots. */
import { mkdir, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { planCounts } from '../../../src/core/fleet/index.ts'
import { toSvg } from '../plot.ts'
import { orderingCases, planOnDemand, planReclaimable } from './cases.ts'
import { playOrdering } from './play.ts'
import type { TopLevelSpec } from 'vega-lite'
import type { OrderingResult } from './play.ts'

const plans = [
  { name: 'current', plan: planCounts },
  { name: 'on-demand only', plan: planOnDemand },
  { name: 'reclaimable only', plan: planReclaimable }
] as const

interface Row extends OrderingResult {
  caseName: string
  planName: string
}

function chart (rows: readonly Row[]): TopLevelSpec {
  const values = rows.flatMap(({ planName, samples }) => samples.map(({ atSeconds, capacity }) => ({ line: planName, atSeconds, servers: capacity })))
  const busy = (rows[0]?.samples ?? []).map(sample => ({ line: 'busy', atSeconds: sample.atSeconds, servers: sample.busy }))
  return {
    width: 480,
    height: 200,
    background: 'white',
    data: { values: [...values, ...busy] },
    mark: { type: 'line', interpolate: 'step-after' },
    encoding: {
      x: { field: 'atSeconds', type: 'quantitative', title: 'time (s)' },
      y: { field: 'servers', type: 'quantitative', title: 'backend servers' },
      color: { field: 'line', type: 'nominal', title: 'plan' }
    }
  }
}

function tableRow ({ caseName, planName, shortageRatio, longestShortageSeconds, priceRatio }: Row): string {
  return `| ${[caseName, planName, `${(shortageRatio * 100).toFixed(2)} %`, longestShortageSeconds.toFixed(2), priceRatio.toFixed(2)].join(' | ')} |`
}

/** Plays all cases and writes the page, a plot a case and the figures into a folder; returns the table. */
export async function measureOrdering (folder: string): Promise<string> {
  await mkdir(folder, { recursive: true })
  const rows: Row[] = []
  const page = ['# Orders of backend servers under reclaims', '', 'Made by `npm run measure -- ordering`.', '']
  const heads = ['| case | plan | load without a server | longest (s) | price of busy on-demand servers |', '|---|---|---|---|---|']
  for (const [index, ordering] of orderingCases.entries()) {
    const results = await Promise.all(plans.map(async ({ name, plan }): Promise<Row> => ({ caseName: ordering.name, planName: name, ...await playOrdering(ordering, plan) })))
    rows.push(...results)
    const file = `ordering-${index + 1}.svg`
    await writeFile(join(folder, file), await toSvg(chart(results)))
    page.push(`## ${ordering.name}`, '', ...heads, ...results.map(tableRow), '', `![${ordering.name}](${file})`, '')
  }
  await writeFile(join(folder, 'ordering.md'), page.join('\n'))
  await writeFile(join(folder, 'ordering.jsonl'), rows.map(({ samples: _samples, ...row }) => JSON.stringify(row)).join('\n') + '\n')
  return [...heads, ...rows.map(tableRow)].join('\n')
}
