/** Backend servers that stop responding, as many nodes learn of it from each other. */
import test from 'ava'
import { createManualClock } from '../../src/core/clock/index.ts'
import { createBackendTable } from '../../src/core/gateway/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import { createSilentLog } from '../../src/core/log/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createActivityTotals } from '../../src/core/node-reports/index.ts'
import { createRegistrationTimes } from '../../src/core/registrations/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import type { ManualClock } from '../../src/core/clock/index.ts'
import type { BackendTableOptions } from '../../src/core/gateway/backend-table.ts'
import type { BackendEntry, BackendTable } from '../../src/core/gateway/index.ts'
import type { BackendId, DomainId, NodeId, VersionId } from '../../src/core/ids/index.ts'

const service = 'engines'
const registrationTimes = createRegistrationTimes(1_200)
const noLimits: BackendTableOptions['limits'] = { recordRegistration: () => {}, removeRegistration: () => {}, hasPermit: () => true, recordSkipped: () => {}, isLimited: () => false, endedAtMs: () => -Infinity, onRefused: () => 0 }
const peer = toId<NodeId>('peer')
const idOf = (index: number) => toId<BackendId>(`engine-${index}`)

function createTable (clock: ManualClock, backendCount: number, random = () => 0.5, changes: Partial<BackendTableOptions> = {}): BackendTable {
  const table = createBackendTable({ clock, log: createSilentLog(), metrics: createMetrics(), limits: noLimits, random, versionRolesOf: () => () => 'serving', maxPauseMs: 30_000, onRemoved: () => {}, registrationTimes, registrationRevision: () => undefined, seesRenewals: () => true, ...changes })
  for (let index = 0; index < backendCount; index += 1) {
    table.put(entryOf(index))
  }
  return table
}

