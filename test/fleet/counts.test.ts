/** Planned counts of backend servers under reclaims, the orders for them, and the demand that they are computed from. */
import test from 'ava'
import fc from 'fast-check'
import { ok, err } from 'true-myth/result'
import { createManualClock } from '../../src/core/clock/index.ts'
import { createError } from '../../src/core/errors/index.ts'
import { createCountOrders, createWorkDemand, planCounts, squareRootStaffing } from '../../src/core/fleet/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import { createSilentLog } from '../../src/core/log/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import type { ScaledService, CountPlanInput, DomainCount, CountOrderResult } from '../../src/core/fleet/index.ts'
import type { DomainId } from '../../src/core/ids/index.ts'

const domains = ['a', 'b', 'c'].map((name, index) => ({ domain: toId<DomainId>(name), price: 1 + index / 10 }))
const base: CountPlanInput = { domains, minPerDomain: 1, maxPerDomain: 6, offersReclaimable: true, needed: 8, neededWithoutHeadroom: 4, serving: [], starting: [], isRefused: () => false }

function sumOf (counts: DomainCount[], purchase: DomainCount['purchase']): number {
  return counts.filter(count => count.purchase === purchase).reduce((sum, { count }) => sum + count, 0)
}

test('orders on-demand backend servers for the whole load while no reclaimable ones serve', t => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 12 }), fc.integer({ min: 0, max: 8 }), (neededWithoutHeadroom, more) => {
    const plan = planCounts({ ...base, neededWithoutHeadroom, needed: neededWithoutHeadroom + more })
    t.true(sumOf(plan, 'on-demand') >= neededWithoutHeadroom)
  }), { seed: 11 })
  t.pass()
})

test('keeps the headroom when the reclaimable backend servers of one domain are lost', t => {
  const plan = planCounts(base)
  for (const { domain } of domains) {
    const left = plan.filter(count => count.purchase === 'on-demand' || count.domain !== domain)
    t.true(left.reduce((sum, { count }) => sum + count, 0) >= base.needed)
  }
})

test('keeps the bounds of a domain for both purchase options together', t => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 30 }), fc.integer({ min: 1, max: 6 }), (needed, maxPerDomain) => {
    const plan = planCounts({ ...base, needed, neededWithoutHeadroom: Math.ceil(needed / 2), maxPerDomain })
    for (const { domain } of domains) {
      const count = plan.filter(other => other.domain === domain).reduce((sum, other) => sum + other.count, 0)
      t.true(count >= base.minPerDomain && count <= maxPerDomain)
    }
  }), { seed: 12 })
  t.pass()
})

for (const count of [1, 2]) {
  test(`carries the load on on-demand backend servers, and the headroom on reclaimable ones, with ${count} failure domains`, t => {
    const plan = planCounts({ ...base, domains: domains.slice(0, count), maxPerDomain: 20 })
    t.is(sumOf(plan, 'on-demand'), base.neededWithoutHeadroom)
    t.is(sumOf(plan, 'reclaimable'), count * (base.needed - base.neededWithoutHeadroom))
  })
}

test('keeps on-demand backend servers in the domain where they run', t => {
  const serving: DomainCount[] = [{ domain: toId<DomainId>('c'), purchase: 'on-demand', count: 3 }]
  const plan = planCounts({ ...base, neededWithoutHeadroom: 3, serving })
  t.is(plan.find(({ domain, purchase }) => domain === 'c' && purchase === 'on-demand')?.count, 3)
})

/** Count orders to a fake cloud that carries out an order at once, refuses it or loses the response. */
function setUpOrders (answer: () => CountOrderResult | 'lost') {
  const clock = createManualClock()
  const sentOrders: DomainCount[] = []
  const present = new Map<string, number>()
  let fencingNumber: number | undefined = 7
  const counts = () => domains.flatMap(({ domain }) => (['on-demand', 'reclaimable'] as const).map(purchase => ({ domain, purchase, count: present.get(`${domain}/${purchase}`) ?? 0 })))
  const service = (): ScaledService => ({ ...base, service: 'engines', bootMs: 1_000, serving: counts(), evaluated: [] })
  const orders = createCountOrders({
    clock,
    log: createSilentLog(),
    metrics: createMetrics(),
    duty: { name: 'd', fencingNumber: () => fencingNumber, guard: () => undefined, orderWindow: () => fencingNumber === undefined ? undefined : { fencingNumber, deadlineAtMs: Infinity }, close: async () => {} },
    checksFencing: true,
    services: () => [service()],
    order: async (_service, wanted) => {
      sentOrders.push(wanted)
      const result = answer()
      if (result === 'lost') return err(createError('PlatformCallFailed', { service: 'cloud', operation: 'scale', cause: 'test' }))
      if (result === 'taken') present.set(`${wanted.domain}/${wanted.purchase}`, wanted.count)
      return ok(result)
    }
  })
  return { clock, orders, sentOrders, present, lose: () => { fencingNumber = undefined } }
}

