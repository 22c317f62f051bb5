/** `npm run measure -- placement`: what callers get when many nodes place prompts with late knowledge of each other, with plots. */
import { mkdir, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { createPromptHasher } from '../../../src/core/routing/index.ts'
import { toSvg } from '../plot.ts'
import { largeFleetEngine } from './batch-engine.ts'
import { playPlacement } from './play.ts'
import type { TopLevelSpec } from 'vega-lite'
import type { PlacementResult } from './play.ts'

/** Sizes of a fleet; the load is relative to that of the users' largest one. */
const fleets = [
  { name: '9 nodes, 8 engines', nodes: 9, engines: 8, reportIntervalMs: 200, loadRatio: 0.145 },
  { name: '84 nodes, 42 engines', nodes: 84, engines: 42, reportIntervalMs: 200, loadRatio: 0.76 },
  { name: '195 nodes, 55 engines', nodes: 195, engines: 55, reportIntervalMs: 200, loadRatio: 1 }
] as const

const loads = [0.7, 1, 1.3] as const
const candidatePolicies = [{ name: 'few candidates', compareAllBackends: false }, { name: 'all compared', compareAllBackends: true }] as const

interface Row extends PlacementResult {
  fleet: string
  policy: string
  load: number
}

/** Options of the measurement. */
export interface PlacementMeasurement {
  seconds: number
  seed: number
}

/** Plays one fleet at one load with one policy. */
export async function playFleet (fleet: typeof fleets[number], load: number, compareAllBackends: boolean, { seconds, seed }: PlacementMeasurement): Promise<PlacementResult> {
  return await playPlacement({
    ...fleet,
    engine: largeFleetEngine,
    load: load * fleet.loadRatio,
    seconds,
    seed,
    hasher: await createPromptHasher(),
    slowEngines: { count: 0, factor: 1 },
    adapt: request => ({ ...request, compareAllBackends })
  })
}

/** The fleets that can be played, the largest one last. */
export const placementFleets = fleets

function chart (rows: readonly Row[]): TopLevelSpec {
  return {
    width: 420,
    height: 220,
    background: 'white',
    data: { values: rows.map(({ policy, load, inTimeRatio }) => ({ policy, load, inTimeRatio })) },
    mark: { type: 'line', point: true },
    encoding: {
      x: { field: 'load', type: 'quantitative', title: 'load (multiple of the usual one)' },
      y: { field: 'inTimeRatio', type: 'quantitative', title: 'first token in time', scale: { domain: [0, 1] } },
      color: { field: 'policy', type: 'nominal', title: 'candidates' }
    }
  }
}

const percent = (ratio: number): string => `${(ratio * 100).toFixed(1)} %`

function tableRow ({ fleet, policy, load, inTimeRatio, lateRatio, refusedRatio, againRatio, busiestRatio }: Row): string {
  return `| ${[fleet, load.toFixed(1), policy, percent(inTimeRatio), percent(lateRatio), percent(refusedRatio), percent(againRatio), busiestRatio.toFixed(2)].join(' | ')} |`
}

/** Plays all fleets, loads and policies and writes the page, plots and figures into a folder; returns the table. */
export async function measurePlacement (folder: string, measurement: PlacementMeasurement): Promise<string> {
  await mkdir(folder, { recursive: true })
  const heads = ['| fleet | load | candidates | in time | late | refused | prefilled again | busiest engine / mean |', '|---|---|---|---|---|---|---|---|']
  const rows: Row[] = []
  const page = ['# Placement of prompts', '', `Made by \`npm run measure -- placement --seed ${measurement.seed} --seconds ${measurement.seconds}\`.`, '']
  for (const [index, fleet] of fleets.entries()) {
    const fleetRows: Row[] = []
    for (const load of loads) {
      for (const { name, compareAllBackends } of candidatePolicies) {
        fleetRows.push({ fleet: fleet.name, policy: name, load, ...await playFleet(fleet, load, compareAllBackends, measurement) })
      }
    }
    const file = `placement-${index + 1}.svg`
    await writeFile(join(folder, file), await toSvg(chart(fleetRows)))
    page.push(`## ${fleet.name}`, '', ...heads, ...fleetRows.map(tableRow), '', `![${fleet.name}](${file})`, '')
    rows.push(...fleetRows)
  }
  await writeFile(join(folder, 'placement.md'), page.join('\n'))
  await writeFile(join(folder, 'placement.jsonl'), rows.map(row => JSON.stringify(row)).join('\n') + '\n')
  return [...heads, ...rows.map(tableRow)].join('\n')
}
