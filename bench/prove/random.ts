/** Seeded random numbers for schedules. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

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
  const generator = xoroshiro128plus(seed)
  const int = (from: number, to: number): number => uniformInt(generator, from, to)
  return {
    int,
    chance: probability => uniformFloat64(generator) < probability,
    pick: items => items[int(0, items.length - 1)]!
  }
}
