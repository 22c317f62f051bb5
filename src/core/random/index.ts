/** Seeded random draws, so that a run can be repeated from its seed. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** The first draws of neighbouring seeds resemble each other and are skipped. */
const skippedDraws = 20

/** Even draws from 0 (included) to 1 (excluded). */
export type Random = () => number

/** Creates the draws of a seed, a whole number. */
export function createRandom (seed: number): Random {
  const generator = xoroshiro128plus(seed)
  for (let skipped = 0; skipped < skippedDraws; skipped += 1) uniformFloat64(generator)
  return () => uniformFloat64(generator)
}
