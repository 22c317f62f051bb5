/** Registrations of nodes that are replaced for good. */
import test from 'ava'
import { createNodeRegistry } from '../../platform/node-registry.ts'
import { createManualClock } from '../../src/core/clock/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import { createSilentLog } from '../../src/core/log/index.ts'
import { createMemoryKeyValue } from '../../src/core/platform/key-value/index.ts'
import { createStoreView } from '../../src/core/store-view/index.ts'
import type { NodeId } from '../../src/core/ids/index.ts'

const guard = { key: 'duties/d', modRevision: 0 }
const idOf = (index: number): NodeId => toId<NodeId>(`node-${index}`)

async function setUp (count: number) {
  const clock = createManualClock()
  const kv = createMemoryKeyValue({ clock })
  const registries = await Promise.all(Array.from({ length: count }, async (_, index) => {
    const store = kv.connect(`node-${index}`)
    const view = createStoreView({ store, clock, log: createSilentLog(), fetchFromPeers: async () => undefined })
    const registry = createNodeRegistry({
      self: { node: idOf(index), linkMbps: 100, host: '10.0.0.1', reportPort: index + 1, viewPort: index + 1 }, store, view, clock, log: createSilentLog(), random: () => 0.5, restoreGraceMs: 4_000
    })
    view.onChanges(changes => changes.forEach(registry.applyChange))
    await view.start()
    registry.register()
    return Object.assign(registry, { store })
  }))
  await clock.advance(1_000)
  return { clock, registries }
}

test('a node that was not heard for 30 s is no longer registered, so that no share of a quota is left to it', async t => {
  const { clock, registries: [holder, other, , gone] } = await setUp(4)
  gone!.close()
  t.is(holder!.peers().length, 3)
  for (let second = 0; second < 40; second += 1) {
    await holder!.removeDeparted([idOf(1), idOf(2)], guard)
    await clock.advance(1_000)
    if (second === 25) t.is(other!.peers().length, 3)
  }
  t.deepEqual(other!.peers().map(({ node }) => node).toSorted(), [idOf(0), idOf(2)])
})

test('a node whose registration was deleted although it runs registers again', async t => {
  const { clock, registries: [holder, , , silent] } = await setUp(4)
  const counts = new Set<number>()
  for (let second = 0; second < 40; second += 1) {
    await holder!.removeDeparted([idOf(1), idOf(2)], guard)
    await clock.advance(200)
    counts.add(holder!.peers().length)
    await clock.advance(800)
  }
  t.deepEqual([...counts].toSorted(), [2, 3])
  t.is(holder!.peers().length, 3)
  silent!.close()
})

test('a registration that can not be read names no node, and the others hold', async t => {
  const { clock, registries: [holder, other] } = await setUp(3)
  const values = ['{"node":', 'null', '7', '{}', '{"node":"x","host":5,"linkMbps":1,"reportPort":1,"viewPort":1}', '{"node":"y","host":"h","linkMbps":1,"reportPort":"1","viewPort":1}']
  const puts = values.map((value, index) => ({ key: `cyclamenshunt/nodes/broken-${index}`, value }))
  await holder!.store.transact({ compares: [], puts, deletes: [] }, { deadlineAtMs: clock.wallMs() + 1_000 })
  await clock.advance(1_000)
  t.deepEqual(other!.peers().map(({ node }) => node).toSorted(), [idOf(0), idOf(2)])
})

test('a registration whose address can not be used, or that is of another node, names no node', async t => {
  const { clock, registries: [holder, other] } = await setUp(3)
  const changes = [{}, { reportPort: 70_000 }, { reportPort: 0 }, { viewPort: 1.5 }, { linkMbps: -1 }, { host: '' }, { host: 'h'.repeat(10_000) }, { node: idOf(0) }]
  const puts = changes.map((change, index) => ({ key: `cyclamenshunt/nodes/odd-${index}`, value: JSON.stringify({ node: `odd-${index}`, host: 'h', linkMbps: 1, reportPort: 1, viewPort: 1, ...change }) }))
  await holder!.store.transact({ compares: [], puts, deletes: [] }, { deadlineAtMs: clock.wallMs() + 1_000 })
  await clock.advance(1_000)
  t.deepEqual(other!.peers().map(({ node }) => node).toSorted(), [idOf(0), idOf(2), 'odd-0'])
})

test('a holder that hears few of the nodes deletes nothing', async t => {
  const { clock, registries: [holder] } = await setUp(6)
  for (let second = 0; second < 60; second += 1) {
    await holder!.removeDeparted([idOf(1)], guard)
    await clock.advance(1_000)
  }
  t.is(holder!.peers().length, 5)
})
