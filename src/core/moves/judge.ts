/** Judges a version by counts that come in: one sequential test for each route and kind of badness. */
import { createSequentialTest, logBoundFor } from './sequential-test.ts'
import type { NodeId } from '../ids/index.ts'
import type { CountsOfShare } from './counts.ts'
import type { SequentialTest } from './sequential-test.ts'
import type { BadnessEvidence, EvidenceCounts } from './types.ts'

const kindsOfBadness = 3
/** Epochs at which badness may begin, over the time of a move. */
const epochsOfMove = 128

/** Options of a judge. */
export interface JudgeOptions {
  node: NodeId
  /** Judges of the same move at all nodes; the rate of false alarms is shared between them. */
  judges: number
  routes: number
  /** Wall time of the first traffic and of the deadline. */
  trafficAtMs: number
  deadlineAtMs: number
}

/** A judge of one version. */
export interface Judge {
  /** Takes counts in; returns the evidence once it suffices. */
  add: (delta: CountsOfShare, nowMs: number) => BadnessEvidence | undefined
  /** Attempts of the new version and of both, by route. */
  seen: (route: string) => { newTotal: number, total: number }
}

interface Tested extends EvidenceCounts {
  test: SequentialTest
  epoch: number
}

/** A judge that has seen nothing. */
export function createJudge (options: JudgeOptions): Judge {
  const { node, trafficAtMs, deadlineAtMs } = options
  const logBound = logBoundFor(options.judges * Math.max(1, options.routes) * kindsOfBadness)
  const tested = new Map<string, Tested>()

  function testedOf (key: string): Tested {
    const known = tested.get(key)
    if (known !== undefined) return known
    const made = { test: createSequentialTest(), epoch: 0, newBad: 0, oldBad: 0, newTotal: 0, oldTotal: 0 }
    tested.set(key, made)
    return made
  }

  function epochAt (nowMs: number): number {
    return Math.floor((nowMs - trafficAtMs) / Math.max(1, deadlineAtMs - trafficAtMs) * epochsOfMove)
  }

  function add (delta: CountsOfShare, nowMs: number): BadnessEvidence | undefined {
    const { route, kind, share } = delta
    const current = testedOf(`${kind}/${route}`)
    for (; current.epoch < epochAt(nowMs); current.epoch += 1) current.test.beginEpoch()
    current.newBad += delta.newBad
    current.oldBad += delta.oldBad
    current.newTotal += delta.newTotal
    current.oldTotal += delta.oldTotal
    current.test.add(delta.newBad, delta.oldBad, share)
    if (current.test.logStatistic() < logBound) return undefined
    const { newBad, oldBad, newTotal, oldTotal } = current
    return { route, kind, node, atMs: nowMs, newBad, oldBad, newTotal, oldTotal }
  }

  return {
    add,
    seen: route => {
      const { newTotal, oldTotal } = testedOf(`failing/${route}`)
      return { newTotal, total: newTotal + oldTotal }
    }
  }
}
