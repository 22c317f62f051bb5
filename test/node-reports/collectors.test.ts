/** The choice of collectors in a large cluster, and the totals that collectors maintain. */
import test from 'ava'
import { createManualClock } from '../../src/core/clock/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import { createCollectors, createActivityTotals } from '../../src/core/node-reports/index.ts'
import type { BackendId, NodeId, TeamId } from '../../src/core/ids/index.ts'
import type { Activity, SuspectCounts } from '../../src/core/node-reports/index.ts'

const idOf = (index: number) => toId<NodeId>(`node-${String(index).padStart(2, '0')}`)
const linkMbps = 10
const clusterOf = (count: number) => Array.from({ length: count }, (_, index) => ({ node: idOf(index), linkMbps }))
const drawByNumber = (text: string) => Number(text.slice(-2)) / 100
const team = toId<TeamId>('agency')
const engine = toId<BackendId>('i-1')

function collectorsOf (index: number, count: number) {
  const clock = createManualClock()
  const node = idOf(index)
  const others = clusterOf(count).filter(other => other.node !== node)
  return { clock, others, collectors: createCollectors({ node, linkMbps, clock, draw: drawByNumber, takeoverAgeMs: 1_100 }) }
}

function activityOf (quota: number, requests: number, hashes: string[] = [], suspects = new Map<BackendId, SuspectCounts>()): Activity {
  return {
    quotaUsage: new Map([[team, { quota, tolerance: 0, asked: quota }]]),
    loads: requests === 0 ? new Map() : new Map([[engine, { requests, pendingTokens: requests * 100 }]]),
    prefixes: hashes.length === 0 ? [] : [{ backend: engine, hashes }],
    suspects
  }
}

test('in a small cluster each node reports to every other', t => {
  const { others, collectors } = collectorsOf(3, 9)
  const choice = collectors.choose(others, undefined)
  t.deepEqual(choice.everyReport, others.map(({ node }) => node))
  t.is(choice.digestSource, undefined)
  t.true(choice.isCollector)
})

test('in a large cluster all nodes use the same collector; a standby and the duty holder get every second report', t => {
  for (let index = 2; index < 60; index += 1) {
    const { others, collectors } = collectorsOf(index, 60)
    const holder = idOf(index === 30 ? 31 : 30)
    const choice = collectors.choose(others, holder)
    t.is(choice.digestSource, idOf(0))
    t.deepEqual([choice.everyReport, choice.everySecondReport], [[idOf(0)], [idOf(1), holder]])
    t.false(choice.isCollector)
  }
  t.is(collectorsOf(0, 60).collectors.choose(clusterOf(60).slice(1), undefined).digestSource, undefined)
})

test('nodes with a fast network link are preferred as collectors', t => {
  const { others, collectors } = collectorsOf(9, 60)
  const mixed = others.map(({ node }, index) => ({ node, linkMbps: index >= 50 ? 140 : linkMbps }))
  t.is(collectors.choose(mixed, undefined).digestSource, mixed[50]?.node)
})

test('a collector that does not respond is skipped and tried again later', async t => {
  const { clock, others, collectors } = collectorsOf(9, 60)
  for (let count = 0; count < 3; count += 1) collectors.onReportSent(idOf(0))
  collectors.onDigestReceived(idOf(1), false, 0)
  t.is(collectors.choose(others, undefined).digestSource, idOf(1))
  t.false(collectors.choose(others, undefined).everySecondReport.includes(idOf(0)))
  await clock.advance(2_100)
  t.true(collectors.choose(others, undefined).everySecondReport.includes(idOf(0)))
  collectors.onDigestReceived(idOf(0), false, 0)
  t.is(collectors.choose(others, undefined).digestSource, idOf(0))
})

test('a collector that is about to stop is replaced before it is gone', t => {
  const { others, collectors } = collectorsOf(9, 60)
  collectors.onDigestReceived(idOf(0), true, 0)
  t.is(collectors.choose(others, undefined).digestSource, idOf(1))
})

test('a collector that is about to stop uses the totals of the next one, since the others no longer report to it', t => {
  const { others, collectors } = collectorsOf(0, 60)
  t.like(collectors.choose(others, undefined, true), { everyReport: [idOf(1)], everySecondReport: [idOf(2)], digestSource: idOf(1), isCollector: false })
})

