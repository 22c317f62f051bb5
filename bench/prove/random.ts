/** Seeded random numbers for schedules. */
import { createRandom as createDraws } from '../../src/core/random/index.ts'

/** Random numbers of one trial. */
export interface Random {
  /** A whole number from `from` to `to`, both included. */
  int: (from: number, to: number) => number
  /** Whether an event of the given probability happens. */
  chance: (probability: number) => boolean
  pick: <Item>(items: readonly Item[]) => Item
}

/** The same seed gives the same numbers. */
export function createRandom (seed: number): Random {
  const draw = createDraws(seed)
  const int = (from: number, to: number): number => from + Math.floor(draw() * (to - from + 1))
  return {
    int,
    chance: probability => draw() < probability,
    pick: items => items[int(0, items.length - 1)]!
  }
}
