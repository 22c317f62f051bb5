/** `npm run measure -- request-limits`: what limited backend servers get from many nodes, and how much of their limits is used; with a plot. */
import { mkdir, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { facetChart } from '../facet-chart.ts'
import { toSvg } from '../plot.ts'
import { createEqualShares } from './naive.ts'
import { playRequestLimits } from './play.ts'
import type { TopLevelSpec } from 'vega-lite'
import type { LimitResult, LimitTrouble } from './play.ts'

const fleets = [
  { nodes: 9, servers: 8, basePerSecond: 50 },
  { nodes: 84, servers: 24, basePerSecond: 200 },
  { nodes: 195, servers: 55, basePerSecond: 400 }
]
const limits = [0.2, 1, 10, 100]
const shares = { one: () => 1, third: (servers: number) => Math.ceil(servers / 3), all: (servers: number) => servers }
const troubles: LimitTrouble[] = ['none', 'restarts', 'cut', 'moving-limit', 'collector-death']
/** The demand leaves more for the limited servers than they take. */
const demandRatio = 1.5
const seedCount = 2

interface Row {
  nodes: number
  perSecond: number
  share: string
  trouble: LimitTrouble
  isNaive: boolean
  results: LimitResult[]
}

function meanOf (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

function tableRow ({ nodes, perSecond, share, trouble, isNaive, results }: Row): string {
  const cells = [
    nodes, perSecond, share, trouble, isNaive ? 'equal shares' : 'built',
    Math.max(...results.map(({ largestRatio }) => largestRatio)).toFixed(2),
    Math.max(...results.map(({ largestToldRatio }) => largestToldRatio)).toFixed(2),
    meanOf(results.map(({ use }) => use)).toFixed(2),
    meanOf(results.map(({ servedRatio }) => servedRatio)).toFixed(3)
  ]
  return `| ${cells.join(' | ')} |`
}

function chart (rows: readonly Row[]): TopLevelSpec {
  const values = rows.filter(({ share }) => share === 'third').map(({ nodes, perSecond, trouble, isNaive, results }) => ({
    nodes: `${nodes} nodes`, perSecond, ratio: Math.max(...results.map(({ largestRatio }) => largestRatio)), policy: isNaive ? 'equal shares' : trouble
  }))
  return facetChart(values, {
    facets: fleets.map(({ nodes }) => `${nodes} nodes`),
    x: { field: 'perSecond', title: 'limit, requests a second' },
    y: { field: 'ratio', title: 'largest window over what is allowed' }
  })
}

/** Plays all cases and writes the page and the plot into a folder; returns the table. */
export async function measureRequestLimits (folder: string, firstSeed: number): Promise<string> {
  await mkdir(folder, { recursive: true })
  const rows: Row[] = []
  for (const { nodes, servers, basePerSecond } of fleets) {
    for (const perSecond of limits) {
      for (const [share, countOf] of Object.entries(shares)) {
        const limited = countOf(servers)
        const demandPerSecond = basePerSecond + demandRatio * perSecond * limited
        for (const [trouble, isNaive] of [...troubles.map(name => [name, false] as const), ['none', true] as const]) {
          const results: LimitResult[] = []
          for (let seed = firstSeed; seed < firstSeed + seedCount; seed += 1) {
            results.push(await playRequestLimits({ nodes, servers, limited, perSecond, demandPerSecond, trouble, seed, ...(isNaive ? { createLimits: createEqualShares } : {}) }))
          }
          rows.push({ nodes, perSecond, share, trouble, isNaive, results })
          console.error(tableRow(rows.at(-1)!))
        }
      }
    }
  }
  const file = 'request-limits.svg'
  await writeFile(join(folder, file), await toSvg(chart(rows)))
  const table = [
    '| nodes | limit, 1/s | limited servers | beside it | policy | largest window / allowed, all nodes | the same, told nodes | use of the limits | requests served |',
    '|---|---|---|---|---|---|---|---|---|',
    ...rows.map(tableRow)
  ].join('\n')
  await writeFile(join(folder, 'request-limits.md'), ['# Request limits of backend servers', '', `Made by \`npm run measure -- request-limits --seed ${firstSeed}\`.`, '', `![largest windows](${file})`, '', table, ''].join('\n'))
  return table
}
