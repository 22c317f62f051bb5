import test from 'ava'
import fc from 'fast-check'
import { createConcurrencyLimit, createRetryBudget } from '../../src/core/admission/index.ts'
import { createManualClock } from '../../src/core/clock/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import type { BackendId } from '../../src/core/ids/index.ts'

const backend = toId<BackendId>('backend-1')

/** Drives a limit against an engine whose latency passes the target beyond `capacity` requests. */
async function learn (capacity: number): Promise<number> {
  const clock = createManualClock()
  const limit = createConcurrencyLimit({ clock, initial: 4, min: 1, max: 256 })
  let sum = 0
  for (let step = 0; step < 4000; step += 1) {
    const inFlight = limit.current()
    const latencyMs = 900 * Math.max(0.5, inFlight / capacity)
    limit.record({ latencyMs, targetMs: 950, inFlight, overloaded: false })
    await clock.advance(50)
    if (step >= 2000) sum += inFlight
  }
  return sum / 2000
}

test('the limit settles near what the backend server takes within its target', async t => {
  for (const capacity of [8, 30]) {
    const settled = await learn(capacity)
    t.true(settled > capacity * 0.6 && settled <= capacity * 1.1, `capacity ${capacity}, settled at ${settled}`)
  }
})

test('a limit that is not in use does not grow', t => {
  const limit = createConcurrencyLimit({ clock: createManualClock(), initial: 8, min: 1, max: 256 })
  for (let step = 0; step < 1000; step += 1) limit.record({ latencyMs: 1, targetMs: 950, inFlight: 1, overloaded: false })
  t.is(limit.current(), 8)
})

test('a limit stays within its bounds whatever it measures', t => {
  fc.assert(fc.property(fc.array(fc.record({
    latencyMs: fc.double({ min: 0.01, max: 1e6, noNaN: true }),
    inFlight: fc.integer({ min: 1, max: 500 }),
    overloaded: fc.boolean()
  })), samples => {
    const limit = createConcurrencyLimit({ clock: createManualClock(), initial: 8, min: 2, max: 64 })
    return samples.every(sample => {
      limit.record({ ...sample, targetMs: 950 })
      return limit.current() >= 2 && limit.current() <= 64
    })
  }), { seed: 20261203 })
  t.pass()
})

test('retries stay a share of the requests when everything fails', t => {
  fc.assert(fc.property(fc.integer({ min: 100, max: 3000 }), fc.integer({ min: 1, max: 5 }), (requests, backends) => {
    const clock = createManualClock()
    const budget = createRetryBudget({ clock, share: 0.1, minPerSecond: 0.5 })
    let retries = 0
    for (let index = 0; index < requests; index += 1) {
      const target = toId<BackendId>(`backend-${index % backends}`)
      budget.deposit(target)
      for (let attempt = 0; attempt < 3; attempt += 1) if (budget.take(target, 'stream-broken')) retries += 1
    }
    return retries <= requests * 0.1 + 5
  }), { seed: 20261203 })
  t.pass()
})

test('a failing backend server can not spend what the others earn', t => {
  const budget = createRetryBudget({ clock: createManualClock(), share: 0.1, minPerSecond: 0.5 })
  for (let index = 0; index < 1000; index += 1) budget.deposit(toId<BackendId>(`backend-${index % 10}`))
  let taken = 0
  for (let index = 0; index < 1000; index += 1) if (budget.take(backend, 'connect-failed')) taken += 1
  t.true(taken <= 16)
  t.true(budget.take(toId<BackendId>('backend-2'), 'connect-failed'))
})

test('work that leaves a reclaimed backend server is never refused for the budget', t => {
  const budget = createRetryBudget({ clock: createManualClock(), share: 0, minPerSecond: 0 })
  for (let index = 0; index < 100; index += 1) t.true(budget.take(backend, 'backend-leaving'))
})
