/** The time within which a change reaches every node that the key-value service responds to, whichever others it doesn't respond to. */
import test from 'ava'
import { reportIntervalMs } from '../../src/core/node-reports/index.ts'
import { createPropagationTimes, serviceResponseMs, watchBatchDelayMs } from '../../src/core/store-view/index.ts'
import { createPropagationCluster } from './propagation-cluster.ts'
import type { Treatment } from './propagation-cluster.ts'

test('a node without recent content from others has read the service before the bound', t => {
  for (let boundMs = 100; boundMs < 10_000; boundMs += 100) {
    const { longPollMs, takeoverAgeMs, maxPeerContentAgeMs } = createPropagationTimes({ boundMs, reportIntervalMs })
    t.true(maxPeerContentAgeMs + serviceResponseMs < Math.max(boundMs, serviceResponseMs + 1))
    if (maxPeerContentAgeMs === 0) continue
    const calmAgeMs = longPollMs + watchBatchDelayMs + longPollMs
    t.true(calmAgeMs < takeoverAgeMs && takeoverAgeMs < maxPeerContentAgeMs)
  }
  t.is(createPropagationTimes({ boundMs: 1_000, reportIntervalMs }).maxPeerContentAgeMs, 0)
  t.true(createPropagationTimes({ boundMs: 2_000, reportIntervalMs }).maxPeerContentAgeMs > 0)
})

interface Case {
  name: string
  /** Nodes that the service doesn't respond to, by their rank, from the given times after the cut on. */
  steps: Array<{ atMs: number, indexes: number[], treatment: Treatment }>
}

const cutForMs = 7_000
const bothCollectors = [0, 1]
const third = [0, 1, 3, 6, 8, 11]
const cases: Case[] = [
  ...(['silent', 'reject', 'late'] as const).flatMap(treatment => [
    { name: `both collectors: ${treatment}`, steps: [{ atMs: 0, indexes: bothCollectors, treatment }] },
    { name: `the first collector: ${treatment}`, steps: [{ atMs: 0, indexes: [0], treatment }] },
    { name: `the second collector: ${treatment}`, steps: [{ atMs: 0, indexes: [1], treatment }] },
    { name: `a third of all nodes, with both collectors: ${treatment}`, steps: [{ atMs: 0, indexes: third, treatment }] }
  ]),
  { name: 'the collectors, and then the nodes that took over', steps: [{ atMs: 0, indexes: bothCollectors, treatment: 'silent' }, { atMs: 3_000, indexes: bothCollectors, treatment: 'serve' }, { atMs: 3_000, indexes: [2, 3], treatment: 'silent' }] }
]
/** Times of changes from the beginning of the cut on, none of them a multiple of the nodes' intervals. */
const changeTimesMs = [-130, 20, 200, 1_010, 2_030, 3_350, 4_070, 5_190]

// 2026-12-07: collectors that the store left without a response told each other that they reach it, and all nodes went on to use a leaving server.
for (const { name, steps } of cases) {
  test(`a change reaches all nodes in touch in time while the service doesn't serve ${name}`, async t => {
    for (const [count, boundMs] of [[18, 2_000], [40, 3_000]] as const) {
      for (const hasOtherChanges of [false, true]) {
        const cluster = createPropagationCluster(count, boundMs)
        const { clock } = cluster
        await clock.advance(8_000)
        const cutAtMs = clock.monotonicMs() + 1_000
        const refused = new Set(steps.flatMap(({ indexes }) => indexes))
        const inTouch = cluster.nodes.flatMap((_, index) => refused.has(index) ? [] : [index])
        const actions = [
          ...steps.map(({ atMs, indexes, treatment }) => ({ atMs, act: () => cluster.treat(indexes, treatment) })),
          ...changeTimesMs.map(atMs => ({ atMs, act: () => cluster.put(`change ${atMs}`) })),
          ...(hasOtherChanges ? Array.from({ length: 40 }, (_, index) => ({ atMs: index * 173, act: () => cluster.put(`other ${index}`) })) : []),
          { atMs: cutForMs, act: () => cluster.treat([...refused], 'serve') }
        ].sort((a, b) => a.atMs - b.atMs)
        for (const { atMs, act } of actions) {
          await clock.advance(cutAtMs + atMs - clock.monotonicMs())
          act()
        }
        await clock.advance(2_000)
        const slowest = changeTimesMs.map(atMs => Math.round(cluster.slowestMs(`change ${atMs}`, cutAtMs + atMs, inTouch)))
        t.true(Math.max(...slowest) <= boundMs, `${count} nodes, ${hasOtherChanges ? 'other' : 'no other'} changes: ${slowest.join(', ')} ms`)
        await clock.advance(6_000)
        t.deepEqual(cluster.nodes.flatMap(({ choice }, index) => choice().isWatcher ? [index] : []), bothCollectors)
        cluster.close()
      }
    }
  })
}

test('on a calm day only the collectors watch the service', async t => {
  for (const [count, boundMs] of [[18, 2_000], [84, 3_000], [195, 4_000]] as const) {
    const cluster = createPropagationCluster(count, boundMs)
    await cluster.clock.advance(5_000)
    cluster.calls.watch = 0
    await cluster.clock.advance(10_000)
    const polls = Math.ceil(10_000 / cluster.times.longPollMs)
    t.true(cluster.calls.watch <= 2 * polls + 2, `${count} nodes: ${cluster.calls.watch} polls`)
    t.deepEqual(cluster.nodes.flatMap(({ view }, index) => view.isWatching() ? [index] : []), [0, 1])
    cluster.close()
  }
})

test('while both collectors are cut off, the next nodes by rank watch the service, and not all', async t => {
  const cluster = createPropagationCluster(84, 3_000)
  await cluster.clock.advance(8_000)
  cluster.treat(bothCollectors, 'silent')
  await cluster.clock.advance(4_500)
  cluster.calls.watch = 0
  await cluster.clock.advance(2_000)
  t.deepEqual(cluster.nodes.slice(2).flatMap(({ view }, index) => view.isWatching() ? [index + 2] : []), [2, 3])
  t.true(cluster.calls.watch <= 20, `${cluster.calls.watch} polls`)
  cluster.close()
})

test('while the service responds to no node, the reports of each go to a few others', async t => {
  const cluster = createPropagationCluster(84, 3_000)
  await cluster.clock.advance(8_000)
  cluster.treat(cluster.nodes.map((_, index) => index), 'reject')
  await cluster.clock.advance(10_000)
  t.true(cluster.nodes.every(({ choice }) => choice().everyReport.length + choice().everySecondReport.length <= 8))
  cluster.treat(cluster.nodes.map((_, index) => index), 'serve')
  await cluster.clock.advance(6_000)
  t.deepEqual(cluster.nodes.flatMap(({ view }, index) => view.isWatching() ? [index] : []), [0, 1])
  cluster.close()
})
