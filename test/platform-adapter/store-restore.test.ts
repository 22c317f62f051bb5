/** The store comes back from an older copy: revisions and leases are given out again. */
import test from 'ava'
import { createStore } from '../../platform/store.ts'
import { createSystemClock } from '../../src/core/clock/index.ts'
import { createDuties } from '../../src/core/leases/index.ts'
import { createSilentLog } from '../../src/core/log/index.ts'
import { eraOf } from '../../src/core/platform/key-value/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import { startPlatform } from './platform-stand-in.ts'
import type { ExecutionContext } from 'ava'
import type { Duty } from '../../src/core/leases/index.ts'

const clock = createSystemClock()
const soon = () => ({ deadlineAtMs: Date.now() + 2_000 })

async function setUp (t: ExecutionContext) {
  const platform = await startPlatform()
  platform.setEra(1)
  const connect = () => {
    const store = createStore({ origin: platform.origin, clock, watchBatchDelayMs: () => 10 })
    t.teardown(store.close)
    return store
  }
  t.teardown(platform.close)
  return { platform, connect }
}

test('a watch from before a restore is lost, although the store has given out its revision again', async t => {
  const { platform, connect } = await setUp(t)
  const store = connect()
  const copy = platform.copy()
  await platform.put('a', '1')
  const listed = (await store.list('', soon())).unwrapOr(undefined)
  const lost = new Promise<string>(resolve => store.watch('', listed?.revision ?? 0, { onChanges: () => {}, onLost: ({ kind }) => resolve(kind) }))
  platform.restore(copy)
  await platform.put('b', '1')
  await platform.put('b', '2')
  t.is(await lost, 'KeyValueRejected')
  const again = (await store.list('', soon())).unwrapOr(undefined)
  t.true((again?.revision ?? 0) > (listed?.revision ?? Infinity), 'revisions of a later era are larger')
  t.deepEqual(again?.entries.map(({ key }) => key), ['b'])
})

test('a write that compares a revision of an earlier era is not applied, although another write has the same revision now', async t => {
  const { platform, connect } = await setUp(t)
  const store = connect()
  const copy = platform.copy()
  await platform.put('a', 'ours')
  const before = (await store.get('a', soon())).unwrapOr(undefined)?.entry
  platform.restore(copy)
  await platform.put('a', 'theirs')
  t.is((await store.get('a', soon())).unwrapOr(undefined)?.entry?.value, 'theirs')
  const written = (await store.transact({ compares: [{ key: 'a', modRevision: before?.modRevision ?? 0 }], puts: [{ key: 'a', value: 'late' }], deletes: [] }, soon())).unwrapOr(undefined)
  t.false(written?.applied)
  t.like(written?.current[0], { key: 'a', value: 'theirs' })
})

test('the outcome of a write during which the store was restored is unknown if it compared a revision', async t => {
  const { platform, connect } = await setUp(t)
  const store = connect()
  const copy = platform.copy()
  await platform.put('a', 'ours')
  const before = (await store.get('a', soon())).unwrapOr(undefined)?.entry
  platform.restore(copy)
  await platform.put('a', 'theirs')
  const written = await store.transact({ compares: [{ key: 'a', modRevision: before?.modRevision ?? 0 }], puts: [{ key: 'a', value: 'late' }], deletes: [] }, soon())
  t.is(written.match({ Ok: () => 'ok', Err: error => error.kind }), 'KeyValueAmbiguous')
})

test('a lease of an earlier era has ended, although another one has its id now', async t => {
  const { platform, connect } = await setUp(t)
  const [store, other] = [connect(), connect()]
  const copy = platform.copy()
  const lease = (await store.grantLease(5, soon())).unwrapOr(undefined)
  platform.restore(copy)
  await other.grantLease(5, soon())
  store.observeEra(2)
  t.false((await store.keepAlive(lease!, soon())).unwrapOr(true))
  const written = await store.transact({ compares: [], puts: [{ key: 'a', value: '1', leaseId: lease! }], deletes: [] }, soon())
  t.is(written.match({ Ok: () => 'ok', Err: error => error.kind }), 'KeyValueRejected')
})

test('a response from before a restore that arrives after it is ignored', async t => {
  const { platform, connect } = await setUp(t)
  const store = connect()
  platform.setEra(3)
  await store.get('a', soon())
  platform.setEra(2)
  t.is((await store.get('a', soon())).match({ Ok: () => 'ok', Err: error => error.kind }), 'KeyValueUnavailable')
  t.is(store.era(), 3)
})

async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await clock.sleep(10)
}

test('a duty is given up with the era in which it was taken, and its fencing number rises with the next one', async t => {
  const { platform, connect } = await setUp(t)
  const stores = [connect(), connect()]
  const duties: Duty[] = stores.map((store, index) => {
    const all = createDuties({
      store, clock, log: createSilentLog(), node: toId(`node-${index}`), shouldHold: () => true, ttlMs: 1_500, marginMs: 300, renewIntervalMs: 300, campaignIntervalMs: 50
    })
    t.teardown(all.close)
    return all.campaign('platform')
  })
  const held = () => duties.filter(duty => duty.fencingNumber() !== undefined)
  const copy = platform.copy()
  await until(() => held().length === 1)
  const [first] = held()
  const fencingNumber = first!.fencingNumber()!
  platform.restore(copy)
  const numbers: number[] = []
  await until(() => {
    t.true(held().length <= 1, 'no two nodes hold the duty')
    for (const duty of held()) numbers.push(duty.fencingNumber()!)
    return numbers.some(number => eraOf(number) === 2)
  })
  t.true(numbers.every((number, index) => number >= fencingNumber && number >= (numbers[index - 1] ?? 0)), 'fencing numbers never fall')
})

test('a holder whose key is in the restored copy takes the duty again with a higher fencing number', async t => {
  const { platform, connect } = await setUp(t)
  const all = createDuties({ store: connect(), clock, log: createSilentLog(), node: toId('node-a'), shouldHold: () => true, ttlMs: 20_000, marginMs: 300, renewIntervalMs: 300, campaignIntervalMs: 50 })
  t.teardown(all.close)
  const duty = all.campaign('platform')
  await until(() => duty.fencingNumber() !== undefined)
  const before = duty.fencingNumber()!
  platform.restore(platform.copy())
  await until(() => eraOf(duty.fencingNumber() ?? 0) === 2)
  t.true(duty.fencingNumber()! > before)
})
