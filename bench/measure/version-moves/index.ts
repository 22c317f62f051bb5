/** `npm run measure -- version-moves`: what becomes of good and bad versions beside an old one that may be in trouble, at several loads. */
import { mkdir, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { createScenario, loads, oldVersionStates, versionCases } from './cases.ts'
import { maxShare, playMove, shareSlack } from './play.ts'
import type { OldVersionState, VersionCase } from './cases.ts'
import type { MoveResult, MoveScenario } from './play.ts'

interface Row {
  version: VersionCase
  state: OldVersionState
  requestsPerSecond: number
  results: MoveResult[]
  durationMs: number
}

const heads = ['| old version | new version | requests a second | completed | taken back | exposed requests, mean | allowed, mean | over the share | decided after (s), mean |', '|---|---|---|---|---|---|---|---|---|']

function isCompleted ({ states }: MoveResult): boolean {
  return states.includes('done')
}

function allowedRequests ({ total }: MoveResult): number {
  return maxShare * total + shareSlack
}

function isOverShare (result: MoveResult): boolean {
  return !isCompleted(result) && result.canaryRequests > allowedRequests(result)
}

function meanOf (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)
}

function tableRow ({ version, state, requestsPerSecond, results, durationMs }: Row): string {
  const completed = results.filter(isCompleted).length
  return `| ${[
    state,
    version.name,
    requestsPerSecond,
    `${completed} of ${results.length}`,
    `${results.length - completed}`,
    meanOf(results.map(({ canaryRequests }) => canaryRequests)).toFixed(0),
    meanOf(results.map(allowedRequests)).toFixed(0),
    results.filter(isOverShare).length,
    (meanOf(results.map(({ endedAtRatio }) => endedAtRatio ?? 1)) * durationMs / 1_000).toFixed(1)
  ].join(' | ')} |`
}

async function playSeeds (scenario: MoveScenario, firstSeed: number, seeds: number): Promise<MoveResult[]> {
  const results: MoveResult[] = []
  for (let seed = firstSeed; seed < firstSeed + seeds; seed += 1) results.push(await playMove(seed, scenario))
  return results
}

/** Plays all combinations at the given loads, and writes the table into a folder; returns it. */
export async function measureVersionMoves (folder: string, firstSeed: number, requestRates: readonly number[]): Promise<string> {
  await mkdir(folder, { recursive: true })
  const rows: Row[] = []
  for (const { requestsPerSecond, seeds } of loads.filter(load => requestRates.length === 0 || requestRates.includes(load.requestsPerSecond))) {
    for (const state of oldVersionStates) {
      for (const version of versionCases) {
        const scenario = createScenario(version, state, requestsPerSecond)
        rows.push({ version, state, requestsPerSecond, durationMs: scenario.durationMs, results: await playSeeds(scenario, firstSeed, seeds) })
      }
    }
  }
  const table = [...heads, ...rows.map(tableRow)].join('\n')
  const name = ['version-moves', ...requestRates].join('-')
  await writeFile(join(folder, `${name}.md`), `# Version moves of services\n\nMade by \`npm run measure -- ${['version-moves', ...requestRates].join(' ')} --seed ${firstSeed}\`.\n\n${table}\n`)
  return table
}