function entryOf (index: number, changes: Partial<BackendEntry> = {}): BackendEntry {
  return {
    id: idOf(index),
    service,
    address: { host: '10.0.0.1', port: 1_000 + index },
    domain: toId<DomainId>('a'),
    version: toId<VersionId>('v1'),
    slots: 1,
    isLeaving: false,
    warmUpMs: 0,
    isReclaimable: false,
    startedAtMs: 1_000,
    ...changes
  }
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

test('a backend server that said that it is leaving gets no requests until a new start of it registers, however often its entry changes', async t => {
  const clock = createManualClock()
  const table = createTable(clock, 2)
  table.markLeaving(idOf(0))
  table.put(entryOf(0, { slots: 2 }))
  table.recordActivity(idOf(0))
  await clock.advance(60_000)
  t.deepEqual(usableIds(table), [idOf(1)])
  t.true(table.entries(service).find(({ id }) => id === idOf(0))?.isLeaving, 'ordering counts it as leaving')
  table.put(entryOf(0, { startedAtMs: 2_000 }))
  t.is(usableIds(table).length, 2)
})

test('a node learns from others which backend servers are leaving, but not for a later start', t => {
  const [own, other] = [createTable(createManualClock(), 3), createTable(createManualClock(), 3)]
  other.markLeaving(idOf(1))
  t.deepEqual(other.heardLeaving(), [{ backend: idOf(1), startedAtMs: 1_000 }])
  own.put(entryOf(2, { startedAtMs: 5_000 }))
  own.setPeerLeaving([...other.heardLeaving(), { backend: idOf(2), startedAtMs: 1_000 }])
  t.deepEqual(usableIds(own), [idOf(0), idOf(2)])
  t.deepEqual(own.heardLeaving(), [], 'only what a node heard itself is reported')
})

test('a paused backend server gets nothing until the end of its pause, and then gradually more', async t => {
  const clock = createManualClock()
  const random = createRandom(5)
  const table = createTable(clock, 2, random)
  table.pause(idOf(0), 3_000)
  const countUses = (): number => Array.from({ length: 200 }, () => table.usable(service)).filter(usable => usable.some(({ id }) => id === idOf(0))).length
  await clock.advance(2_990)
  t.is(countUses(), 0)
  await clock.advance(510)
  const early = countUses()
  await clock.advance(1_000)
  const late = countUses()
  t.true(early > 20 && early < 90, `${early} of 200 after 0.5 s`)
  t.true(late > 120 && late < 200, `${late} of 200 after 1.5 s`)
  await clock.advance(1_000)
  t.is(countUses(), 200)
})

test('a pause is no suspicion, is never shortened, and has an upper bound', async t => {
  const clock = createManualClock()
  const table = createTable(clock, 1)
  table.pause(idOf(0), 10_000_000)
  table.pause(idOf(0), 10)
  t.is(table.allPausedForMs(service), 30_000)
  t.deepEqual(usableIds(table), [])
  t.is(table.suspects().size, 0)
  await clock.advance(30_000)
  t.is(table.allPausedForMs(service), undefined)
  t.is(usableIds(table).length, 1)
})

test('all backend servers of a service are paused only while none of the live ones is left', async t => {
  const clock = createManualClock()
  const table = createTable(clock, 3)
  table.pause(idOf(0), 4_000)
  table.markLeaving(idOf(2))
  t.is(table.allPausedForMs(service), undefined)
  table.pause(idOf(1), 2_000)
  t.is(table.allPausedForMs(service), 2_000)
  t.deepEqual([...table.ineligibleCounts().get(service) ?? []].toSorted(), [['leaving', 1], ['paused', 2]])
})

test('a backend server whose entry expires and returns keeps its pause and still leaves, and its next start does not', async t => {
  const clock = createManualClock()
  const table = createTable(clock, 3)
  table.pause(idOf(0), 4_000)
  table.markLeaving(idOf(1))
  for (const index of [0, 1]) {
    table.remove(idOf(index), 'expired')
    table.put(entryOf(index))
  }
  t.deepEqual(usableIds(table), [idOf(2)])
  t.deepEqual(table.heardLeaving().map(({ backend }) => backend), [idOf(1)])
  await clock.advance(7_000)
  t.deepEqual(usableIds(table).toSorted(), [idOf(0), idOf(2)])
  table.pause(idOf(0), 4_000)
  for (const index of [0, 1]) {
    table.remove(idOf(index), 'expired')
    table.put(entryOf(index, { startedAtMs: 2_000 }))
  }
  t.is(usableIds(table).length, 3)
})

test('a backend server that had left is still leaving when the key-value service is restored with its earlier entry', async t => {
  const clock = createManualClock()
  const table = createTable(clock, 3)
  table.put(entryOf(0, { isLeaving: true }))
  table.remove(idOf(0), 'gone')
  table.remove(idOf(1), 'expired')
  table.put(entryOf(2, { isLeaving: true }))
  for (const index of [0, 1, 2]) table.put(entryOf(index), true)
  t.deepEqual(usableIds(table), [], 'the expired one must show that it is there')
  await clock.advance(5_000)
  t.deepEqual(usableIds(table), [idOf(1)])
})

// Guards against requests to a paused server after a restore whose copy has the registration of its earlier start.
test('what a backend server said of itself holds when the key-value service is restored with its earlier start', async t => {
  const clock = createManualClock()
  const table = createTable(clock, 3)
  for (const index of [0, 1]) table.put(entryOf(index, { startedAtMs: 3_000 }))
  table.pause(idOf(0), 3_000)
  table.markLeaving(idOf(1))
  for (const index of [0, 1]) table.put(entryOf(index, { startedAtMs: 2_000 }), true)
  t.deepEqual(usableIds(table), [idOf(2)], 'the copy')
  table.pause(idOf(0), 5_000)
  for (const index of [0, 1]) table.put(entryOf(index, { startedAtMs: 3_000 }))
  await clock.advance(4_000)
  t.deepEqual(usableIds(table), [idOf(2)], 'registered again')
  await clock.advance(4_000)
  t.deepEqual(usableIds(table).toSorted(), [idOf(0), idOf(2)], 'the pause is over')
  for (const index of [0, 1]) table.put(entryOf(index, { startedAtMs: 4_000 }), true)
  t.is(usableIds(table).length, 3, 'a later start')
})

test('a version has no servers left when all of its are leaving, misdirected or removed', t => {
  const table = createTable(createManualClock(), 3)
  const [old, target] = [toId<VersionId>('v1'), toId<VersionId>('v2')]
  table.put(entryOf(3, { version: target }))
  for (const index of [0, 1, 2, 3]) table.recordActivity(idOf(index))
  t.is(table.otherVersionPresence(service, target), 'running')
  table.put(entryOf(0, { isLeaving: true }))
  table.markMisdirected(idOf(1))
  t.is(table.otherVersionPresence(service, target), 'running')
  table.remove(idOf(2), 'test')
  t.is(table.otherVersionPresence(service, target), 'absent')
  t.is(table.otherVersionPresence(service, old), 'running')
})

test('a replaced backend server gets requests only while it has a permit and no other takes requests again soon', t => {
  const permits = new Set<BackendId>()
  const limits: BackendTableOptions['limits'] = { ...noLimits, hasPermit: ({ id }) => permits.has(id), isLimited: ({ id }) => !permits.has(id), onRefused: (_service, { length }) => length }
  const table = createTable(createManualClock(), 2, () => 0.5, { limits, versionRolesOf: () => version => version === 'v0' ? 'replaced' : 'serving' })
  table.put(entryOf(0, { version: toId<VersionId>('v0') }))
  t.deepEqual(usableIds(table), [], 'none has a permit')
  permits.add(idOf(0))
  t.deepEqual(usableIds(table), [], 'the other one has a permit soon')
  t.is(table.allLimitedForMs(service, { rank: 0, isRetry: false }, new Set()), 1, 'only the other one counts')
  table.markLeaving(idOf(1))
  t.deepEqual(usableIds(table), [idOf(0)])
  permits.clear()
  t.deepEqual(usableIds(table), [])
})

test('a backend server counts as new when it appears, reappears or starts again, but not after each renewal or when the node has just started', t => {
  const recorded: string[] = []
  let hasJustStarted = true
  const limits: BackendTableOptions['limits'] = { ...noLimits, recordRegistration: ({ startedAtMs }, { hasAppeared }) => { recorded.push(`${startedAtMs} ${hasAppeared}`) }, removeRegistration: () => { recorded.push('removed') } }
  const table = createTable(createManualClock(), 0, () => 0.5, { limits, hasJustStarted: () => hasJustStarted })
  table.put(entryOf(0))
  hasJustStarted = false
  table.put(entryOf(0, { warmUpMs: 900 }))
  table.put(entryOf(0, { startedAtMs: 2_000 }))
  table.remove(idOf(0), 'test')
  table.put(entryOf(0, { startedAtMs: 2_000 }))
  t.deepEqual(recorded, ['1000 false', '1000 false', 'removed', '2000 true', 'removed', '2000 true'])
})

/** A table with one backend server of an old version, as its registration in the key-value service changes. */
function createRegistered (renewalMs: number, changes: Partial<BackendTableOptions> = {}) {
  const clock = createManualClock()
  const registration = { revision: 10 }
  const times = createRegistrationTimes(renewalMs)
  const table = createTable(clock, 1, () => 0.5, { registrationTimes: times, registrationRevision: () => registration.revision, ...changes })
  table.resetProofs()
  return { clock, registration, table, times, presence: () => table.otherVersionPresence(service, toId<VersionId>('v2')) }
}

// Guards against a decision for good that rests on the registration of a stopped server, which came back with an older copy.
test('a registration proves that its server runs once it is renewed after a restore, or the server answers', async t => {
  for (const renewalMs of [500, 1_200, 5_000]) {
    const { clock, registration, table, times, presence } = createRegistered(renewalMs)
    t.is(presence(), 'registered')
    registration.revision += 1
    t.is(presence(), 'registered', 'what was lost is written again, also for stopped servers')
    await clock.advance(2_000)
    t.is(presence(), 'registered')
    registration.revision += 1
    t.is(presence(), 'running')
    await clock.advance(60_000)
    t.is(presence(), 'running')
    table.resetProofs()
    t.is(presence(), 'registered', 'another restore')
    t.false(table.areRegistrationsSettled())
    table.recordActivity(idOf(0))
    t.is(presence(), 'running')
    await clock.advance(times.settleMs)
    t.true(table.areRegistrationsSettled())
  }
})

test('an unreachable server whose registration is never renewed does not count as present', async t => {
  const { clock, table, presence } = createRegistered(2_000)
  await clock.advance(6_000)
  t.is(presence(), 'registered')
  table.markSuspect(idOf(0), 'refused')
  t.is(presence(), 'absent')
})

test('an unreachable server counts as present if it renews its registration, or this node does not see renewals', async t => {
  const renewing = createRegistered(2_000)
  renewing.table.markSuspect(idOf(0), 'refused')
  await renewing.clock.advance(2_000)
  renewing.presence()
  renewing.registration.revision += 1
  t.is(renewing.presence(), 'running')
  const unseen = createRegistered(2_000, { seesRenewals: () => false })
  unseen.table.markSuspect(idOf(0), 'refused')
  await unseen.clock.advance(20_000)
  t.is(unseen.presence(), 'registered')
})

test('another start of a server under the same id has to prove that it runs', t => {
  const { table, presence } = createRegistered(1_200)
  table.recordActivity(idOf(0))
  t.is(presence(), 'running')
  table.put(entryOf(0, { startedAtMs: 2_000 }))
  t.is(presence(), 'registered')
})
