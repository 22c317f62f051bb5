/** What nodes decide together about prompts that crash backend servers, over restarts, cuts and changes of the key-value service. */
import test from 'ava'
import { createCluster, partsOf, quarantineKey, service } from './cluster.ts'
import { toId } from '../../src/core/ids/index.ts'
import type { BackendId } from '../../src/core/ids/index.ts'
import type { Admittance, QuarantineRecord } from '../../src/core/quarantine/index.ts'

const tenMinutesMs = 10 * 60 * 1_000
const twoBackends = () => [{ id: toId<BackendId>('live-1') }, { id: toId<BackendId>('live-2') }]
const noDeadline = { deadlineAtMs: Infinity }

type Cluster = Awaited<ReturnType<typeof createCluster>>

function ask ({ nodes }: Cluster, index: number, names: string[], isRetryAfterCrash = false): Promise<Admittance> {
  return nodes[index]!.quarantine.admit({ service, features: partsOf(...names), isRetryAfterCrash, liveBackends: twoBackends, signal: new AbortController().signal })
}

/** Asks all nodes at once and lets time pass until all have decided. */
async function askAll (cluster: Cluster, names: string[], isRetryAfterCrash = false): Promise<Admittance[]> {
  const asked = Promise.all(cluster.nodes.map((_, index) => ask(cluster, index, names, isRetryAfterCrash)))
  await cluster.run(1_000)
  return await asked
}

function countAdmitted (answers: readonly Admittance[]): number {
  return answers.filter(({ kind }) => kind === 'admitted').length
}

test('all nodes refuse a prompt after three crashes that no node saw by itself, and admit prompts with its other parts', async t => {
  const cluster = await createCluster(9)
  await cluster.quarantinePart('bad')
  t.deepEqual((await askAll(cluster, ['new', 'bad'])).map(answer => answer.kind === 'refused' && answer.reason), Array(9).fill('prompt-quarantined'))
  t.is(countAdmitted(await askAll(cluster, ['bad-first-0', 'document'])), 9)
})

test('few requests with a suspected prompt are under way over all nodes', async t => {
  const cluster = await createCluster(9)
  cluster.crash(0, 'first', 'suspected')
  await cluster.run(400)
  t.true(countAdmitted(await askAll(cluster, ['first', 'suspected'])) <= 4)
  t.is(countAdmitted(await askAll(cluster, ['other', 'suspected'])), 9)
})

test('a request under which a server crashed is sent again only once its parts were answered', async t => {
  const cluster = await createCluster(9)
  cluster.crash(0, 'first', 'suspected')
  await cluster.run(400)
  t.is(countAdmitted(await askAll(cluster, ['first', 'suspected'], true)), 0)
  for (const { quarantine } of cluster.nodes.slice(4, 6)) quarantine.recordAnswer(service, partsOf('first', 'suspected'))
  await cluster.run(400)
  t.is(countAdmitted(await askAll(cluster, ['first', 'suspected'], true)), 9)
})

test('a quarantine lasts over the restart of all nodes, and over a key-value service that is away at first', async t => {
  const cluster = await createCluster(9)
  await cluster.quarantinePart('bad')
  for (const index of cluster.nodes.keys()) cluster.restart(index)
  t.false(cluster.isRefused(5, 'new', 'bad'))
  await cluster.nodes[5]!.readStore()
  t.true(cluster.isRefused(5, 'new', 'bad'))
  await cluster.run(400)
  t.true(cluster.nodes.every((_, index) => cluster.isRefused(index, 'new', 'bad')))
})

test('a node that joins late or was cut off learns of a quarantine from the others within two seconds', async t => {
  const cluster = await createCluster(9)
  cluster.cutOff.add(8)
  await cluster.quarantinePart('bad')
  cluster.nodes[8]!.readStore = async () => {}
  cluster.nodes[7]!.readStore = async () => {}
  await cluster.run(10_000)
  cluster.restart(7)
  cluster.nodes[7]!.readStore = async () => {}
  cluster.cutOff.delete(8)
  await cluster.run(2_000)
  t.true(cluster.isRefused(7, 'new', 'bad'))
  t.true(cluster.isRefused(8, 'new', 'bad'))
})

test('when a quarantine ends, one request over all nodes is sent as a trial, and its answer releases the prompt everywhere', async t => {
  const cluster = await createCluster(9)
  await cluster.quarantinePart('bad')
  await cluster.clock.advance(tenMinutesMs)
  t.is(countAdmitted(await askAll(cluster, ['new', 'bad'])), 1)
  t.is(countAdmitted(await askAll(cluster, ['new', 'bad'])), 0)
  cluster.nodes[3]!.quarantine.recordAnswer(service, partsOf('new', 'bad'))
  await cluster.run(400)
  t.is(countAdmitted(await askAll(cluster, ['new', 'bad'])), 9)
})

