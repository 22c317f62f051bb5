/** Which nodes collect the reports of a large fleet, and the sums that they answer with. */
import test from 'ava'
import { createManualClock } from '../../src/core/clock/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import { createCollectors, createSums } from '../../src/core/node-reports/index.ts'
import type { BackendId, NodeId, TeamId } from '../../src/core/ids/index.ts'
import type { Activity } from '../../src/core/node-reports/index.ts'

const idOf = (index: number) => toId<NodeId>(`node-${String(index).padStart(2, '0')}`)
const linkMbps = 10
const fleetOf = (count: number) => Array.from({ length: count }, (_, index) => ({ node: idOf(index), linkMbps }))
const drawByNumber = (text: string) => Number(text.slice(-2)) / 100
const team = toId<TeamId>('agency')
const engine = toId<BackendId>('i-1')

function collectorsOf (index: number, count: number) {
  const clock = createManualClock()
  const node = idOf(index)
  const others = fleetOf(count).filter(other => other.node !== node)
  return { clock, others, collectors: createCollectors({ node, linkMbps, clock, draw: drawByNumber }) }
}

function activityOf (quota: number, requests: number, hashes: string[] = []): Activity {
  return {
    quotaTaken: new Map([[team, { quota, tolerance: 0 }]]),
    loads: requests === 0 ? new Map() : new Map([[engine, { requests, pendingTokens: requests * 100 }]]),
    prefixes: hashes.length === 0 ? [] : [{ backend: engine, hashes }]
  }
}

test('in a small fleet each node reports to every other', t => {
  const { others, collectors } = collectorsOf(3, 9)
  const choice = collectors.choose(others, undefined)
  t.deepEqual(choice.always, others.map(({ node }) => node))
  t.is(choice.followed, undefined)
  t.true(choice.isCollector)
})

test('in a large fleet all nodes go by the same collector, and a second one and the duty holder stand by', t => {
  for (let index = 2; index < 60; index += 1) {
    const { others, collectors } = collectorsOf(index, 60)
    const holder = idOf(index === 30 ? 31 : 30)
    const choice = collectors.choose(others, holder)
    t.is(choice.followed, idOf(0))
    t.deepEqual([choice.always, choice.sometimes], [[idOf(0)], [idOf(1), holder]])
    t.false(choice.isCollector)
  }
  t.is(collectorsOf(0, 60).collectors.choose(fleetOf(60).slice(1), undefined).followed, undefined)
})

test('nodes with a large link collect before those with a small one', t => {
  const { others, collectors } = collectorsOf(9, 60)
  const mixed = others.map(({ node }, index) => ({ node, linkMbps: index >= 50 ? 140 : linkMbps }))
  t.is(collectors.choose(mixed, undefined).followed, mixed[50]?.node)
})

test('a collector that does not answer is passed over, and tried again later', async t => {
  const { clock, others, collectors } = collectorsOf(9, 60)
  for (let count = 0; count < 3; count += 1) collectors.asked(idOf(0))
  collectors.answered(idOf(1), false)
  t.is(collectors.choose(others, undefined).followed, idOf(1))
  t.false(collectors.choose(others, undefined).sometimes.includes(idOf(0)))
  await clock.advance(2_100)
  t.true(collectors.choose(others, undefined).sometimes.includes(idOf(0)))
  collectors.answered(idOf(0), false)
  t.is(collectors.choose(others, undefined).followed, idOf(0))
})

test('a collector that is about to stop is left before it is gone', t => {
  const { others, collectors } = collectorsOf(9, 60)
  collectors.answered(idOf(0), true)
  t.is(collectors.choose(others, undefined).followed, idOf(1))
})

test('a node hears of all others but itself, whatever restarts and falls silent', t => {
  const sums = createSums({ clock: createManualClock(), maxPrefixes: () => 24 })
  for (const index of [0, 1, 2]) sums.record(idOf(index), 'first', activityOf(1_000, index))
  sums.record(idOf(1), 'first', activityOf(1_300, 1))
  sums.record(idOf(2), 'first', activityOf(1_050, 2))
  sums.record(idOf(2), 'second', activityOf(40, 5))
  // What was taken before a node was first heard isn't counted, and what each took itself is left out.
  t.is(sums.others(idOf(0)).quotaTaken.get(team)?.quota, 390)
  t.is(sums.others(idOf(1)).quotaTaken.get(team)?.quota, 90)
  t.is(sums.others(idOf(0)).loads.get(engine)?.requests, 6)
  t.is(sums.others(idOf(2)).loads.get(engine)?.requests, 1)
  t.is(sums.countOthers(idOf(0)), 2)
  sums.forget(idOf(2))
  t.is(sums.others(idOf(0)).quotaTaken.get(team)?.quota, 390)
  t.is(sums.others(idOf(0)).loads.get(engine)?.requests, 1)
  t.is(sums.countOthers(idOf(0)), 1)
})

test('a prefix is told once to each node until it is old, and never to the one that sent it', async t => {
  const clock = createManualClock()
  const sums = createSums({ clock, maxPrefixes: () => 24 })
  sums.record(idOf(1), 'first', activityOf(0, 1, ['a', 'b']))
  sums.record(idOf(1), 'first', activityOf(0, 1, ['a', 'b']))
  t.deepEqual(sums.others(idOf(2)).prefixes, [{ backend: engine, hashes: ['a', 'b'] }])
  t.deepEqual(sums.others(idOf(2)).prefixes, [])
  t.deepEqual(sums.others(idOf(1)).prefixes, [])
  await clock.advance(10_100)
  sums.record(idOf(1), 'first', activityOf(0, 1, ['a', 'b']))
  t.is(sums.others(idOf(2)).prefixes.length, 1)
})
