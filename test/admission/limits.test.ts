import test from 'ava'
import fc from 'fast-check'
import { createConcurrencyLimit, createRetryBudget } from '../../src/core/admission/index.ts'
import { createManualClock } from '../../src/core/clock/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import type { BackendId } from '../../src/core/ids/index.ts'

const backend = toId<BackendId>('backend-1')

/**
 * Runs a limit against a simulated engine whose latency exceeds the target shortly above `capacity`
 * concurrent requests; returns the average limit over the second half of the run.
 */
async function convergedLimit (capacity: number): Promise<number> {
  const clock = createManualClock()
  const limit = createConcurrencyLimit({ clock, initial: 4, min: 1, max: 256 })
  let sum = 0
  for (let sampleIndex = 0; sampleIndex < 4000; sampleIndex += 1) {
    const inFlight = limit.current()
    const latencyMs = 900 * Math.max(0.5, inFlight / capacity)
    limit.record({ latencyMs, targetMs: 950, inFlight, overloaded: false })
    await clock.advance(50)
    if (sampleIndex >= 2000) sum += inFlight
  }
  return sum / 2000
}

test('the limit converges near the capacity at which the backend server meets its latency target', async t => {
  for (const capacity of [8, 30]) {
    const converged = await convergedLimit(capacity)
    t.true(converged > capacity * 0.6 && converged <= capacity * 1.1, `capacity ${capacity}, converged at ${converged}`)
  }
})

test('a limit that is barely used does not grow', t => {
  const limit = createConcurrencyLimit({ clock: createManualClock(), initial: 8, min: 1, max: 256 })
  for (let sampleIndex = 0; sampleIndex < 1000; sampleIndex += 1) limit.record({ latencyMs: 1, targetMs: 950, inFlight: 1, overloaded: false })
  t.is(limit.current(), 8)
})

test('a limit stays within its bounds for any samples', t => {
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

test('retries stay within their ratio of the requests when every attempt fails', t => {
  fc.assert(fc.property(fc.integer({ min: 100, max: 3000 }), fc.integer({ min: 1, max: 5 }), (requests, backends) => {
    const clock = createManualClock()
    const budget = createRetryBudget({ clock, retryRatio: 0.1, minRetriesPerSecond: () => 0.5 })
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

test('a failing backend server can\'t use the retries that others deposit', t => {
  const budget = createRetryBudget({ clock: createManualClock(), retryRatio: 0.1, minRetriesPerSecond: () => 0.5 })
  for (let index = 0; index < 1000; index += 1) budget.deposit(toId<BackendId>(`backend-${index % 10}`))
  let retries = 0
  for (let index = 0; index < 1000; index += 1) if (budget.take(backend, 'connect-failed')) retries += 1
  t.true(retries <= 16)
  t.true(budget.take(toId<BackendId>('backend-2'), 'connect-failed'))
})

test('retries after a reclaimed backend server are allowed without any budget', t => {
  const budget = createRetryBudget({ clock: createManualClock(), retryRatio: 0, minRetriesPerSecond: () => 0 })
  for (let index = 0; index < 100; index += 1) t.true(budget.take(backend, 'backend-leaving'))
})

// Every node may begin with retries of its own, so that hundreds of them together had several times the common budget.
for (const [nodeCount, requestsPerSecond, slack] of [[9, 50, 56], [195, 400, 430]] as const) {
  test(`${nodeCount} nodes keep within their common retry budget while most attempts fail`, async t => {
    const clock = createManualClock()
    const ratio = 0.2
    const windowSeconds = 10
    const budgets = Array.from({ length: nodeCount }, () => createRetryBudget({ clock, retryRatio: ratio / 2, minRetriesPerSecond: () => slack / 2 / windowSeconds / nodeCount }))
    const retriesBySecond: number[] = []
    for (let request = 0; request < requestsPerSecond * 40; request += 1) {
      const second = Math.floor(request / requestsPerSecond)
      const budget = budgets[request * 7 % nodeCount]
      budget?.deposit(backend)
      // Nothing fails at first, so that deposits accumulate.
      const isRetried = second >= 15 && budget?.take(backend, 'backend-failed') === true
      retriesBySecond[second] = (retriesBySecond[second] ?? 0) + (isRetried ? 1 : 0)
      await clock.advance(1_000 / requestsPerSecond)
    }
    const windows = retriesBySecond.map((_, first) => retriesBySecond.slice(first, first + windowSeconds).reduce((sum, count) => sum + count, 0))
    const largest = Math.max(...windows)
    const allowed = ratio * requestsPerSecond * windowSeconds + slack
    t.true(largest <= allowed, `${largest} of ${allowed}`)
    t.true(largest >= allowed / 3, `${largest} of ${allowed}`)
  })
}
