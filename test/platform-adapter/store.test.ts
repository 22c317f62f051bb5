/** The client of the platform's store. */
import { createServer } from 'node:http'
import test from 'ava'
import { createStore } from '../../platform/store.ts'
import { createSystemClock } from '../../src/core/clock/index.ts'
import { startPlatform } from './platform-stand-in.ts'
import type { AddressInfo } from 'node:net'
import type { ExecutionContext } from 'ava'
import type { KeyValueChange } from '../../src/core/platform/key-value/types.ts'

const clock = createSystemClock()
const longDeadline = () => ({ deadlineAtMs: Date.now() + 5_000 })
const shortDeadline = () => ({ deadlineAtMs: Date.now() + 200 })

async function setUp (t: ExecutionContext, options: { pageSize?: number } = {}) {
  const platform = await startPlatform(options)
  const store = createStore({ origin: platform.origin, clock, watchBatchDelayMs: () => 10 })
  t.teardown(async () => {
    await store.close()
    await platform.close()
  })
  return { platform, store }
}

test('a conditional write is applied, or returns the current entries', async t => {
  const { store } = await setUp(t)
  const put = (modRevision: number, value: string) => store.transact({ compares: [{ key: 'a', modRevision }], puts: [{ key: 'a', value }], deletes: [] }, longDeadline())
  const first = (await put(0, 'é')).unwrapOr(undefined)
  t.true(first?.applied)
  const second = (await put(0, 'b')).unwrapOr(undefined)
  t.false(second?.applied)
  t.like(second?.current[0], { key: 'a', value: 'é', modRevision: first?.revision })
  t.is((await store.get('a', longDeadline())).unwrapOr(undefined)?.entry?.value, 'é')
  t.is((await store.get('none', longDeadline())).unwrapOr(undefined)?.entry, undefined)
})

test('a listing reads all pages', async t => {
  const { platform, store } = await setUp(t, { pageSize: 2 })
  for (const key of ['a/1', 'a/2', 'a/3', 'a/4', 'a/5', 'b']) await platform.put(key, key)
  const listed = (await store.list('a/', longDeadline())).unwrapOr(undefined)
  t.deepEqual(listed?.entries.map(({ key }) => key), ['a/1', 'a/2', 'a/3', 'a/4', 'a/5'])
})

test('a write whose response is lost is ambiguous; a rejected write was not applied', async t => {
  const { platform, store } = await setUp(t)
  const write = () => store.transact({ compares: [], puts: [{ key: 'a', value: '1' }], deletes: [] }, shortDeadline())
  platform.setFault('lost')
  t.is((await write()).match({ Ok: () => 'ok', Err: error => error.kind }), 'KeyValueAmbiguous')
  platform.setFault('busy')
  t.is((await write()).match({ Ok: () => 'ok', Err: error => error.kind }), 'KeyValueUnavailable')
  platform.setFault('silent')
  t.is((await write()).match({ Ok: () => 'ok', Err: error => error.kind }), 'KeyValueAmbiguous')
  t.is((await store.get('a', shortDeadline())).match({ Ok: () => 'ok', Err: error => error.kind }), 'KeyValueUnavailable')
})

test('a watch reports writes, deletions and the loss of its history', async t => {
  const { platform, store } = await setUp(t)
  const seen: KeyValueChange[] = []
  const lost: string[] = []
  await platform.put('a', '1')
  const { revision } = (await store.list('', longDeadline())).unwrapOr({ entries: [], revision: 0 })
  store.watch('', revision, { onChanges: changes => seen.push(...changes), onLost: error => lost.push(error.kind) })
  await platform.put('b', '2')
  await platform.remove('a')
  while (seen.length < 2) await clock.sleep(10)
  t.deepEqual(seen.map(({ key, value }) => [key, value]), [['b', '2'], ['a', undefined]])
  platform.setFault('no-history')
  while (lost.length === 0) await clock.sleep(20)
  t.deepEqual(lost, ['KeyValueRejected'])
})

test('a watch on a dead connection ends after a timeout', async t => {
  const { platform, store } = await setUp(t)
  const lost: string[] = []
  platform.setFault('silent')
  store.watch('', 0, { onChanges: () => {}, onLost: error => lost.push(error.kind) })
  const startedAtMs = clock.monotonicMs()
  while (lost.length === 0) await clock.sleep(20)
  t.deepEqual(lost, ['KeyValueUnavailable'])
  t.true(clock.monotonicMs() > startedAtMs)
})

test('a lease can be renewed until it is revoked', async t => {
  const { store } = await setUp(t)
  const lease = (await store.grantLease(5, longDeadline())).unwrapOr(undefined)
  t.truthy(lease)
  t.true((await store.keepAlive(lease!, longDeadline())).unwrapOr(false))
  await store.revokeLease(lease!, longDeadline())
  t.false((await store.keepAlive(lease!, longDeadline())).unwrapOr(true))
})

