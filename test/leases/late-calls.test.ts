/**
 * Calls of successive duty holders to a receiver that checks no fencing numbers and
 * may execute a call as late as one lease time after it was sent: no call of a holder
 * may be executed after one of its successor.
 */
import test from 'ava'
import fc from 'fast-check'
import { ok } from 'true-myth/result'
import { createManualClock } from '../../src/core/clock/index.ts'
import { createCountOrders } from '../../src/core/fleet/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import { createDuties } from '../../src/core/leases/index.ts'
import { createSilentLog } from '../../src/core/log/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createMemoryKeyValue } from '../../src/core/platform/key-value/index.ts'
import type { ManualClock } from '../../src/core/clock/index.ts'
import type { ScaledService } from '../../src/core/fleet/index.ts'
import type { DomainId } from '../../src/core/ids/index.ts'
import type { MemoryKeyValue } from '../../src/core/platform/key-value/index.ts'

interface Call {
  fencingNumber: number
  sentAtMs: number
  /** Latest time at which the receiver may execute it. */
  executedByMs: number
}

const leaseMs = 3_000
const domain = toId<DomainId>('a')

/** Creates a node that campaigns for a duty and orders another count in each round. */
function createHolder (service: MemoryKeyValue, clock: ManualClock, name: string, checksFencing: boolean, calls: Call[]) {
  const store = service.connect(name)
  const duties = createDuties({
    store,
    clock,
    log: createSilentLog(),
    node: toId(name),
    shouldHold: () => true,
    ttlMs: leaseMs,
    marginMs: leaseMs / 4,
    renewIntervalMs: leaseMs / 4,
    campaignIntervalMs: 250,
    maxOrderMs: leaseMs
  })
  let needed = 1
  const orders = createCountOrders({
    clock,
    log: createSilentLog(),
    metrics: createMetrics(),
    duty: duties.campaign('platform'),
    checksFencing,
    services: (): ScaledService[] => [{
      service: 'engines', bootMs: 1_000, domains: [{ domain, price: 1 }], minPerDomain: 0, maxPerDomain: 100, offersReclaimable: false, needed, neededWithoutHeadroom: needed, serving: [], evaluated: []
    }],
    order: async (_service, _wanted, fencingNumber) => {
      calls.push({ fencingNumber, sentAtMs: clock.wallMs(), executedByMs: clock.wallMs() + leaseMs })
      return ok('taken')
    }
  })
  const reconcile = async () => {
    needed = needed % 20 + 1
    await orders.reconcile()
  }
  return { store, reconcile }
}

/** Runs two holders while the store turns them away in turn; returns the number of calls that may be executed after one of a later holder. */
async function countLateCalls (outages: Array<{ node: number, forMs: number }>, checksFencing: boolean): Promise<{ calls: Call[], late: number }> {
  const clock = createManualClock(1_700_000_000_000)
  const service = createMemoryKeyValue({ clock })
  const calls: Call[] = []
  const nodes = ['a', 'b'].map(name => createHolder(service, clock, name, checksFencing, calls))
  const run = async (forMs: number) => {
    for (let leftMs = forMs; leftMs > 0; leftMs -= 250) {
      await clock.advance(250)
      for (const { reconcile } of nodes) await reconcile()
    }
  }
  await run(6_000)
  for (const { node, forMs } of outages) {
    nodes[node]?.store.setFaults({ down: true })
    await run(forMs)
    nodes[node]?.store.setFaults({})
    await run(1_000)
  }
  await run(15_000)
  service.close()
  const late = calls.filter(call => calls.some(other => other.fencingNumber > call.fencingNumber && other.sentAtMs < call.executedByMs))
  return { calls, late: late.length }
}

const outages = fc.array(fc.record({ node: fc.nat({ max: 1 }), forMs: fc.integer({ min: 1_000, max: 9_000 }) }), { minLength: 1, maxLength: 4 })

test('no call may be executed after one of a later holder if the receiver checks no fencing numbers', async t => {
  await fc.assert(fc.asyncProperty(outages, async schedule => {
    const { calls, late } = await countLateCalls(schedule, false)
    t.true(calls.length > 0)
    t.is(late, 0)
  }), { seed: 21, numRuns: 40 })
})

test('without the wait for the previous holder, calls may be executed after those of a later one', async t => {
  const { late } = await countLateCalls([{ node: 0, forMs: 6_000 }, { node: 1, forMs: 6_000 }], true)
  t.true(late > 0)
})