// While both collectors were cut off, each of the others would watch the service: 195 nodes and more for hundreds of reads a second.
test('the next nodes by rank watch the service in place of collectors without recent content, and are given back to them later', async t => {
  const { clock, others, collectors } = collectorsOf(9, 60)
  const receive = (index: number, contentAgeMs: number | undefined): void => {
    collectors.onReportSent(idOf(index))
    collectors.onDigestReceived(idOf(index), false, contentAgeMs)
  }
  for (const index of [0, 1]) receive(index, 10)
  t.deepEqual(collectors.choose(others, undefined).everySecondReport, [idOf(1)])
  await clock.advance(1_200)
  for (const index of [0, 1]) receive(index, 1_210)
  t.like(collectors.choose(others, undefined), { digestSource: idOf(0), everyReport: [idOf(0)], everySecondReport: [idOf(1), idOf(2), idOf(3)], isCollector: false, isWatcher: false })
  receive(2, undefined)
  receive(3, 20)
  await clock.advance(1_000)
  receive(3, 20)
  t.deepEqual(collectors.choose(others, undefined).everySecondReport, [idOf(1), idOf(3), idOf(4)])
  receive(0, 30)
  t.deepEqual(collectors.choose(others, undefined).everySecondReport, [idOf(1), idOf(3)])
  receive(1, 30)
  t.deepEqual(collectors.choose(others, undefined).everySecondReport, [idOf(1)])
})

test('a node takes its turn to watch the service by its rank', async t => {
  const { clock, others, collectors } = collectorsOf(3, 60)
  const receive = (index: number, contentAgeMs: number): void => {
    collectors.onReportSent(idOf(index))
    collectors.onDigestReceived(idOf(index), false, contentAgeMs)
  }
  for (const index of [0, 1]) receive(index, 10)
  t.false(collectors.choose(others, undefined).isWatcher)
  await clock.advance(1_200)
  for (const index of [0, 1]) receive(index, 1_210)
  t.true(collectors.choose(others, undefined).isWatcher)
  t.false(collectors.choose(others, undefined, true).isWatcher)
})

test('the totals for a node contain all other nodes, also after restarts and removals', t => {
  const totals = createActivityTotals({ clock: createManualClock(), maxPrefixes: () => 24 })
  for (const index of [0, 1, 2]) totals.record(idOf(index), 'first', activityOf(1_000, index))
  totals.record(idOf(1), 'first', activityOf(1_300, 1))
  totals.record(idOf(2), 'first', activityOf(1_050, 2))
  totals.record(idOf(2), 'second', activityOf(40, 5))
  // Usage in a node's first report isn't counted, and each node's own usage is excluded from its totals.
  t.is(totals.totalsExcept(idOf(0)).quotaUsage.get(team)?.quota, 390)
  t.is(totals.totalsExcept(idOf(1)).quotaUsage.get(team)?.quota, 90)
  t.is(totals.totalsExcept(idOf(0)).loads.get(engine)?.requests, 6)
  t.is(totals.totalsExcept(idOf(2)).loads.get(engine)?.requests, 1)
  t.is(totals.nodeCountExcept(idOf(0)), 2)
  totals.remove(idOf(2))
  t.is(totals.totalsExcept(idOf(0)).quotaUsage.get(team)?.quota, 390)
  t.is(totals.totalsExcept(idOf(0)).loads.get(engine)?.requests, 1)
  t.is(totals.nodeCountExcept(idOf(0)), 1)
})

test('a prefix is included once for each node until the repeat interval has passed, and never for its sender', async t => {
  const clock = createManualClock()
  const totals = createActivityTotals({ clock, maxPrefixes: () => 24 })
  totals.record(idOf(1), 'first', activityOf(0, 1, ['a', 'b']))
  totals.record(idOf(1), 'first', activityOf(0, 1, ['a', 'b']))
  t.deepEqual(totals.totalsExcept(idOf(2)).prefixes, [{ backend: engine, hashes: ['a', 'b'] }])
  t.deepEqual(totals.totalsExcept(idOf(2)).prefixes, [])
  t.deepEqual(totals.totalsExcept(idOf(1)).prefixes, [])
  await clock.advance(10_100)
  totals.record(idOf(1), 'first', activityOf(0, 1, ['a', 'b']))
  t.is(totals.totalsExcept(idOf(2)).prefixes.length, 1)
})

test('the totals count the other nodes that suspect a backend server', t => {
  const totals = createActivityTotals({ clock: createManualClock(), maxPrefixes: () => 24 })
  for (const index of [0, 1]) totals.record(idOf(index), 'first', activityOf(0, 0, [], new Map([[engine, { suspecting: 1, hearing: 0 }]])))
  totals.record(idOf(2), 'first', activityOf(0, 0))
  t.is(totals.totalsExcept(idOf(2)).suspects.get(engine)?.suspecting, 2)
  t.is(totals.totalsExcept(idOf(0)).suspects.get(engine)?.suspecting, 1)
  totals.record(idOf(0), 'first', activityOf(0, 0))
  t.is(totals.totalsExcept(idOf(2)).suspects.get(engine)?.suspecting, 1)
})
