/** Which requests a stopping node takes. */
import test from 'ava'
import { createManualClock } from '../../src/core/clock/index.ts'
import { createStopGate } from '../../src/core/gateway/index.ts'

const stopMs = 5_000
const timeoutMs = 15_000

function createGate (answersMs: readonly number[]) {
  const clock = createManualClock()
  let endsAtMs: number | undefined
  const gate = createStopGate({ clock, endsAtMs: () => endsAtMs })
  for (const tookMs of answersMs) gate.recordAnswer('drafts', tookMs)
  const admits = (leftMs = timeoutMs): boolean => gate.admits('drafts', clock.wallMs() + leftMs)
  return { clock, admits, stop: () => { endsAtMs = clock.monotonicMs() + stopMs } }
}

test('a stopping node takes a request only while the longest answers of its route still fit', async t => {
  const { clock, admits, stop } = createGate([...Array<number>(300).fill(1_000), 2_000])
  t.true(admits())
  stop()
  t.true(admits())
  await clock.advance(stopMs - 2_400)
  t.false(admits())
  t.true(admits(2_000))
})

test('a stopping node that knows few answers of a route expects a request to take until its deadline', t => {
  const { admits, stop } = createGate(Array<number>(10).fill(10))
  stop()
  t.false(admits())
  t.true(admits(stopMs - 100))
})
