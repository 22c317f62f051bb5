/** Which requests a stopping node takes. */
import test from 'ava'
import { createManualClock } from '../../src/core/clock/index.ts'
import { createStopGate } from '../../src/core/gateway/index.ts'

const stopMs = 5_000
const timeoutMs = 15_000

function createGate (answers: ReadonlyArray<{ tookMs: number, answerTokens?: number }>) {
  const clock = createManualClock()
  let endsAtMs: number | undefined
  const gate = createStopGate({ clock, endsAtMs: () => endsAtMs })
  for (const { tookMs, answerTokens } of answers) gate.recordAnswer('drafts', { tookMs, firstByteMs: 100, answerTokens })
  const admits = ({ answerTokens, leftMs = timeoutMs }: { answerTokens?: number, leftMs?: number } = {}): boolean => gate.admits({ route: 'drafts', answerTokens, deadlineAtMs: clock.wallMs() + leftMs })
  return { clock, admits, stop: () => { endsAtMs = clock.monotonicMs() + stopMs } }
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
  const { admits, stop } = createGate([20, 20, 30, 40, 50, 100, 200, 400].map(answerTokens => ({ answerTokens, tookMs: 100 + answerTokens * 20 })))
  stop()
  t.true(admits({ answerTokens: 100 }))
  t.false(admits({ answerTokens: 400 }))
})

test('a stopping node that knows few answers of a route expects a request to take until its deadline', t => {
  const { admits, stop } = createGate([{ tookMs: 10 }, { tookMs: 20 }])
  stop()
  t.false(admits())
  t.true(admits({ leftMs: stopMs - 100 }))
})