test('does not repeat an order whose count is reached', async t => {
  const { clock, orders, sentOrders } = setUpOrders(() => 'taken')
  // The on-demand backend servers are given up in the second round, once the reclaimable ones serve.
  await orders.reconcile()
  await orders.reconcile()
  const first = sentOrders.length
  for (let round = 0; round < 20; round += 1) {
    await clock.advance(1_000)
    await orders.reconcile()
  }
  t.is(sentOrders.length, first)
})

test('repeats an order without a response', async t => {
  let lost = true
  const { clock, orders, sentOrders } = setUpOrders(() => lost ? 'lost' : 'taken')
  await orders.reconcile()
  const first = sentOrders.length
  lost = false
  await clock.advance(1_500)
  await orders.reconcile()
  t.is(sentOrders.length, first * 2)
})

test('repeats an order that was overridden by an older one', async t => {
  const { clock, orders, sentOrders, present } = setUpOrders(() => 'taken')
  await orders.reconcile()
  await orders.reconcile()
  const first = sentOrders.length
  present.set('a/reclaimable', 0)
  await clock.advance(10_000)
  await orders.reconcile()
  const repeated = sentOrders.slice(first)
  t.deepEqual(repeated.filter(({ purchase }) => purchase === 'reclaimable'), [{ domain: toId<DomainId>('a'), purchase: 'reclaimable', count: 4 }])
  // On-demand ones for the whole load take over until then, each ordered once and in no more domains than needed.
  t.is(sumOf(repeated, 'on-demand'), base.neededWithoutHeadroom)
  t.is(repeated.length, 3)
  t.is(present.get('a/reclaimable'), 4)
})

test('orders nothing without the duty, nor with a fencing number that the cloud has rejected', async t => {
  const { clock, orders, sentOrders, lose } = setUpOrders(() => 'fenced')
  await orders.reconcile()
  const first = sentOrders.length
  await clock.advance(10_000)
  await orders.reconcile()
  t.is(sentOrders.length, first)
  lose()
  await orders.reconcile()
  t.is(sentOrders.length, first)
})

test('counts the work of a node once if its reports are missing for a while', async t => {
  const clock = createManualClock()
  const demand = createWorkDemand({ clock })
  for (let second = 0; second < 10; second += 1) {
    demand.record('steady', second * 1_000)
    // The reports of the second node arrive only every three seconds.
    if (second % 3 === 0) demand.record('now and then', second * 1_000)
    demand.sample()
    await clock.advance(1_000)
  }
  t.true((demand.busyServers() ?? 0) <= 2.8)
  t.true((demand.busyServers() ?? 0) >= 1.5)
})

test('increases the headroom more slowly than the load', t => {
  t.is(squareRootStaffing(0, 3), 0)
  t.is(squareRootStaffing(4, 3), 10)
  t.is(squareRootStaffing(36, 3), 54)
  t.true(squareRootStaffing(100, 3) < 10 * squareRootStaffing(10, 3))
})

for (const [name, domainCount] of [['three', 3], ['five', 5]] as const) {
  test(`when one of ${name} domains is evacuated, the others take over, none of their servers is given up, and no order is sent for it`, t => {
    const all = ['a', 'b', 'c', 'd', 'e'].slice(0, domainCount).map(domain => ({ domain: toId<DomainId>(domain), price: 1 }))
    const input = { ...base, domains: all, maxPerDomain: 40, needed: 14, neededWithoutHeadroom: 8 }
    const serving = planCounts({ ...input, serving: planCounts(input).filter(({ purchase }) => purchase === 'reclaimable') })
    const plan = planCounts({ ...input, serving, isWithoutCapacity: domain => domain === 'a' })
    t.false(plan.some(({ domain }) => domain === 'a'))
    t.true(sumOf(plan, 'on-demand') + sumOf(plan, 'reclaimable') >= input.needed)
    const lost = serving.filter(({ domain }) => domain !== 'a').filter(before => before.count > (plan.find(({ domain, purchase }) => domain === before.domain && purchase === before.purchase)?.count ?? 0))
    t.deepEqual(lost, [])
    t.deepEqual(planCounts({ ...input, isWithoutCapacity: () => true, serving }), [])
  })
}
