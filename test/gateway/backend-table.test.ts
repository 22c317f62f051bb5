/** Backend servers that stop responding, as many nodes learn of it from each other. */
import test from 'ava'
import { createManualClock } from '../../src/core/clock/index.ts'
import { createBackendTable } from '../../src/core/gateway/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import { createSilentLog } from '../../src/core/log/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createActivityTotals } from '../../src/core/node-reports/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import type { ManualClock } from '../../src/core/clock/index.ts'
import type { BackendTable } from '../../src/core/gateway/index.ts'
import type { BackendId, DomainId, NodeId, VersionId } from '../../src/core/ids/index.ts'

const service = 'engines'
const peer = toId<NodeId>('peer')
const idOf = (index: number) => toId<BackendId>(`engine-${index}`)

function createTable (clock: ManualClock, backendCount: number, random = () => 0.5): BackendTable {
  const table = createBackendTable({ clock, log: createSilentLog(), metrics: createMetrics(), random, canaryVersionOf: () => undefined, onRemoved: () => {} })
  for (let index = 0; index < backendCount; index += 1) {
    table.put({
      id: idOf(index),
      service,
      address: { host: '10.0.0.1', port: 1_000 + index },
      domain: toId<DomainId>('a'),
      version: toId<VersionId>('v1'),
      slots: 1,
      isLeaving: false,
      warmUpMs: 0,
      isReclaimable: false
    })
  }
  return table
}

const suspectedBy = (suspecting: number, hearing = 0) => new Map([[idOf(0), { suspecting, hearing }]])
const usableIds = (table: BackendTable) => table.usable(service).map(({ id }) => id)

test('a node avoids a backend server that two others suspect, until their suspicion ends or is too old', async t => {
  const clock = createManualClock()
  const table = createTable(clock, 2)
  await clock.advance(2_000)
  table.setPeerSuspects(peer, suspectedBy(1))
  t.is(usableIds(table).length, 2)
  table.setPeerSuspects(peer, suspectedBy(2))
  t.deepEqual(usableIds(table), [idOf(1)])
  await clock.advance(2_000)
  t.is(usableIds(table).length, 2)
  table.setPeerSuspects(peer, suspectedBy(2))
  table.setPeerSuspects(peer, new Map())
  t.is(usableIds(table).length, 2)
})

test('a node that recently received something from a backend server, or that tries it again itself, ignores the suspicions of others', async t => {
  const clock = createManualClock()
  const table = createTable(clock, 2)
  await clock.advance(2_000)
  table.recordActivity(idOf(0))
  table.markSuspect(idOf(1), 'test')
  await clock.advance(300)
  const counts = { suspecting: 5, hearing: 0 }
  table.setPeerSuspects(peer, new Map([[idOf(0), counts], [idOf(1), counts]]))
  t.is(usableIds(table).length, 2)
})

test('a backend server that some nodes can\'t reach stays in use if another node hears from it', async t => {
  const clock = createManualClock()
  const [table, hearing] = [createTable(clock, 2), createTable(clock, 2)]
  await clock.advance(2_000)
  table.setPeerSuspects(peer, suspectedBy(3, 1))
  t.is(usableIds(table).length, 2)
  hearing.setPeerSuspects(peer, suspectedBy(3))
  hearing.recordActivity(idOf(0))
  t.deepEqual(hearing.suspects(), suspectedBy(0, 1))
})

test('now and then a node tries a backend server that only others suspect', async t => {
  const clock = createManualClock()
  const table = createTable(clock, 2, () => 0)
  await clock.advance(2_000)
  table.setPeerSuspects(peer, suspectedBy(3))
  t.is(usableIds(table).length, 2)
})

test('backend servers are used although all are suspected', t => {
  const table = createTable(createManualClock(), 2)
  for (const index of [0, 1]) table.markSuspect(idOf(index), 'test')
  t.is(usableIds(table).length, 2)
})

/** Plays 300 requests a second through many nodes while some backend servers are silent for 5 s; returns how many requests these get. */
async function countLostRequests (isShared: boolean): Promise<number> {
  const nodeCount = 195
  const backendCount = 55
  const silentCount = 9
  const requestsPerSecond = 300
  const discoveryMs = 400
  const reportIntervalMs = 300
  const clock = createManualClock()
  const random = createRandom(41)
  const tables = Array.from({ length: nodeCount }, () => createTable(clock, backendCount, random))
  const totals = createActivityTotals({ clock, maxPrefixes: () => 0 })
  await clock.advance(5_000)
  let lost = 0
  const discoveries: Array<{ atMs: number, table: BackendTable, id: BackendId }> = []
  const stepMs = 1_000 / requestsPerSecond
  let nextReport = 0
  for (let atMs = 0; atMs < 5_000; atMs += stepMs) {
    for (; nextReport * reportIntervalMs / nodeCount <= atMs; nextReport += 1) {
      const node = toId<NodeId>(`node-${nextReport % nodeCount}`)
      const table = tables[nextReport % nodeCount] as BackendTable
      totals.record(node, 'boot', { quotaUsage: new Map(), loads: new Map(), prefixes: [], suspects: table.suspects() })
      if (isShared) table.setPeerSuspects(peer, totals.totalsExcept(node).suspects)
    }
    while ((discoveries[0]?.atMs ?? Infinity) <= atMs) {
      const discovery = discoveries.shift()
      discovery?.table.markSuspect(discovery.id, 'no response')
    }
    const table = tables[Math.floor(random() * nodeCount)] as BackendTable
    const usable = usableIds(table)
    const id = usable[Math.floor(random() * usable.length)] as BackendId
    if (Number(id.split('-')[1]) < silentCount) {
      lost += 1
      discoveries.push({ atMs: atMs + discoveryMs, table, id })
    } else {
      table.recordActivity(id)
    }
    await clock.advance(stepMs)
  }
  return lost
}

test('silent backend servers get few requests once some of 195 nodes have found out', async t => {
  const [alone, shared] = [await countLostRequests(false), await countLostRequests(true)]
  t.log('requests to silent backend servers in 5 s: each node by itself', alone, 'with reports of the others', shared)
  t.true(shared < alone / 3, `${shared} of ${alone}`)
})
