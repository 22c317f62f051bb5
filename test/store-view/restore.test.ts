/** Views of many nodes while the key-value service is restored from an older copy. */
import test from 'ava'
import { createManualClock } from '../../src/core/clock/index.ts'
import { createSilentLog } from '../../src/core/log/index.ts'
import { createMemoryKeyValue, createRevision, eraOf, revisionInEra } from '../../src/core/platform/key-value/index.ts'
import { createStoreView } from '../../src/core/store-view/index.ts'
import type { ManualClock } from '../../src/core/clock/index.ts'
import type { KeyValueStore } from '../../src/core/platform/key-value/index.ts'
import type { StoreView, ViewChange } from '../../src/core/store-view/index.ts'

const noDeadline = { deadlineAtMs: Infinity }

/** A service with eras; counts the lists. */
function createService (clock: ManualClock) {
  const memory = createMemoryKeyValue({ clock })
  let era = 1
  let lists = 0
  const open = new Set<() => void>()

  function connect (): KeyValueStore {
    const client = memory.connect('node')
    let seenEra = 0
    return {
      ...client,
      era: () => seenEra,
      observeEra: observed => { seenEra = Math.max(seenEra, observed) },
      list: async (prefix, options) => {
        lists += 1
        seenEra = era
        return (await client.list(prefix, options)).map(({ entries, revision }) => ({
          revision: createRevision(era, revision), entries: entries.map(entry => ({ ...entry, modRevision: createRevision(era, entry.modRevision) }))
        }))
      },
      watch: (prefix, afterRevision, handlers) => {
        const watch = client.watch(prefix, revisionInEra(afterRevision), {
          ...handlers,
          onChanges: (changes, revision) => handlers.onChanges(changes.map(change => ({ ...change, modRevision: createRevision(era, change.modRevision) })), createRevision(era, revision))
        })
        const end = (): void => {
          watch.close()
          handlers.onLost({ kind: 'KeyValueRejected', message: 'restored' } as never)
        }
        open.add(end)
        return { close: () => { open.delete(end); watch.close() } }
      }
    }
  }

  const writer = memory.connect('writer')
  return {
    connect,
    put: (key: string, value: string) => writer.transact({ compares: [], puts: [{ key, value }], deletes: [] }, noDeadline),
    remove: (key: string) => writer.transact({ compares: [], puts: [], deletes: [key] }, noDeadline),
    copy: () => memory.state.copy(),
    restore: (copy: ReturnType<typeof memory.state.copy>) => {
      memory.state.restore(copy)
      era += 1
      for (const end of [...open]) end()
      open.clear()
    },
    lists: () => lists,
    resetLists: () => { lists = 0 }
  }
}

/** The first two nodes watch the service; the others get their deltas, each from one of the two. */
async function createCluster (clock: ManualClock, service: ReturnType<typeof createService>, count: number) {
  const views: StoreView[] = []
  const changes: ViewChange[][] = []
  for (let index = 0; index < count; index += 1) {
    const isWatcher = index < 2
    const seen: ViewChange[] = []
    const view = createStoreView({
      store: service.connect(),
      clock,
      log: createSilentLog(),
      fetchFromPeers: async (afterRevision, isAfterRestore) => {
        const snapshot = views[index % 2]!.snapshot()
        return isAfterRestore && snapshot.revision > afterRevision ? snapshot : undefined
      },
      hasPeerUpdates: () => !isWatcher
    })
    view.onChanges(received => seen.push(...received))
    views.push(view)
    changes.push(seen)
    view.start()
  }
  const exchange = async (rounds = 1): Promise<void> => {
    for (let round = 0; round < rounds; round += 1) {
      await clock.advance(400)
      for (const [index, view] of views.entries()) if (index >= 2) view.applyDelta(views[index % 2]!.deltaAfter(view.snapshot().revision))
      await clock.advance(10)
    }
  }
  await exchange(3)
  return { views, changes, exchange }
}

const contentOf = (view: StoreView) => view.list('').map(({ key, value, modRevision }) => [key, value, eraOf(modRevision)]).toSorted()

for (const count of [9, 84, 195]) {
  test(`${count} nodes agree on the restored content without listing it all at once, and none has an empty view`, async t => {
    const clock = createManualClock()
    const service = createService(clock)
    for (let index = 0; index < 30; index += 1) await service.put(`servers/${index}`, 'first')
    const copy = service.copy()
    const { views, changes, exchange } = await createCluster(clock, service, count)
    await service.put('servers/new', 'first')
    await service.put('servers/0', 'second')
    await service.remove('servers/1')
    await exchange(3)
    t.true(views.every(view => view.get('servers/new') !== undefined && view.get('servers/1') === undefined))
    service.resetLists()
    service.restore(copy)
    await service.put('servers/2', 'third')
    const restoredAtMs = clock.monotonicMs()
    let agreedAfterMs: number | undefined
    for (let round = 0; round < 6; round += 1) {
      await exchange()
      t.true(views.every(view => view.list('servers/').length >= 29))
      const contents = new Set(views.map(view => JSON.stringify(contentOf(view))))
      if (contents.size === 1 && eraOf(views[0]!.snapshot().revision) === 2) agreedAfterMs ??= clock.monotonicMs() - restoredAtMs
    }
    t.log(count, 'nodes:', service.lists(), 'lists,', agreedAfterMs, 'ms until all views are the same')
    t.true((agreedAfterMs ?? Infinity) <= 2_000)
    const expected = contentOf(views[0]!)
    t.deepEqual(expected.find(([key]) => key === 'servers/0'), ['servers/0', 'first', 2])
    for (const view of views) t.deepEqual(contentOf(view), expected)
    t.true(service.lists() <= 2, `${service.lists()} lists`)
    const lost = changes.at(-1)!.find(({ key, value }) => key === 'servers/new' && value === undefined)
    t.true(lost?.isByRestore, 'a node can tell that its writer may write the key again')
  })
}

test('a node that knew more than its collector when the service was restored doesn\'t keep what was lost', async t => {
  const clock = createManualClock()
  const service = createService(clock)
  await service.put('servers/0', 'first')
  const copy = service.copy()
  const { views, exchange } = await createCluster(clock, service, 5)
  const revision = views[2]!.snapshot().revision
  views[2]!.applyDelta({ revision: revision + 1, reachableForMs: 1_000, changes: [{ key: 'servers/lost', value: 'x', modRevision: revision + 1 }] })
  t.is(views[2]!.get('servers/lost')?.value, 'x')
  service.restore(copy)
  await exchange(4)
  t.is(views[2]!.get('servers/lost'), undefined)
  t.is(eraOf(views[2]!.snapshot().revision), 2)
})

test('two restores within seconds end in the content of the last one, and a delta of an earlier era changes nothing', async t => {
  const clock = createManualClock()
  const service = createService(clock)
  await service.put('a', 'first')
  const copy = service.copy()
  const { views, exchange } = await createCluster(clock, service, 20)
  await service.put('a', 'second')
  await exchange(2)
  const old = views[0]!.deltaAfter(0)
  service.restore(copy)
  await service.put('a', 'third')
  await exchange(1)
  service.restore(copy)
  await exchange(4)
  for (const view of views) {
    view.applyDelta({ ...old, changes: [{ key: 'a', value: 'stale', modRevision: old.revision }] })
    t.deepEqual(contentOf(view), [['a', 'first', 3]])
  }
})
