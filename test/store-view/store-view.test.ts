/** The store view during outages, after compaction, and with updates from peers. */
import test from 'ava'
import { Result } from 'true-myth'
import { createManualClock, createSystemClock } from '../../src/core/clock/index.ts'
import { createMemoryKeyValue } from '../../src/core/platform/key-value/index.ts'
import { createChangeListener, createStoreView } from '../../src/core/store-view/index.ts'
import { fetchNewerView, serveView } from '../../src/core/node-reports/index.ts'
import type { AddressInfo } from 'node:net'
import type { KeyValueStore, WatchHandlers } from '../../src/core/platform/key-value/types.ts'
import type { Snapshot } from '../../src/core/store-view/index.ts'

const clock = createSystemClock()
const requestOptions = () => ({ deadlineAtMs: Date.now() + 5_000 })

async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await clock.sleep(10)
}

function setUp (fetchFromPeers: (afterRevision: number) => Promise<Snapshot | undefined> = async () => undefined) {
  const service = createMemoryKeyValue({ clock })
  const writer = service.connect('writer')
  const store = service.connect('node')
  const events: string[] = []
  const view = createStoreView({ store, clock, log: event => { events.push(event) }, fetchFromPeers })
  const put = (key: string, value: string) => writer.transact({ compares: [], puts: [{ key, value }], deletes: [] }, requestOptions())
  const remove = (key: string) => writer.transact({ compares: [], puts: [], deletes: [key] }, requestOptions())
  return { service, store, view, put, remove, events }
}

test('the view contains the existing content and later changes', async t => {
  const { view, put, remove } = setUp()
  t.teardown(view.close)
  await put('a', '1')
  await view.start()
  t.is(view.get('a')?.value, '1')
  await put('b/1', '2')
  await until(() => view.get('b/1') !== undefined)
  t.deepEqual(view.list('b/').map(({ key, value }) => ({ key, value })), [{ key: 'b/1', value: '2' }])
  await remove('a')
  await until(() => view.get('a') === undefined)
  t.pass()
})

test('while the service is down, newer content of other nodes is applied and older content is ignored', async t => {
  let peerSnapshot: Snapshot = { revision: 1_000, entries: new Map([['a', { value: 'newer', modRevision: 1_000 }]]) }
  const { store, view, put, events } = setUp(async () => peerSnapshot)
  t.teardown(view.close)
  await put('a', 'old')
  await view.start()
  store.setFaults({ down: true })
  store.breakWatches()
  await until(() => view.get('a')?.value === 'newer')
  t.is(view.source(), 'peer')
  peerSnapshot = { revision: 999, entries: new Map([['a', { value: 'older', modRevision: 999 }]]) }
  await clock.sleep(600)
  t.is(view.get('a')?.value, 'newer')
  t.deepEqual(events, ['keyValueUp', 'keyValueDown'])
})

test('after compaction of the history the content is listed again, with the changes in between', async t => {
  const { service, store, view, put, remove } = setUp()
  t.teardown(view.close)
  await put('a', '1')
  await put('b', '1')
  await view.start()
  store.setFaults({ down: true })
  store.breakWatches()
  await remove('a')
  await put('b', '2')
  service.compact(service.state.revision())
  store.setFaults(undefined)
  await until(() => view.get('a') === undefined && view.get('b')?.value === '2')
  t.pass()
})

test('a node serves its view to others, which try nodes until one has a newer view', async t => {
  const snapshot: Snapshot = { revision: 5, entries: new Map([['a', { value: 'é', modRevision: 4 }]]) }
  const [server] = await serveView([{ host: '127.0.0.1', port: 0 }], () => snapshot)
  t.teardown(() => { server?.close() })
  const { port } = server?.address() as AddressInfo
  const reachable = { host: '127.0.0.1', port }
  const unreachable = { host: '127.0.0.1', port: 1 }
  t.deepEqual(await fetchNewerView([unreachable, reachable], 3, clock), snapshot)
  t.is(await fetchNewerView([unreachable, reachable], 5, clock), undefined)
})

