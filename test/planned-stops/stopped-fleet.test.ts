/** Entry nodes that are stopped one after another, in the model with the gate of the product. */
import test from 'ava'
import { createFleet } from '../../bench/measure/planned-stops/fleet.ts'
import { playPlannedStops } from '../../bench/measure/planned-stops/play.ts'
import { builtGate, gatePolicies, retryPolicies } from '../../bench/measure/planned-stops/policies.ts'
import { createRandom } from '../../src/core/random/index.ts'

/** Nodes of the domain that the balancer uses once those that are stopped have missed their checks. */
function poolAfterStops (nodeCount: number, domainCount: number, stopped: readonly number[]): number[] {
  let nowMs = 0
  const clock = { wallMs: () => nowMs, monotonicMs: () => nowMs, sleep: () => Promise.reject(new Error('unexpected')) }
  const fleet = createFleet({ random: createRandom(1), clock, nodeCount, domainCount, streamsCompleteAfterMs: 2_500 })
  for (const index of stopped) fleet.stop(fleet.nodes[index]!)
  for (; nowMs < 2_700; nowMs += 10) fleet.tick(() => {})
  return fleet.poolOf(0).map(({ index }) => index)
}

test('cuts no stream that was sent later than 3 s after SIGTERM while backend servers become slower and nodes stop in turn', t => {
  let cutByEstimate = 0
  for (const [seed, nodeCount] of [[7, 3], [29, 4], [35, 3]] as const) {
    const play = (name: string) => {
      const gatePolicy = gatePolicies.find(policy => policy.name === name)!
      return playPlannedStops({ nodeCount, domainCount: 1, stopCase: 'rolls', hasPaceChanges: true, gatePolicy, retryPolicy: retryPolicies[0], seed })
    }
    const [built, byEstimate] = [play(builtGate), play('estimate')]
    t.is(built.cutLate, 0, `seed ${seed}`)
    t.is(built.requests, byEstimate.requests)
    cutByEstimate += byEstimate.cutLate
  }
  t.true(cutByEstimate > 0, 'estimates are overtaken in these plays')
})

test('the balancer uses the ready nodes of a failure domain, all of it if fewer than half are ready, and other domains if none is', t => {
  t.deepEqual(poolAfterStops(6, 3, []), [0, 3])
  t.deepEqual(poolAfterStops(6, 3, [0]), [3])
  t.deepEqual(poolAfterStops(6, 3, [0, 3]), [1, 2, 4, 5])
  t.deepEqual(poolAfterStops(3, 1, [0, 1]), [0, 1, 2])
  t.deepEqual(poolAfterStops(3, 1, [0, 1, 2]), [0, 1, 2])
})
