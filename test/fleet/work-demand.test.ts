/** Guards against orders that a rising load outruns, because ordered backend servers serve only seconds later. */
import test from 'ava'
import { createManualClock } from '../../src/core/clock/index.ts'
import { createWorkDemand, squareRootStaffing } from '../../src/core/fleet/index.ts'
import { createRandom } from '../../src/core/random/index.ts'

const sampleIntervalMs = 250
const leadMs = 7_000
/** Headroom with which most requests meet their latency targets. */
const minHeadroom = 1.33

/** Plays the load and returns the estimates with and without a lead at each sample, beside the load at that time. */
async function play (busyAt: (ms: number) => number, forMs: number): Promise<Array<{ atMs: number, without: number, ahead: number }>> {
  const clock = createManualClock(0)
  const demand = createWorkDemand({ clock })
  const random = createRandom(3)
  const estimates: Array<{ atMs: number, without: number, ahead: number }> = []
  let workMs = 0
  for (let atMs = 0; atMs < forMs; atMs += sampleIntervalMs) {
    workMs += busyAt(atMs) * sampleIntervalMs * (0.8 + 0.4 * random())
    demand.record('boot', workMs)
    demand.sample()
    const without = demand.busyServers()
    if (without !== undefined) estimates.push({ atMs, without, ahead: demand.busyServers(leadMs) ?? 0 })
    await clock.advance(sampleIntervalMs)
  }
  return estimates
}

test('a load that rises steadily is covered at the time at which an order takes effect', async t => {
  const busyAt = (ms: number): number => 10 + ms / 1_000
  const estimates = (await play(busyAt, 20_000)).filter(({ atMs }) => atMs >= 9_000)
  for (const { atMs, ahead } of estimates) t.true(squareRootStaffing(ahead, minHeadroom) >= busyAt(atMs + leadMs), `at ${atMs} ms: ${ahead}`)
  const shortCount = estimates.filter(({ atMs, without }) => squareRootStaffing(without, minHeadroom) < busyAt(atMs + leadMs)).length
  t.true(shortCount > 0.9 * estimates.length, `without a forecast ${shortCount} of ${estimates.length} orders are too small`)
})

test('a steady or falling load, and a single jump, are not extrapolated far', async t => {
  const steady = await play(() => 10, 30_000)
  t.true(steady.every(({ ahead }) => ahead < 12.5), String(Math.max(...steady.map(({ ahead }) => ahead))))
  const falling = await play(ms => 20 - ms / 2_000, 20_000)
  t.true(falling.every(({ without, ahead }) => ahead <= 1.1 * without))
  const jump = await play(ms => ms < 10_000 ? 10 : 15, 30_000)
  t.true(jump.every(({ ahead }) => ahead <= 30))
  t.true(jump.filter(({ atMs }) => atMs > 20_000).every(({ ahead }) => ahead < 19))
})
