/** Which requests a stopping node takes. */
import test from 'ava'
import { createManualClock } from '../../src/core/clock/index.ts'
import { createStopGate } from '../../src/core/planned-stops/index.ts'
import type { PlannedStop, RequestKind, StopDecision } from '../../src/core/planned-stops/index.ts'

const stopMs = 5_000
/** Time after which a stream that is taken must not be cut. */
const streamsCompleteAfterMs = 2_500
const timeoutMs = 15_000

interface RequestOptions {
  answerTokens?: number
  leftMs?: number
  kind?: RequestKind
}

function createGate (answers: ReadonlyArray<{ tookMs: number, answerTokens?: number }>) {
  const clock = createManualClock()
  let planned: PlannedStop | undefined
  const gate = createStopGate({ clock, stop: () => planned })
  for (const { tookMs, answerTokens } of answers) gate.recordAnswer('drafts', { tookMs, firstByteMs: 100, eventCount: answerTokens ?? 0, answerTokens })
  const decide = ({ answerTokens, leftMs = timeoutMs, kind = 'repeatable' }: RequestOptions = {}): StopDecision | undefined => gate.decide({ route: 'drafts', kind, answerTokens, deadlineAtMs: clock.wallMs() + leftMs })
  const admits = (request?: RequestOptions): boolean => decide(request)?.isAdmitted ?? true
  const stop = (): void => { planned = { requestedAtMs: clock.monotonicMs(), streamsCompleteFromMs: clock.monotonicMs() + streamsCompleteAfterMs, endsAtMs: clock.monotonicMs() + stopMs, holdUntil: () => {} } }
  return { clock, gate, decide, admits, stop }
}

test('a stopping node takes a request only while the longest answers of its route still fit', async t => {
  const { clock, admits, stop } = createGate([...Array<number>(250).fill(1_000), 2_000].map(tookMs => ({ tookMs })))
  t.true(admits())
  stop()
  t.true(admits())
  await clock.advance(stopMs - 2_400)
  t.false(admits())
  t.true(admits({ leftMs: 2_000 }))
})

test('a stopping node takes short answers of a route whose long answers no longer fit', t => {
  const { admits, stop } = createGate(Array.from({ length: 8 }, () => [20, 20, 30, 40, 50, 100, 200, 400]).flat().map(answerTokens => ({ answerTokens, tookMs: 100 + answerTokens * 20 })))
  stop()
  t.true(admits({ answerTokens: 100 }))
  t.false(admits({ answerTokens: 400 }))
})

test('a stopping node that knows few answers of a route expects a request to take until its deadline', t => {
  const { admits, stop } = createGate(Array.from({ length: 20 }, () => ({ tookMs: 20 })))
  stop()
  t.false(admits())
  t.true(admits({ leftMs: stopMs - 100 }))
})

test('a stopping node takes an at-most-once call only while its whole deadline fits, whatever earlier answers took', async t => {
  const { clock, admits, stop } = createGate(Array.from({ length: 64 }, () => ({ tookMs: 20 })))
  stop()
  t.true(admits({ kind: 'at-most-once', leftMs: stopMs - 100 }))
  t.false(admits({ kind: 'at-most-once', leftMs: stopMs + 100 }))
  await clock.advance(stopMs - 500)
  t.false(admits({ kind: 'at-most-once', leftMs: 600 }))
  t.true(admits({ leftMs: 600 }))
})

// Guards against an estimate by quick answers of long ago, after which streams that can't be finished are taken.
test('a stopping node refuses a stream that would not end in time at the present pace of the open ones, although earlier ones were quick', async t => {
  const { clock, gate, admits, stop } = createGate(Array.from({ length: 64 }, () => ({ tookMs: 1_100, answerTokens: 50 })))
  stop()
  t.true(admits({ answerTokens: 50 }))
  const open = Array.from({ length: 4 }, () => gate.openAttempt('drafts'))
  for (let count = 1; count <= 5; count += 1) {
    await clock.advance(120)
    for (const attempt of open) attempt.onEvents(count)
  }
  t.false(admits({ answerTokens: 50 }))
  t.true(admits({ answerTokens: 16 }))
  for (const attempt of open) attempt.end()
  t.true(admits({ answerTokens: 50 }))
})

test('a stopping node expects an answer to take at least as long as an open attempt has waited', async t => {
  const { clock, gate, admits, stop } = createGate(Array.from({ length: 64 }, () => ({ tookMs: 100 })))
  const attempt = gate.openAttempt('drafts')
  stop()
  await clock.advance(2_500)
  t.false(admits())
  attempt.end()
  t.true(admits())
})

test('a stopping node goes by the answers of the last seconds if there are enough of them', async t => {
  const { clock, gate, admits, stop } = createGate(Array.from({ length: 200 }, () => ({ tookMs: 6_000 })))
  stop()
  t.false(admits())
  await clock.advance(3_100)
  for (let count = 0; count < 8; count += 1) gate.recordAnswer('drafts', { tookMs: 100, firstByteMs: 50, eventCount: 0, answerTokens: undefined })
  t.true(admits())
})

