/**
 * Plays the users' mix of prompts through nodes that learn of each other's load through
 * a collector. When all nodes compared all engines, they chose the same ones until the
 * next report, and with 195 nodes a quarter of the requests had their first token late.
 */
import test from 'ava'
import { placementFleets, playFleet } from '../../bench/measure/placement/index.ts'

const measurement = { seconds: 8, seed: 5 }

test('hundreds of nodes that compare few engines serve a usual load in time, and more of it than nodes that compare all', async t => {
  const fleet = placementFleets.at(-1)!
  const few = await playFleet(fleet, 1, false, measurement)
  const all = await playFleet(fleet, 1, true, measurement)
  t.log('in time with few candidates', few.inTimeRatio, 'by kind', few.inTimeByKind, 'with all', all.inTimeRatio)
  t.true(few.inTimeRatio > 0.9)
  t.true(Object.values(few.inTimeByKind).every(ratio => ratio > 0.9))
  t.true(few.inTimeRatio > all.inTimeRatio)
  t.true(few.refusedRatio < 0.02)
})

test('nine nodes with current reports serve their load in time while they compare all engines', async t => {
  const { inTimeRatio, refusedRatio } = await playFleet(placementFleets[0], 1, true, { ...measurement, seconds: 20 })
  t.true(inTimeRatio > 0.9, String(inTimeRatio))
  t.true(refusedRatio < 0.02, String(refusedRatio))
})