test('a response that can not be read is an error of its call, and an item that can not be read is left out', async t => {
  let text = ''
  const server = createServer((_request, response) => { response.end(text) })
  await new Promise<void>(resolve => server.listen({ host: '127.0.0.1', port: 0 }, resolve))
  const store = createStore({ origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, clock, watchBatchDelayMs: () => 10 })
  t.teardown(async () => {
    await store.close()
    server.close()
  })
  const sound = { key: 'a', value: Buffer.from('1').toString('base64'), revision: 3, lease: 0 }
  const deletion = { key: 'b', revision: 3, tombstone: true }
  const oddItems = [null, 5, [], {}, { ...sound, value: 5 }, { ...sound, value: undefined }, { ...sound, key: 5 }, { ...sound, revision: 'x' }, { ...sound, revision: -1 }, { ...sound, revision: 1e300 }, { ...deletion, revision: null }]
  const watchOnce = (): Promise<readonly KeyValueChange[] | string> => new Promise(resolve => {
    const watch = store.watch('', 1, {
      onChanges: changes => {
        watch.close()
        resolve(changes)
      },
      onLost: ({ kind }) => resolve(kind)
    })
  })
  const odd = ['null', '5', '[]', '{}', '""', '{"items":{},"store_revision":1}', '{"items":[],"store_revision":1e300}', '{"events":[],"store_revision":"1"}', '{"lease":"x","revision":"x"}', '{', '\u0000']
  for (text of odd) {
    const reads = [await store.list('', longDeadline()), await store.get('a', longDeadline()), await store.grantLease(1, longDeadline())]
    t.true(reads.every(({ isErr }) => isErr), text)
    t.is(await watchOnce(), 'KeyValueUnavailable', text)
    await t.notThrowsAsync(store.transact({ compares: [{ key: 'a', modRevision: 1 }], puts: [], deletes: [] }, longDeadline()))
  }
  text = JSON.stringify({ items: [...oddItems, sound], has_more: false, store_revision: 4 })
  t.deepEqual((await store.list('', longDeadline())).unwrapOr(undefined), { entries: [{ key: 'a', value: '1', modRevision: 3 }], revision: 4 })
  text = JSON.stringify({ events: [...oddItems, sound, deletion], store_revision: 4 })
  t.deepEqual(await watchOnce(), [{ key: 'a', value: '1', modRevision: 3 }, { key: 'b', value: undefined, modRevision: 3 }])
})

test('a key that requests an evacuation is listed whatever its value, without the value', async t => {
  const items = [null, 7, 'not base64 %', undefined].map((value, index) => ({ key: `op/evacuate/${index}`, value, revision: index + 1 }))
  const server = createServer((_request, response) => { response.end(JSON.stringify({ items: [...items, { key: 'other', value: 7, revision: 9 }], has_more: false, store_revision: 9 })) })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const store = createStore({ origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, clock })
  t.teardown(async () => {
    await store.close()
    server.close()
  })
  const listed = (await store.list('', longDeadline())).unwrapOr(undefined)
  t.deepEqual(listed?.entries.map(({ key, value }) => [key, value]), items.map(({ key }) => [key, '']))
})

test('the content of a watch counts as no younger than the poll that returned it, however late its response arrives', async t => {
  const sentAtMs: number[] = []
  const server = createServer((request, response) => {
    const waitMs = Number(new URL(request.url ?? '', 'http://store').searchParams.get('wait_ms'))
    sentAtMs.push(clock.monotonicMs())
    const events = sentAtMs.length === 1 ? [{ key: 'a', value: '', revision: 3, lease: 0 }] : []
    setTimeout(() => response.end(JSON.stringify({ events, store_revision: 3 })), events.length === 0 ? waitMs + 150 : 150)
  })
  await new Promise<void>(resolve => server.listen({ host: '127.0.0.1', port: 0 }, resolve))
  const longPollMs = 100
  const store = createStore({ origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, clock, watchBatchDelayMs: () => 10, longPollMs: () => longPollMs })
  t.teardown(async () => {
    await store.close()
    server.close()
  })
  const contentAtMs: number[] = []
  store.watch('', 1, { onChanges: (_changes, _revision, atMs = Infinity) => contentAtMs.push(atMs), onLost: () => t.fail() })
  while (contentAtMs.length < 2) await clock.sleep(10)
  t.true(contentAtMs[0]! <= sentAtMs[0]!)
  t.true(contentAtMs[1]! <= sentAtMs[1]! + longPollMs)
})
