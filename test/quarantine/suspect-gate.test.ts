/** When a request under which backend servers crashed may be sent again, without a network. */
import test from 'ava'
import { createManualClock } from '../../src/core/clock/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import { createSuspectGate, limitOf } from '../../src/core/quarantine/suspect-gate.ts'
import { createTrials } from '../../src/core/quarantine/trials.ts'
import type { NodeId, RequestDigest } from '../../src/core/ids/index.ts'
import type { Suspicion } from '../../src/core/quarantine/assess.ts'

const bad = toId<RequestDigest>('request:bad')
const other = toId<RequestDigest>('request:other')
const calm = { isRetryAfterCrash: false, isLastBackend: false }

function suspicion (digest: RequestDigest, crashes: number, changes: Partial<Suspicion> = {}): Suspicion {
  return { service: 'ledger', features: [digest], score: 2 * crashes, isCertain: false, crashes, backends: [], firstCrashAtMs: 0, ...changes }
}

function createGate () {
  const clock = createManualClock()
  const trials = createTrials({ clock, random: () => 0, nodeCount: () => 9 })
  return { clock, trials, gate: createSuspectGate(trials) }
}

test('after one crash a request may be repeated, also by the node that sent it, one copy at a time', t => {
  t.is(limitOf(suspicion(bad, 1), { ...calm, isRetryAfterCrash: true }), 'one-at-a-time')
  const { gate, trials } = createGate()
  const first = gate.take([bad], [suspicion(bad, 1)], () => calm)
  t.is(first.kind, 'taken')
  t.is(gate.take([bad], [suspicion(bad, 1)], () => calm).kind, 'blocked')
  t.is(gate.take([other], [suspicion(other, 1)], () => calm).kind, 'taken')
  if (first.kind === 'taken') first.release()
  trials.setUnderWay(toId<NodeId>('node-2'), ['ledger/request:bad'])
  t.is(gate.take([bad], [suspicion(bad, 1)], () => calm).kind, 'blocked')
})

test('copies that were sent before the first crash count as under way', t => {
  const { gate } = createGate()
  t.is(gate.take([bad], [], () => calm).kind, 'taken')
  t.deepEqual(gate.underWay([suspicion(bad, 1)]), ['ledger/request:bad'])
  t.is(gate.take([bad], [suspicion(bad, 1)], () => calm).kind, 'blocked')
})

test('from the second crash on only one suspected request of a service is under way, so that the third crash tells them apart', t => {
  const { gate, clock } = createGate()
  t.is(gate.take([bad], [suspicion(bad, 2)], () => calm).kind, 'taken')
  t.is(gate.take([other], [suspicion(other, 2)], () => calm).kind, 'blocked')
  t.deepEqual(gate.underWay([suspicion(bad, 2)]), ['ledger/requests'])
  t.is(limitOf(suspicion(bad, 2), { ...calm, isRetryAfterCrash: true }), 'reject')
  return clock.advance(1)
})

test('a likely culprit is not sent to the last backend server of its service, and one of many in progress at a crash is', t => {
  const last = { ...calm, isLastBackend: true }
  t.is(limitOf(suspicion(bad, 1), last), 'reject')
  t.is(limitOf(suspicion(bad, 2, { score: 1 }), last), 'reject')
  t.is(limitOf(suspicion(bad, 1, { score: 0.6 }), last), 'one-at-a-time')
})

test('a request that is certain to crash servers is rejected until the decision is known everywhere', t => {
  t.is(limitOf(suspicion(bad, 3, { isCertain: true }), calm), 'reject')
})

test('a request with a suspected part and a suspected digest gives back the first when the second is blocked', t => {
  const { gate, trials } = createGate()
  const part = suspicion(bad, 1, { features: [toId<RequestDigest>('part')] })
  trials.setUnderWay(toId<NodeId>('node-2'), ['ledger/request:bad'])
  t.is(gate.take([bad], [part, suspicion(bad, 1)], () => calm).kind, 'blocked')
  t.deepEqual(trials.underWay(), [])
})
