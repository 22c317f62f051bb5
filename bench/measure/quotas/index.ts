/** `npm run measure -- quotas`: what a team gets of its quota while nodes restart, lose power or are cut off, with plots. */
import { mkdir, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { toSvg } from '../plot.ts'
import { quotaCases } from './cases.ts'
import { allowedTokens, limit, playCluster } from './play.ts'
import type { TopLevelSpec } from 'vega-lite'
import type { ClusterResult } from './play.ts'

const nodeCount = 9
const seedCount = 6
const tokensPerRequest = 50
const secondMs = 1_000

interface Row {
  name: string
  results: ClusterResult[]
}

function tokensBySecond (requests: ClusterResult['admitted']): number[] {
  const bySecond: number[] = []
  for (const { atMs, tokens } of requests) {
    const second = Math.floor(atMs / secondMs)
    bySecond[second] = (bySecond[second] ?? 0) + tokens
  }
  return Array.from(bySecond, tokens => tokens ?? 0)
}

function chart ({ admitted, refused }: ClusterResult): TopLevelSpec {
  const toValues = (line: string, requests: ClusterResult['admitted']) => tokensBySecond(requests).map((tokens, second) => ({ line, second, tokens }))
  return {
    width: 480,
    height: 200,
    background: 'white',
    data: { values: [...toValues('admitted', admitted), ...toValues('refused', refused)] },
    mark: { type: 'line', interpolate: 'step-after' },
    encoding: {
      x: { field: 'second', type: 'quantitative', title: 'time (s)' },
      y: { field: 'tokens', type: 'quantitative', title: `tokens a second, quota ${limit.perSecond}` },
      color: { field: 'line', type: 'nominal', title: 'requests' }
    }
  }
}

function sumOf (requests: ClusterResult['admitted']): number {
  return requests.reduce((sum, { tokens }) => sum + tokens, 0)
}

function tableRow ({ name, results }: Row): string {
  const largest = Math.max(...results.map(({ largestWindow }) => largestWindow))
  const refusedRatios = results.map(({ admitted, refused }) => sumOf(refused) / Math.max(1, sumOf(admitted) + sumOf(refused)))
  return `| ${[name.trim(), largest, allowedTokens(), `${(Math.max(...refusedRatios) * 100).toFixed(2)} %`].join(' | ')} |`
}

/** Plays all cases with several seeds and writes the page and a plot a case into a folder; returns the table. */
export async function measureQuotas (folder: string, firstSeed: number): Promise<string> {
  await mkdir(folder, { recursive: true })
  const rows: Row[] = []
  const page = ['# Quotas over restarts, losses of power and cuts', '', 'Made by `npm run measure -- quotas`.', '']
  for (const [index, { name, events, ...load }] of quotaCases.entries()) {
    const results: ClusterResult[] = []
    for (let seed = firstSeed; seed < firstSeed + seedCount; seed += 1) {
      results.push(await playCluster({ ...load, nodeCount, tokensPerRequest, events: events(nodeCount), seed }))
    }
    rows.push({ name, results })
    const file = `quotas-${index + 1}.svg`
    await writeFile(join(folder, file), await toSvg(chart(results[0] as ClusterResult)))
    page.push(`## ${name.trim()}`, '', `![${name.trim()}](${file})`, '')
  }
  const table = ['| case | largest window, tokens | allowed | largest part refused |', '|---|---|---|---|', ...rows.map(tableRow)].join('\n')
  await writeFile(join(folder, 'quotas.md'), [...page, table, ''].join('\n'))
  return table
}
