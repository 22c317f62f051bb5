/** Backend servers that limit their requests, in the number that is ordered. */
import test from 'ava'
import { createManualClock } from '../../src/core/clock/index.ts'
import { createLimitedServers } from '../../src/core/fleet/index.ts'

const load = { busyServers: 4, requestsPerSecond: 48, bootMs: 4_000 }

test('limited servers count with what they take, once their limits have lasted, and for some seconds after them', async t => {
  const clock = createManualClock()
  const limited = createLimitedServers(clock)
  const limitsFor = (forMs: number) => [{ perSecond: 1, forMs }, { perSecond: 1, forMs }]
  t.is(limited.missing({ ...load, limits: limitsFor(3_900) }), 0)
  t.is(limited.missing({ ...load, limits: limitsFor(4_000) }), 2)
  await clock.advance(5_000)
  t.is(limited.missing({ ...load, limits: [] }), 2)
  await clock.advance(6_000)
  t.is(limited.missing({ ...load, limits: [] }), 0)
})

test('a limit above what a server gets costs no capacity', t => {
  const limited = createLimitedServers(createManualClock())
  t.is(limited.missing({ ...load, limits: [{ perSecond: 12, forMs: 60_000 }, { perSecond: 100, forMs: 60_000 }] }), 0)
  t.is(limited.missing({ ...load, limits: [{ perSecond: 0, forMs: 60_000 }], requestsPerSecond: 0 }), 0)
})