test('a trial that crashes its server renews the quarantine for twice as long', async t => {
  const cluster = await createCluster(9)
  await cluster.quarantinePart('bad')
  await cluster.clock.advance(tenMinutesMs)
  t.is(countAdmitted(await askAll(cluster, ['new', 'bad'])), 1)
  cluster.crash(2, 'new', 'bad')
  await cluster.run(400)
  await cluster.clock.advance(tenMinutesMs + 60_000)
  t.is(countAdmitted(await askAll(cluster, ['new', 'bad'])), 0)
})

test('no trial is sent while the key-value service is away', async t => {
  const cluster = await createCluster(3)
  await cluster.quarantinePart('bad')
  await cluster.clock.advance(tenMinutesMs)
  for (const { store } of cluster.nodes) store.setFaults({ down: true })
  t.is(countAdmitted(await askAll(cluster, ['new', 'bad'])), 0)
})

test('an operator lifts a quarantine in the key-value service, and neither old evidence nor an older copy brings it back', async t => {
  const cluster = await createCluster(9)
  await cluster.quarantinePart('bad')
  const copy = cluster.memory.state.copy()
  const operator = cluster.memory.connect('operator')
  const stored = await operator.get(quarantineKey, noDeadline)
  const content = JSON.parse(stored.isOk ? stored.value.entry?.value ?? '' : '') as { records: Array<Record<string, unknown>> }
  const lifted = content.records.map(record => ({ ...record, state: 'lifted', changedAtMs: cluster.clock.wallMs() }))
  await operator.transact({ compares: [], puts: [{ key: quarantineKey, value: JSON.stringify({ records: lifted }) }], deletes: [] }, noDeadline)
  await cluster.run(600)
  t.is(countAdmitted(await askAll(cluster, ['new', 'bad'])), 9)
  cluster.memory.state.restore(copy)
  await cluster.run(1_000)
  t.is(countAdmitted(await askAll(cluster, ['new', 'bad'])), 9)
})

test('a quarantine that a node with a fast clock lifted returns when servers crash again', async t => {
  const cluster = await createCluster(3)
  await cluster.quarantinePart('bad')
  const [record] = cluster.nodes[0]!.quarantine.records()
  cluster.nodes[0]!.quarantine.mergeRecords([{ ...record!, state: 'lifted', changedAtMs: cluster.clock.wallMs() + 3_600_000, untilMs: cluster.clock.wallMs() + 7_200_000 }])
  await cluster.run(600)
  t.false(cluster.isRefused(1, 'new', 'bad'))
  await cluster.quarantinePart('bad')
  t.true(cluster.nodes.every((_, index) => cluster.isRefused(index, 'new', 'bad')))
})

test('an answer of a request that was under way releases a prompt that was quarantined by mistake', async t => {
  const cluster = await createCluster(9)
  await cluster.quarantinePart('sound')
  t.true(cluster.isRefused(4, 'sound'))
  for (const { quarantine } of cluster.nodes.slice(0, 2)) quarantine.recordAnswer(service, partsOf('sound'))
  await cluster.run(400)
  t.true(cluster.nodes.every((_, index) => !cluster.isRefused(index, 'sound')))
})

test('callers that send new parts with each request can neither fill the memory nor a report', async t => {
  const cluster = await createCluster(2)
  for (let index = 0; index < 1_000; index += 1) cluster.crash(0, `first-${index}`, ...Array.from({ length: 40 }, (_, part) => `part-${index}-${part}`))
  const { crashed, answered, records } = cluster.nodes[0]!.quarantine.report()
  t.true(crashed.length <= 16 && crashed.every(({ features }) => features.length <= 16))
  t.true(answered.size <= 48 && records.length <= 64)
  t.true(cluster.nodes[0]!.quarantine.records().length <= 64)
})

test('an unreadable stored value is ignored and logged', async t => {
  const cluster = await createCluster(2)
  cluster.nodes[1]!.stored.onContent('{"records":[{"parts":[]}]}')
  cluster.nodes[1]!.stored.onContent('\u0000')
  t.deepEqual(cluster.nodes[1]!.events, ['quarantineUnreadable', 'quarantineUnreadable'])
})

test('a stored record that can not be read is left out, and the others hold', async t => {
  const { nodes: [, node], clock } = await createCluster(2)
  const nowMs = clock.wallMs()
  const sound = { service: 'models', parts: ['sound'], state: 'quarantined', changedAtMs: nowMs, sinceMs: nowMs, untilMs: nowMs + 60_000, crashes: 3, backends: ['b-1'] }
  const odd = [null, 5, {}, { ...sound, parts: [5] }, { ...sound, parts: ['late'], untilMs: 1e300 }, { ...sound, parts: ['negative'], changedAtMs: -1 }]
  node!.stored.onContent(JSON.stringify({ records: [...odd, sound, ...odd] }))
  t.deepEqual(node!.quarantine.records().map(({ features }) => features.join()), ['sound'])
  t.true(node!.events.includes('quarantineUnreadable'))
})

