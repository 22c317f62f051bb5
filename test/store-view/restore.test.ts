/** Views of many nodes while the key-value service is restored from an older copy. */
import test from 'ava'
import { contentOf, createCluster, createService } from '../../bench/measure/restores/cluster.ts'
import { createManualClock } from '../../src/core/clock/index.ts'
import { eraOf } from '../../src/core/platform/key-value/index.ts'

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
  views[2]!.applyDelta({ revision: revision + 1, reachableForMs: 1_000, contentAgeMs: 0, changes: [{ key: 'servers/lost', value: 'x', modRevision: revision + 1 }] })
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