/** Creates two views; `sendDelta` updates the follower from the collector, and the follower doesn't watch while `hasPeerUpdates` is set. */
async function setUpFollower (valueLength: number, isSameContent?: (key: string, before: string, after: string) => boolean) {
  const service = createMemoryKeyValue({ clock })
  const writer = service.connect('writer')
  const viewOf = (name: string, hasPeerUpdates: () => boolean) => {
    const store = service.connect(name)
    return { store, view: createStoreView({ store, clock, log: () => {}, fetchFromPeers: async () => undefined, hasPeerUpdates, ...(isSameContent === undefined ? {} : { isSameContent }) }) }
  }
  const collector = viewOf('collector', () => false)
  const state = { hasPeerUpdates: true }
  const follower = viewOf('follower', () => state.hasPeerUpdates)
  await Promise.all([collector.view.start(), follower.view.start()])
  const put = (key: string, value: string) => writer.transact({ compares: [], puts: [{ key, value: value.padEnd(valueLength, '.') }], deletes: [] }, requestOptions())
  const sendDelta = () => follower.view.applyDelta(collector.view.deltaAfter(follower.view.snapshot().revision))
  return { collector, follower, state, put, sendDelta }
}

for (const [name, length] of [['a change', 1], ['a large change', 5_000]] as const) {
  test(`${name} that another node reports is applied without a watch`, async t => {
    const { collector, follower, put, sendDelta } = await setUpFollower(length)
    t.teardown(() => [collector, follower].forEach(({ view }) => view.close()))
    await put('a', '1')
    await until(() => collector.view.get('a') !== undefined)
    sendDelta()
    await until(() => follower.view.get('a') !== undefined)
    t.is(follower.view.get('a')?.value, collector.view.get('a')?.value)
    t.is(follower.view.snapshot().revision, collector.view.snapshot().revision)
  })
}

test('a view without updates from peers watches again and misses no change', async t => {
  const { collector, follower, state, put, sendDelta } = await setUpFollower(1)
  t.teardown(() => [collector, follower].forEach(({ view }) => view.close()))
  await put('a', '1')
  await until(() => collector.view.get('a') !== undefined)
  sendDelta()
  state.hasPeerUpdates = false
  await put('b', '2')
  await until(() => follower.view.get('b') !== undefined)
  t.is(follower.view.get('a')?.value, '1')
})

test('a node that missed more changes than others store lists the content', async t => {
  const { collector, follower, state, put } = await setUpFollower(1)
  t.teardown(() => [collector, follower].forEach(({ view }) => view.close()))
  await put('a', '1')
  state.hasPeerUpdates = false
  await until(() => collector.view.get('a') !== undefined)
  follower.view.applyDelta({ revision: collector.view.snapshot().revision, reachableForMs: 1, contentAgeMs: undefined, changes: undefined })
  await until(() => follower.view.get('a') !== undefined)
  t.pass()
})

// Each of several hundred backend servers writes a heartbeat every second; nodes that got no delta for them all listed the content again and again.
test('heartbeats that change nothing else are stored, but neither announced nor reported to other nodes', async t => {
  const isSameContent = (key: string, before: string, after: string) => key.startsWith('servers/') && before.slice(0, 5) === after.slice(0, 5)
  const { collector, follower, put, sendDelta } = await setUpFollower(1, isSameContent)
  t.teardown(() => [collector, follower].forEach(({ view }) => view.close()))
  await put('servers/a', 'ready 1')
  await until(() => collector.view.get('servers/a') !== undefined)
  sendDelta()
  const announced: string[] = []
  collector.view.onChanges(changes => announced.push(...changes.map(({ value }) => value ?? '')))
  const knownRevision = follower.view.snapshot().revision
  for (let sequence = 2; sequence <= 600; sequence += 1) await put('servers/a', `ready ${sequence}`)
  await until(() => collector.view.get('servers/a')?.value === 'ready 600')
  t.deepEqual(collector.view.deltaAfter(knownRevision).changes, [])
  t.deepEqual(announced, [])
  await put('servers/a', 'leaving 601')
  await until(() => announced.length === 1)
  sendDelta()
  await until(() => follower.view.get('servers/a')?.value === 'leaving 601')
  t.is(follower.view.snapshot().revision, collector.view.snapshot().revision)
})