test('a prompt that nobody sent again is no longer suspected after a minute', async t => {
  const cluster = await createCluster(9)
  cluster.crash(0, 'first', 'suspected')
  await cluster.run(400)
  t.true(countAdmitted(await askAll(cluster, ['first', 'suspected'])) < 9)
  await cluster.clock.advance(61_000)
  for (let round = 0; round < 2; round += 1) t.is(countAdmitted(await askAll(cluster, ['first', 'suspected'])), 9)
})

test('no trial is sent for a prompt that another quarantine refuses', async t => {
  const cluster = await createCluster(3)
  const record: QuarantineRecord = {
    service, features: partsOf('bad', 'first'), state: 'quarantined', changedAtMs: cluster.clock.wallMs(), sinceMs: cluster.clock.wallMs(), untilMs: cluster.clock.wallMs() + 1_000, crashes: 3, backends: []
  }
  for (const { quarantine } of cluster.nodes) quarantine.mergeRecords([record, { ...record, features: partsOf('bad'), untilMs: record.untilMs + 60_000 }])
  await cluster.clock.advance(2_000)
  t.is(countAdmitted(await askAll(cluster, ['bad', 'first'])), 0)
})

test('a part that goes on to be answered between the crashes is neither quarantined nor suspected, however many there are', async t => {
  const { nodes, crash, run, isRefused } = await createCluster(9)
  for (let index = 0; index < 40; index += 1) {
    crash(index % 9, 'system')
    for (const { quarantine } of nodes) for (let answers = 0; answers < 2; answers += 1) quarantine.recordAnswer(service, partsOf('system'))
    await run(400)
    t.false(isRefused(index % 9, 'system'), `quarantined after ${index + 1} crashes`)
  }
  const admitted = await nodes[0]!.quarantine.admit({ service, features: partsOf('system'), isRetryAfterCrash: false, liveBackends: twoBackends, signal: new AbortController().signal })
  t.is(admitted.kind, 'admitted')
})

test('a request that comes once in 70 s is refused after its third crash, by all nodes and over restarts and a cut', async t => {
  const cluster = await createCluster(9)
  for (const index of [0, 3, 6]) {
    cluster.crash(index, 'request:bad')
    await cluster.run(70_000)
  }
  cluster.cutOff.add(5)
  cluster.restart(4)
  await cluster.run(2_000)
  cluster.cutOff.clear()
  await cluster.run(2_000)
  t.true(cluster.nodes.every((_, index) => cluster.isRefused(index, 'request:bad', 'new')))
  t.false(cluster.isRefused(1, 'request:other', 'new'))
  t.is((await ask(cluster, 1, ['request:bad'])).kind, 'refused')
})

test('a caller that crashes servers with a new request each time does not displace what is known of a repeated one', async t => {
  const cluster = await createCluster(3)
  for (const index of [0, 1]) {
    cluster.crash(index, 'request:bad')
    await cluster.run(2_000)
  }
  for (let index = 0; index < 700; index += 1) cluster.crash(index % 3, `request:new-${index}`)
  await cluster.run(2_000)
  cluster.crash(2, 'request:bad')
  await cluster.run(1_200)
  t.true(cluster.isRefused(0, 'request:bad'))
})

test('the crashes before a request was lifted do not bring its quarantine back while they are remembered', async t => {
  const cluster = await createCluster(2)
  for (let index = 0; index < 3; index += 1) {
    cluster.crash(index % 2, 'request:bad')
    await cluster.run(400)
  }
  await cluster.run(600)
  t.true(cluster.isRefused(0, 'request:bad'))
  const nowMs = cluster.clock.wallMs()
  const lifted = cluster.nodes[0]!.quarantine.records().map(record => ({ ...record, state: 'lifted' as const, changedAtMs: nowMs, untilMs: nowMs + tenMinutesMs }))
  for (const { quarantine } of cluster.nodes) quarantine.mergeRecords(lifted)
  await cluster.run(2_000)
  t.false(cluster.isRefused(0, 'request:bad'))
  await cluster.clock.advance(11 * 60_000)
  cluster.crash(0, 'request:bad')
  await cluster.run(1_000)
  t.false(cluster.isRefused(0, 'request:bad'))
})

test('answers after a crash that was more than a minute ago say nothing for a part that crashes servers from now on', async t => {
  const cluster = await createCluster(3)
  cluster.crash(0, 'request:first', 'bad')
  for (let answers = 0; answers < 8; answers += 1) cluster.nodes[0]!.quarantine.recordAnswer(service, partsOf('bad'))
  await cluster.run(70_000)
  await cluster.quarantinePart('bad')
  t.true(cluster.isRefused(1, 'bad', 'new'))
})
