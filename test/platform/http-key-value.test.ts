import test from 'ava'
import fc from 'fast-check'
import { createSystemClock } from '../../src/core/clock/index.ts'
import { createHttpKeyValue, createMemoryKeyValue, maxValueBytes } from '../../src/core/platform/key-value/index.ts'
import { createKeyValueStandIn } from '../../src/stand-ins/key-value/index.ts'
import type { ExecutionContext } from 'ava'
import type { KeyValueChange, KeyValueStore, Transaction } from '../../src/core/platform/key-value/index.ts'
import type { KeyValueStandInOptions } from '../../src/stand-ins/key-value/index.ts'

const clock = createSystemClock()
const generous = () => ({ deadlineAtMs: Date.now() + 20_000 })
const short = () => ({ deadlineAtMs: Date.now() + 200 })

async function setUp (t: ExecutionContext, options: KeyValueStandInOptions = {}) {
  const standIn = await createKeyValueStandIn(options)
  const store = createHttpKeyValue({ endpoints: [standIn.url], clock, clientName: 'a', watchIdleTimeoutMs: 400 })
  t.teardown(async () => {
    await store.close()
    await standIn.close()
  })
  return { standIn, store }
}

function putOf (key: string, value = ''): Transaction {
  return { compares: [], puts: [{ key, value }], deletes: [] }
}

async function kindOf (answer: ReturnType<KeyValueStore['transact']>): Promise<string> {
  return (await answer).match({ Ok: ({ applied }) => applied ? 'applied' : 'refused', Err: error => error.kind })
}

/** Waits for a condition; fails the test after the time within which every call must have ended. */
async function until (condition: () => boolean): Promise<void> {
  const { deadlineAtMs } = generous()
  while (!condition()) {
    if (Date.now() > deadlineAtMs) throw new Error(`not reached within 20 s: ${condition.toString()}`)
    await clock.sleep(10)
  }
}

/** Watches a key and, like the store view, watches again after the last seen revision whenever a watch is lost. */
function watchAgainWhenLost (store: KeyValueStore, key: string, seen: KeyValueChange[]): { lostCount: () => number } {
  let lostCount = 0
  function watchAfter (revision: number): void {
    store.watch(key, revision, {
      onChanges: changes => seen.push(...changes),
      onLost: () => {
        lostCount += 1
        watchAfter(seen.at(-1)?.modRevision ?? 0)
      }
    })
  }
  watchAfter(0)
  return { lostCount: () => lostCount }
}

const key = fc.constantFrom('é/1', 'é/2', 'b')
const transactions = fc.array(fc.record({
  compares: fc.uniqueArray(fc.record({ key, modRevision: fc.nat({ max: 6 }) }), { selector: item => item.key, maxLength: 2 }),
  puts: fc.array(fc.record({ key, value: fc.string({ unit: 'binary', maxLength: 5 }) }), { maxLength: 2 }),
  deletes: fc.array(key, { maxLength: 1 })
}), { maxLength: 12 })

test('the HTTP client and the in-memory service return the same results', async t => {
  await fc.assert(fc.asyncProperty(transactions, async steps => {
    const standIn = await createKeyValueStandIn()
    const overHttp = createHttpKeyValue({ endpoints: [standIn.url], clock })
    const service = createMemoryKeyValue({ clock })
    const inMemory = service.connect('a')
    const seen: { http: KeyValueChange[], memory: KeyValueChange[] } = { http: [], memory: [] }
    overHttp.watch('é/', 1, { onChanges: changes => seen.http.push(...changes), onLost: () => t.fail() })
    inMemory.watch('é/', 1, { onChanges: changes => seen.memory.push(...changes), onLost: () => t.fail() })
    const run = async (store: KeyValueStore) => {
      const answers = []
      for (const step of steps) {
        const answer = await store.transact(step, generous())
        answers.push(answer.match<unknown>({ Ok: value => value, Err: error => error.kind }))
      }
      for (const prefix of ['', 'é/']) answers.push((await store.list(prefix, generous())).unwrapOr(undefined))
      return answers
    }
    t.deepEqual(await run(overHttp), await run(inMemory))
    await until(() => seen.http.length >= seen.memory.length)
    t.deepEqual(seen.http, seen.memory)
    await overHttp.close()
    await standIn.close()
    service.close()
  }), { seed: 12, numRuns: 25 })
})