test('several hundred registrations at once reach other nodes in one delta', async t => {
  const { collector, follower, put, sendDelta } = await setUpFollower(1)
  t.teardown(() => [collector, follower].forEach(({ view }) => view.close()))
  const value = JSON.stringify({ node: 'front-attica-a-10', linkMbps: 20, host: '10.1.0.10', reportPort: 7600, viewPort: 7600 })
  for (let index = 0; index < 170; index += 1) await put(`nodes/${index}`, value)
  await until(() => collector.view.list('nodes/').length === 170)
  sendDelta()
  t.is(follower.view.list('nodes/').length, 170)
})

// Hundreds of nodes that restart at once each opened a watch until the first digest arrived.
test('a node that expects changes from others waits for them before it watches the service', async t => {
  const manualClock = createManualClock()
  const service = createMemoryKeyValue({ clock: manualClock })
  const state = { hasPeerUpdates: false }
  const view = createStoreView({
    store: service.connect('node'),
    clock: manualClock,
    log: () => {},
    fetchFromPeers: async () => undefined,
    expectsPeerUpdates: () => true,
    hasPeerUpdates: () => state.hasPeerUpdates
  })
  t.teardown(view.close)
  const watches = (): number => service.calls().byOperation.watch ?? 0
  const started = view.start()
  await manualClock.advance(100)
  await started
  t.is(watches(), 0)
  state.hasPeerUpdates = true
  await manualClock.advance(700)
  t.is(watches(), 0)
  state.hasPeerUpdates = false
  await manualClock.advance(1_000)
  t.true(watches() > 0)
})

// At 300 nodes and 3,000 backend servers, deltas were too large to be sent, and every node listed all content again and again.
test('thousands of registrations reach other nodes in several deltas, without another list', async t => {
  const { collector, follower, put, sendDelta } = await setUpFollower(200)
  t.teardown(() => [collector, follower].forEach(({ view }) => view.close()))
  for (let index = 0; index < 3_000; index += 1) await put(`servers/${index}`, String(index))
  await until(() => collector.view.list('servers/').length === 3_000)
  let deltaCount = 0
  while (follower.view.list('servers/').length < 3_000) {
    const before = follower.view.snapshot().revision
    sendDelta()
    deltaCount += 1
    t.true(follower.view.snapshot().revision > before)
  }
  t.true(deltaCount > 10 && deltaCount < 40, `${deltaCount} deltas`)
  t.deepEqual(follower.view.list('servers/').map(({ value }) => value), collector.view.list('servers/').map(({ value }) => value))
})

test('a value that one listener can not process keeps neither the others nor later changes from being processed', async t => {
  const { view, put, events } = setUp()
  t.teardown(view.close)
  const seen: string[] = []
  view.onChanges(changes => changes.forEach(({ value }) => JSON.parse(value ?? '')))
  view.onChanges(changes => seen.push(...changes.map(({ key }) => key)))
  await put('a', '{"malformed":')
  await view.start()
  await put('b', '1')
  await until(() => seen.includes('b'))
  t.deepEqual(seen, ['a', 'b'])
  t.true(events.includes('viewChangeFailed'))
})

test('each change that can be processed is, also beside one in the same update that can not', async t => {
  const { view, put, events } = setUp()
  t.teardown(view.close)
  const seen: string[] = []
  view.onChanges(createChangeListener(event => { events.push(event) }, ({ key, value }) => {
    JSON.parse(value ?? '')
    seen.push(key)
  }))
  for (const [key, value] of [['a', '1'], ['b', '{"malformed":'], ['c', '2']] as const) await put(key, value)
  await view.start()
  t.deepEqual(seen, ['a', 'c'])
  t.is(events.filter(event => event === 'viewChangeFailed').length, 1)
})

