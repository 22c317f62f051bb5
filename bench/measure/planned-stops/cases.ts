/** The stops of a play. */
import type { Random } from '../../../src/core/random/index.ts'

export type StopCase = 'one stop' | 'series' | 'rolls'

/** A SIGTERM, which is left out if the node doesn't serve then. */
export interface StopSignal {
  atMs: number
  node: number
}

const firstStopAtMs = 5_000
const seriesUntilMs = 30_000
const maxRollsOfNodes = 9
const rollCount = 2
/** From the last signal of a roll to the first of the next. */
const betweenRollsMs = 11_000

function drawBetween (random: Random, min: number, max: number): number {
  return min + random() * (max - min)
}

/** Draws the signals of a case, in order of time. */
export function drawStopSignals (random: Random, stopCase: StopCase, nodeCount: number): StopSignal[] {
  const anyNode = (): number => Math.floor(random() * nodeCount)
  const signals: StopSignal[] = []
  if (stopCase === 'one stop') signals.push({ atMs: firstStopAtMs, node: anyNode() })
  if (stopCase === 'series') {
    for (let atMs = firstStopAtMs; atMs < seriesUntilMs; atMs += drawBetween(random, 1_500, 5_000)) signals.push({ atMs, node: anyNode() })
  }
  if (stopCase === 'rolls') {
    let atMs = firstStopAtMs
    for (let roll = 0; roll < (nodeCount > maxRollsOfNodes ? 1 : rollCount); roll += 1) {
      for (let node = 0; node < nodeCount; node += 1) {
        signals.push({ atMs, node })
        atMs += drawBetween(random, 700, 1_300)
      }
      atMs += betweenRollsMs
    }
  }
  return signals
}
