/** `npm run measure -- planned-stops`: what callers get while entry nodes stop, by what these take and what their Retry-After says; with a plot. */
import { mkdir, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { toSvg } from '../plot.ts'
import { playPlannedStops } from './play.ts'
import { builtGate, gatePolicies, retryPolicies } from './policies.ts'
import { sumOf } from './tally.ts'
import type { TopLevelSpec } from 'vega-lite'
import type { StopCase } from './cases.ts'
import type { GatePolicy, RetryPolicy } from './policies.ts'
import type { Tally } from './tally.ts'

interface Variation {
  hasPaceChanges: boolean
  gatePolicy: GatePolicy
  retryPolicy: RetryPolicy
}

interface FleetCase {
  nodes: string
  nodeCountOf: (seed: number) => number
  seedCount: number
  variations: readonly Variation[]
}

interface Row {
  nodes: string
  stopCase: StopCase
  hasPaceChanges: boolean
  gatePolicy: string
  retryPolicy: string
  tally: Tally
}

const stopCases: readonly StopCase[] = ['one stop', 'series', 'rolls']
/** The smallest number of nodes that has two in each of three domains. */
const minThreeDomainNodes = 6
const smallestFleet = 3
const largestFleet = 9
const largeFleetRetries = new Set(['0.1 s', 'domain or rotation'])

function variationsOf (gates: readonly GatePolicy[], retries: readonly RetryPolicy[], hasPaceChanges: boolean): Variation[] {
  return gates.flatMap(gatePolicy => retries.map(retryPolicy => ({ hasPaceChanges, gatePolicy, retryPolicy })))
}

const builtGates = gatePolicies.filter(({ name }) => name === builtGate)
const [shortRetry, ...otherRetries] = retryPolicies

const fleets: readonly FleetCase[] = [
  {
    nodes: `${smallestFleet} to ${largestFleet}`,
    nodeCountOf: seed => smallestFleet + seed % (largestFleet - smallestFleet + 1),
    seedCount: 14,
    variations: [
      ...variationsOf(gatePolicies, [shortRetry], false),
      ...variationsOf(gatePolicies, [shortRetry], true),
      ...variationsOf(builtGates, otherRetries, true)
    ]
  },
  {
    nodes: '48',
    nodeCountOf: () => 48,
    seedCount: 3,
    variations: [
      ...variationsOf(gatePolicies.filter(({ name }) => name === 'estimate'), [shortRetry], true),
      ...variationsOf(builtGates, retryPolicies.filter(({ name }) => largeFleetRetries.has(name)), true)
    ]
  }
]

function playFleet ({ nodes, nodeCountOf, seedCount, variations }: FleetCase, firstSeed: number, onRow: (row: Row) => void): void {
  for (const stopCase of stopCases) {
    for (const { hasPaceChanges, gatePolicy, retryPolicy } of variations) {
      const tally = sumOf(Array.from({ length: seedCount }, (_, index) => {
        const seed = firstSeed + index
        const nodeCount = nodeCountOf(seed)
        return playPlannedStops({ nodeCount, domainCount: nodeCount < minThreeDomainNodes ? 1 : 3, stopCase, hasPaceChanges, gatePolicy, retryPolicy, seed })
      }))
      onRow({ nodes, stopCase, hasPaceChanges, gatePolicy: gatePolicy.name, retryPolicy: retryPolicy.name, tally })
    }
  }
}

function meanOf (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)
}

const heads = [
  'nodes', 'case', 'pace changes', 'gate', 'Retry-After', 'requests', 'answers 503', 'refused', 'of these served in time', '503 as last try', 'of these impatient',
  'no connection as last try', 'streams cut, sent up to 3 s', 'later', 'lost streams', 'calls cut', 'past deadline', 'added wait, mean ms', '95 % ms'
]

function tableRow ({ nodes, stopCase, hasPaceChanges, gatePolicy, retryPolicy, tally }: Row): string {
  const { addedMs } = tally
  const cells = [
    nodes, stopCase, hasPaceChanges ? 'yes' : 'no', gatePolicy, retryPolicy, tally.requests, tally.answers503, tally.refused, tally.refusedServed, tally.unserved503, tally.unservedImpatient,
    tally.unreached, tally.cutEarly, tally.cutLate, tally.lostStreams, tally.cutCalls, tally.pastDeadline, meanOf(addedMs).toFixed(0), (addedMs[Math.floor(addedMs.length * 0.95)] ?? 0).toFixed(0)
  ]
  return `| ${cells.join(' | ')} |`
}

function chart (rows: readonly Row[]): TopLevelSpec {
  const values = rows.filter(({ nodes, hasPaceChanges }) => nodes === fleets[0]?.nodes && hasPaceChanges).flatMap(({ stopCase, gatePolicy, retryPolicy, tally }) => {
    const perThousand = (count: number): number => 1_000 * count / tally.requests
    const policy = `${gatePolicy}, ${retryPolicy}`
    return [
      { stopCase, policy, outcome: '503 as last try', perThousand: perThousand(tally.unserved503 + tally.unreached) },
      { stopCase, policy, outcome: 'stream cut, sent later than 3 s', perThousand: perThousand(tally.cutLate) },
      { stopCase, policy, outcome: 'stream cut, sent up to 3 s', perThousand: perThousand(tally.cutEarly) }
    ]
  })
  const order = gatePolicies.flatMap(gate => retryPolicies.map(retry => `${gate.name}, ${retry.name}`))
  return {
    background: 'white',
    data: { values },
    facet: { row: { field: 'stopCase', type: 'nominal', title: null, sort: [...stopCases] }, column: { field: 'outcome', type: 'nominal', title: null } },
    spec: {
      width: 180,
      height: { step: 14 },
      mark: 'bar',
      encoding: {
        x: { field: 'perThousand', type: 'quantitative', title: 'of 1,000 requests' },
        y: { field: 'policy', type: 'nominal', title: null, sort: order, axis: { labelLimit: 300 } }
      }
    },
    resolve: { scale: { x: 'independent' } }
  }
}

/** Plays all cases and writes the page and the plot into a folder; returns the table. */
export async function measurePlannedStops (folder: string, firstSeed: number): Promise<string> {
  await mkdir(folder, { recursive: true })
  const rows: Row[] = []
  for (const fleet of fleets) {
    playFleet(fleet, firstSeed, row => {
      rows.push(row)
      console.error(tableRow(row))
    })
  }
  const file = 'planned-stops.svg'
  await writeFile(join(folder, file), await toSvg(chart(rows)))
  const table = [`| ${heads.join(' | ')} |`, `|${'---|'.repeat(heads.length)}`, ...rows.map(tableRow)].join('\n')
  await writeFile(join(folder, 'planned-stops.md'), ['# Planned stops of entry nodes', '', `Made by \`npm run measure -- planned-stops --seed ${firstSeed}\`.`, '', `![requests that ended badly](${file})`, '', table, ''].join('\n'))
  return table
}