test('a node goes on following the service after an unexpected error', async t => {
  let failures = 0
  const { store, view, put, events } = setUp(async () => {
    failures += 1
    throw new Error('unexpected')
  })
  t.teardown(view.close)
  await put('a', '1')
  await view.start()
  store.setFaults({ down: true })
  store.breakWatches()
  await until(() => failures > 1)
  store.setFaults({ down: false })
  await put('a', '2')
  await until(() => view.get('a')?.value === '2')
  t.true(events.includes('viewChangeFailed'))
})

// 2026-12-07: collectors that the store left without a response told each other that it responds, as long as it did to neither.
test('a node does not tell others that the service responds only because they told it', async t => {
  const { store, view, put } = setUp()
  t.teardown(view.close)
  await put('a', '1')
  await view.start()
  await until(() => view.isWatching())
  t.not(view.deltaAfter(0).reachableForMs, undefined)
  store.setFaults({ down: true })
  store.breakWatches()
  await until(() => view.reachableSinceMs() === undefined)
  // The watch is accepted now, and has no response as long as nothing changes.
  store.setFaults(undefined)
  await until(() => view.isWatching())
  view.applyDelta({ revision: view.snapshot().revision, reachableForMs: 5_000, contentAgeMs: 0, changes: [] })
  t.not(view.reachableSinceMs(), undefined)
  t.is(view.deltaAfter(0).reachableForMs, undefined)
})

test('the age of the content grows while a watch has no response, and the age of a part of the changes is not told', async t => {
  const manualClock = createManualClock()
  const service = createMemoryKeyValue({ clock: manualClock })
  const store = service.connect('node')
  const view = createStoreView({ store, clock: manualClock, log: () => {}, fetchFromPeers: async () => undefined })
  t.teardown(view.close)
  t.is(view.deltaAfter(0).contentAgeMs, undefined)
  const write = (key: string, value: string) => store.transact({ compares: [], puts: [{ key, value }], deletes: [] }, { deadlineAtMs: Infinity })
  await write('a', '1')
  view.start()
  await manualClock.advance(100)
  t.is(view.deltaAfter(view.snapshot().revision).contentAgeMs, 100)
  await manualClock.advance(1_500)
  t.is(view.deltaAfter(view.snapshot().revision).contentAgeMs, 1_600)
  const before = view.snapshot().revision
  for (let index = 0; index < 200; index += 1) await write(`b/${index}`, 'x'.repeat(600))
  await manualClock.advance(10)
  t.true((view.deltaAfter(view.snapshot().revision).contentAgeMs ?? Infinity) <= 10)
  const part = view.deltaAfter(before)
  t.true(part.revision < view.snapshot().revision)
  t.is(part.contentAgeMs, undefined)
})

// Nodes that took their changes from one that had listed the content in pages never learned of a key that changed meanwhile.
test('a change between two pages of a list is reported to other nodes, and announced once', async t => {
  const { store } = setUp()
  const handlers: WatchHandlers[] = []
  const paged: KeyValueStore = {
    ...store,
    list: async () => Result.ok({ entries: [{ key: 'a', value: '1', modRevision: 3 }, { key: 'b', value: 'new', modRevision: 7 }], revision: 5 }),
    watch: (_prefix, _revision, opened) => {
      handlers.push(opened)
      return { close: () => {} }
    }
  }
  const view = createStoreView({ store: paged, clock, log: () => {}, fetchFromPeers: async () => undefined })
  t.teardown(view.close)
  const announced: string[] = []
  view.onChanges(changes => announced.push(...changes.map(({ key }) => key)))
  await view.start()
  await until(() => handlers.length > 0)
  handlers[0]?.onChanges([{ key: 'b', value: 'between', modRevision: 6 }, { key: 'b', value: 'new', modRevision: 7 }], 8)
  t.deepEqual(view.deltaAfter(5).changes, [{ key: 'b', value: 'new', modRevision: 7 }])
  t.deepEqual(announced, ['a', 'b'])
  t.is(view.get('b')?.value, 'new')
})
