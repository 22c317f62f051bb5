/** `npm run measure -- crashing-requests`: how many servers one request crashes until all nodes refuse it, and what that costs sound requests; with a plot. */
import { mkdir, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { facetChart } from '../facet-chart.ts'
import { toSvg } from '../plot.ts'
import { playCrashingRequests } from './play.ts'
import type { PolicyName } from './policies.ts'
import type { CrashResult, CrashScenario, Trouble } from './play.ts'

type Case = Pick<CrashScenario, 'nodes' | 'servers' | 'crashingPerSecond' | 'isAtOneNode' | 'soundInProgress' | 'trouble'>

interface Row {
  played: Case
  policy: PolicyName
  results: CrashResult[]
}

const nodeCounts = [9, 84, 195]
const rarePerSecond = 1 / 90
const ratesPerSecond = [rarePerSecond, 1, 20, 300]
const troubles: Trouble[] = ['domain-crash', 'resets', 'roll-out', 'hot-request', 'eager-callers']
const forMs = 20_000
/** Long enough for four repeats of a rare request. */
const rareForMs = 400_000
const seedCount = 2
const maxSoundInProgress = 80

/** Numbers of servers and sound requests at all rates, then troubles in the middle of both. Many sound requests on many servers take too long to play. */
function casesOf (nodes: number): Case[] {
  const calm = [3, 8, 24].flatMap(servers => [0, 2, 24].filter(soundInProgress => soundInProgress * servers <= maxSoundInProgress).flatMap(soundInProgress => ratesPerSecond.filter(rate => rate !== rarePerSecond || soundInProgress === 0).map(crashingPerSecond => ({
    nodes, servers, soundInProgress, crashingPerSecond, isAtOneNode: false, trouble: 'none' as const
  }))))
  const middle = { nodes, servers: 8, soundInProgress: 2 }
  const atOneNode = [1, 20, 300].map(crashingPerSecond => ({ ...middle, crashingPerSecond, isAtOneNode: true, trouble: 'none' as const }))
  const troubled = troubles.flatMap(trouble => [1, 20].map(crashingPerSecond => ({ ...middle, crashingPerSecond, isAtOneNode: false, trouble })))
  return [...calm, ...atOneNode, ...troubled]
}

/** The policies of a case; those without a quarantine in few cases. */
function policiesOf ({ servers, soundInProgress, isAtOneNode }: Case): PolicyName[] {
  return servers === 8 && soundInProgress === 2 && !isAtOneNode ? ['quarantine', 'none', 'count-to-three'] : ['quarantine']
}

function rateText (perSecond: number): string {
  return perSecond === rarePerSecond ? 'one in 90 s' : String(perSecond)
}

function tableRow ({ played, policy, results }: Row): string {
  const refusedMs = results.flatMap(({ refusedByAllAfterMs }) => refusedByAllAfterMs ?? [])
  const answered = results.map(({ soundAnsweredRatio }) => soundAnsweredRatio).filter(ratio => !Number.isNaN(ratio))
  const cells = [
    played.nodes, played.servers, `${rateText(played.crashingPerSecond)}${played.isAtOneNode ? ' at one node' : ''}`, played.soundInProgress, played.trouble, policy,
    results.map(({ crashes }) => crashes).join(' '),
    results.map(({ lateAttempts }) => lateAttempts).join(' '),
    refusedMs.length < results.length ? `${refusedMs.length} of ${results.length}` : `${(Math.max(...refusedMs) / 1_000).toFixed(1)} s`,
    results.reduce((sum, { soundQuarantined }) => sum + soundQuarantined, 0),
    results.map(({ soundRefused }) => soundRefused).join(' '),
    answered.length === 0 ? '-' : Math.min(...answered).toFixed(3),
    results.map(({ downMs }) => (downMs / 1_000).toFixed(1)).join(' ')
  ]
  return `| ${cells.join(' | ')} |`
}

function chart (rows: readonly Row[]) {
  const shown = rows.filter(({ played }) => played.servers === 8 && played.soundInProgress === 2 && played.trouble === 'none' && !played.isAtOneNode)
  const values = shown.map(({ played, policy, results }) => ({
    nodes: `${played.nodes} nodes`, rate: played.crashingPerSecond, crashes: results.reduce((sum, { crashes }) => sum + crashes, 0) / results.length, policy
  }))
  return facetChart(values, {
    facets: nodeCounts.map(nodes => `${nodes} nodes`),
    x: { field: 'rate', title: 'repeats a second' },
    y: { field: 'crashes', title: `crashes in ${(forMs / 1_000) - 2} s` }
  })
}

/** Plays all cases and writes the page and the plot into a folder; returns the table. */
export async function measureCrashingRequests (folder: string, firstSeed: number): Promise<string> {
  await mkdir(folder, { recursive: true })
  const rows: Row[] = []
  for (const played of nodeCounts.flatMap(casesOf)) {
    for (const policy of policiesOf(played)) {
      const results: CrashResult[] = []
      for (let seed = firstSeed; seed < firstSeed + seedCount; seed += 1) {
        results.push(await playCrashingRequests({ ...played, policy, forMs: played.crashingPerSecond === rarePerSecond ? rareForMs : forMs, seed }))
      }
      rows.push({ played, policy, results })
      console.error(tableRow(rows.at(-1)!))
    }
  }
  const file = 'crashing-requests.svg'
  await writeFile(join(folder, file), await toSvg(chart(rows)))
  const table = [
    '| nodes | servers | repeats a second | sound in progress on a server | beside it | policy | crashes by seed | attempts later than 3 s after the third | refused by all nodes after the first | sound requests quarantined | sound attempts refused | sound answered | seconds without a server |',
    '|---|---|---|---|---|---|---|---|---|---|---|---|---|',
    ...rows.map(tableRow)
  ].join('\n')
  await writeFile(join(folder, 'crashing-requests.md'), ['# Requests that crash the servers of a plain service', '', `Made by \`npm run measure -- crashing-requests --seed ${firstSeed}\`.`, '', `![crashes by rate](${file})`, '', table, ''].join('\n'))
  return table
}
