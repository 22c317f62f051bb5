/** Seeded pseudo-random numbers, so that a run can be repeated from its seed. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** The first numbers of adjacent seeds are similar and are skipped. */
const skippedDraws = 20

/** Returns uniformly distributed numbers from 0 (inclusive) to 1 (exclusive). */
export type Random = () => number

/** Creates a generator; `seed` is an integer. */
export function createRandom (seed: number): Random {
  const generator = xoroshiro128plus(seed)
  for (let skipped = 0; skipped < skippedDraws; skipped += 1) uniformFloat64(generator)
  return () => uniformFloat64(generator)
}