test('a write fails as unavailable only if it provably had no effect', async t => {
  const { standIn, store } = await setUp(t, { maxWritesPerSecond: 100 })
  t.is(await kindOf(store.transact(putOf('large', 'x'.repeat(maxValueBytes + 1)), generous())), 'ValueTooLarge')
  t.is(await kindOf(store.transact(putOf('full', 'x'.repeat(maxValueBytes)), generous())), 'applied')
  await standIn.set({ loseNextAnswers: 1 })
  t.is(await kindOf(store.transact(putOf('lost'), generous())), 'KeyValueAmbiguous')
  await standIn.set({ loseNextRequests: 1 })
  t.is(await kindOf(store.transact(putOf('never'), generous())), 'KeyValueAmbiguous')
  await standIn.set({ requestDelayMs: 600 })
  t.is(await kindOf(store.transact(putOf('late'), short())), 'KeyValueAmbiguous')
  await until(() => standIn.state.get('late') !== undefined)
  standIn.decide(() => ({ refused: true }))
  t.is(await kindOf(store.transact(putOf('limited'), generous())), 'KeyValueUnavailable')
  await standIn.set({ down: true })
  t.is(await kindOf(store.transact(putOf('down'), generous())), 'KeyValueUnavailable')
  t.is(await kindOf(store.transact(putOf('past'), { deadlineAtMs: 0 })), 'KeyValueUnavailable')
  t.deepEqual(standIn.state.list('').map(entry => entry.key), ['full', 'late', 'lost'])
})

test('a write is sent to the next endpoint only if the first one did not execute it', async t => {
  const { standIn } = await setUp(t)
  const dead = await createKeyValueStandIn()
  await dead.close()
  const store = createHttpKeyValue({ endpoints: [dead.url, standIn.url], clock })
  t.is(await kindOf(store.transact(putOf('k'), generous())), 'applied')
  const both = createHttpKeyValue({ endpoints: [standIn.url, standIn.url], clock })
  await standIn.set({ loseNextAnswers: 1 })
  t.is(await kindOf(both.transact(putOf('k'), generous())), 'KeyValueAmbiguous')
  t.is(standIn.calls().byOperation.transact, 2)
  await store.close()
  await both.close()
})

// A watch is also lost when this process is paused for longer than the idle timeout, so a loss before the fault must not fail the test.
test('after connections stop responding, calls and watches use new ones', async t => {
  const { standIn, store } = await setUp(t)
  const seen: KeyValueChange[] = []
  const watched = watchAgainWhenLost(store, 'k', seen)
  await store.transact(putOf('k', '1'), generous())
  await until(() => seen.length === 1)
  // The pool reuses a connection only some time after its response was read; the next call must reuse this one.
  await clock.sleep(100)
  const lostBefore = watched.lostCount()
  await standIn.set({ silenceConnections: true })
  t.is(await kindOf(store.transact(putOf('k', '2'), short())), 'KeyValueAmbiguous')
  t.is(await kindOf(store.transact(putOf('k', '3'), generous())), 'applied')
  await until(() => watched.lostCount() > lostBefore)
  await until(() => seen.length === 2)
  t.deepEqual(seen.map(change => change.value), ['1', '3'])
})

test('a watch that was lost before its first change receives the changes once it is opened again', async t => {
  const { store } = await setUp(t, { progressIntervalMs: 60_000 })
  const seen: KeyValueChange[] = []
  const watched = watchAgainWhenLost(store, 'k', seen)
  await until(() => watched.lostCount() === 1)
  t.is(await kindOf(store.transact(putOf('k', '1'), generous())), 'applied')
  await until(() => seen.length === 1)
  t.deepEqual(seen.map(change => change.value), ['1'])
})

test('leases are renewed, expire, and are refused afterwards', async t => {
  const { standIn, store } = await setUp(t)
  const lease = (await store.grantLease(1, generous())).unwrapOrElse(() => { throw new Error('no lease') })
  t.is(await kindOf(store.transact({ compares: [], puts: [{ key: 'k', value: '', leaseId: lease }], deletes: [] }, generous())), 'applied')
  t.true((await store.keepAlive(lease, generous())).unwrapOr(false))
  await until(() => standIn.state.get('k') === undefined)
  t.false((await store.keepAlive(lease, generous())).unwrapOr(true))
  const late = { compares: [], puts: [{ key: 'k', value: '', leaseId: lease }], deletes: [] }
  t.is(await kindOf(store.transact(late, generous())), 'KeyValueRejected')
})

test('a watch from a compacted revision is lost', async t => {
  const { standIn, store } = await setUp(t)
  await store.transact(putOf('k'), generous())
  await store.transact(putOf('k'), generous())
  standIn.compact(2)
  const kind = await new Promise(resolve => store.watch('k', 1, { onChanges: () => t.fail(), onLost: error => resolve(error.kind) }))
  t.is(kind, 'KeyValueRejected')
})
