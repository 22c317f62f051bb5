/** Engines that stream in batches: the more streams run, the slower each; their pace changes at drawn moments. */
import { between, exponential } from '../random-draws.ts'
import type { Random } from '../../../src/core/random/index.ts'

/** One engine. */
export interface Engine {
  basePaceMs: number
  openStreams: number
  /** Present factor on all times. */
  factor: number
}

/** A change of the pace of one engine or of all. */
interface PaceChange {
  atMs: number
  untilMs: number
  engine: number | undefined
  factor: number
}

/** The engines of a play. */
export interface Engines {
  /** The less loaded of two drawn ones. */
  pick: () => Engine
  /** Present time between two events of a stream. */
  paceMs: (engine: Engine) => number
  /** Sets the present factors. */
  tick: (nowMs: number) => void
}

const minPaceMs = 6
const maxPaceMs = 16
/** Streams that double the pause between events. */
const doublingStreams = 60
const minFactor = 0.5
const maxFactor = 5
const meanChangeEveryMs = 4_000
const minChangeMs = 500
const maxChangeMs = 8_000
const shareOfAllEngines = 0.5

function drawChanges (random: Random, engineCount: number, fromMs: number, untilMs: number): PaceChange[] {
  const changes: PaceChange[] = []
  for (let atMs = fromMs; atMs < untilMs; atMs += exponential(random, meanChangeEveryMs)) {
    changes.push({
      atMs,
      untilMs: atMs + between(random, minChangeMs, maxChangeMs),
      engine: random() < shareOfAllEngines ? undefined : between(random, 0, engineCount - 1),
      factor: minFactor + (maxFactor - minFactor) * random()
    })
  }
  return changes
}

/** Creates engines whose pace changes from `changesFromMs` on, if at all. */
export function createEngines (random: Random, { count, changesFromMs, untilMs }: { count: number, changesFromMs: number | undefined, untilMs: number }): Engines {
  const engines: Engine[] = Array.from({ length: count }, () => ({ basePaceMs: minPaceMs + (maxPaceMs - minPaceMs) * random(), openStreams: 0, factor: 1 }))
  const changes = changesFromMs === undefined ? [] : drawChanges(random, count, changesFromMs, untilMs)

  function draw (): Engine {
    return engines[between(random, 0, count - 1)] as Engine
  }

  return {
    pick: () => {
      const [one, other] = [draw(), draw()]
      return one.openStreams <= other.openStreams ? one : other
    },
    paceMs: engine => engine.basePaceMs * engine.factor * (1 + engine.openStreams / doublingStreams),
    tick: nowMs => {
      for (const [index, engine] of engines.entries()) {
        const present = changes.findLast(change => change.atMs <= nowMs && nowMs < change.untilMs && (change.engine ?? index) === index)
        engine.factor = present?.factor ?? 1
      }
    }
  }
}