// Guards against an estimate by a few recent answers that happen to be short.
test('a stopping node counts on the longest stream of a route for a request that names no tokens', async t => {
  const { clock, gate, admits, stop } = createGate([])
  const record = (eventCount: number): void => gate.recordAnswer('drafts', { firstByteMs: 100, tookMs: 100 + eventCount * 20, eventCount, answerTokens: undefined })
  for (const eventCount of [200, ...Array<number>(64).fill(50)]) record(eventCount)
  stop()
  await clock.advance(3_100)
  for (let count = 0; count < 8; count += 1) record(50)
  t.false(admits())
})

// Guards against streams that are cut because a node that started a short time ago has seen only shorter ones.
test('a stopping node that started a short time ago does not go by the longest of a few answers', async t => {
  const { clock, admits, stop } = createGate(Array.from({ length: 10 }, (_, index) => ({ tookMs: 600 + index * 200 })))
  stop()
  await clock.advance(stopMs - 4_000)
  t.false(admits())
})

test('a decision of the gate tells what it was concluded from', async t => {
  const { clock, gate, decide, stop } = createGate(Array.from({ length: 64 }, () => ({ tookMs: 1_100, answerTokens: 50 })))
  t.is(decide({ answerTokens: 50 }), undefined)
  await clock.advance(3_500)
  gate.recordAnswer('drafts', { tookMs: 1_100, firstByteMs: 100, eventCount: 50, answerTokens: 50 })
  const [quick, slow, waiting] = [0, 1, 2].map(() => gate.openAttempt('drafts'))
  stop()
  for (let count = 1; count <= 3; count += 1) {
    await clock.advance(60)
    quick!.onEvents(count * 3)
    slow!.onEvents(count)
  }
  const fields = { knownAnswers: 65, recentAnswers: 1, newestAnswerAgeMs: 180, deadlineInMs: timeoutMs, leftMs: stopMs - 180, sinceStopMs: 180, openStreams: 2, pausePerEventMs: 60, expectedEvents: 50 }
  t.deepEqual(decide({ answerTokens: 50 }), { isAdmitted: true, basis: 'estimate', expectedMs: (180 + 50 * 60) * 1.25, ...fields })
  t.like(decide({ answerTokens: 50, kind: 'at-most-once' }), { isAdmitted: false, basis: 'deadline' })
  t.like(decide({ answerTokens: 50, leftMs: 2_000 }), { isAdmitted: true, basis: 'deadline', deadlineInMs: 2_000 })
  for (const attempt of [quick, slow, waiting]) attempt!.end()
  t.like(decide({ answerTokens: 50 }), { openStreams: 0, pausePerEventMs: undefined, expectedMs: 1_100 * 1.25 })
})

test('a decision on a request of a route with few known answers says that nothing is known', t => {
  const { decide, stop } = createGate(Array.from({ length: 20 }, () => ({ tookMs: 20 })))
  stop()
  t.like(decide(), { isAdmitted: false, basis: 'nothing-known', expectedMs: Infinity, expectedEvents: undefined, knownAnswers: 20 })
  t.like(decide({ leftMs: stopMs }), { isAdmitted: true, basis: 'nothing-known', deadlineInMs: stopMs })
})

test('an attempt has the pause between its latest events, or the time since the latest one if it is longer', async t => {
  const { clock, gate } = createGate([])
  const attempt = gate.openAttempt('drafts')
  await clock.advance(50)
  t.deepEqual(attempt.pace(), { sinceSentMs: 50, pausePerEventMs: undefined })
  attempt.onEvents(1)
  await clock.advance(20)
  attempt.onEvents(2)
  t.deepEqual(attempt.pace(), { sinceSentMs: 70, pausePerEventMs: 20 })
  await clock.advance(100)
  attempt.end()
  t.deepEqual(attempt.pace(), { sinceSentMs: 170, pausePerEventMs: 100 })
})

// Guards against streams that are taken by an estimate and cut because their backend server becomes slower afterwards.
test('a stopping node whose streams must not be cut any more takes a stream only while its whole deadline fits, however quick streams are', async t => {
  const { clock, decide, admits, stop } = createGate(Array.from({ length: 64 }, () => ({ tookMs: 100, answerTokens: 50 })))
  stop()
  t.true(admits({ kind: 'stream', answerTokens: 50 }))
  await clock.advance(streamsCompleteAfterMs)
  t.like(decide({ kind: 'stream', answerTokens: 50 }), { isAdmitted: false, basis: 'deadline' })
  t.true(admits({ kind: 'stream', leftMs: stopMs - streamsCompleteAfterMs }))
  t.false(admits({ kind: 'stream', leftMs: stopMs - streamsCompleteAfterMs + 1 }))
  t.true(admits({ kind: 'repeatable', answerTokens: 50 }))
})
