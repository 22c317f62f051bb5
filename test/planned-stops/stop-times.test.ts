/** The times of a stop on a node whose event loop lags. */
import test from 'ava'
import { createManualClock } from '../../src/core/clock/index.ts'
import { createStopGate, createStopTimes } from '../../src/core/planned-stops/index.ts'

const graceMs = 8_000
const lagMs = 150
const marginMs = 500

/** Moves the clock in steps that are as long as the lag. */
async function advanceWithLag (clock: ReturnType<typeof createManualClock>, durationMs: number): Promise<void> {
  for (const endAtMs = clock.monotonicMs() + durationMs; clock.monotonicMs() < endAtMs;) await clock.advance(lagMs)
}

function createLaggingClock () {
  const clock = createManualClock()
  const state = { lagMs: 0 }
  return { clock, state, stopClock: { ...clock, sleep: (durationMs: number, signal?: AbortSignal) => clock.sleep(durationMs + state.lagMs, signal) } }
}

test('a stop ends earlier on a node whose event loop lags, but not before the last sixth of the grace period', async t => {
  const { clock, state, stopClock } = createLaggingClock()
  const times = createStopTimes({ clock: stopClock, requestedAtMs: 0, graceMs, streamsCompleteAfterMs: 2_500 })
  t.teardown(times.close)
  await advanceWithLag(clock, 1_000)
  state.lagMs = lagMs
  await advanceWithLag(clock, 4_000)
  t.is(times.endsAtMs(), graceMs - 6 * lagMs)
  state.lagMs = 2 * lagMs
  await advanceWithLag(clock, 4_000)
  t.is(times.endsAtMs(), graceMs - graceMs / 6)
})

// Guards against requests that are taken because they end by their deadline, and cut because the end moved before it.
test('a stop whose event loop begins to lag does not end before the deadline of a request that it has taken by it', async t => {
  const { clock, state, stopClock } = createLaggingClock()
  const times = createStopTimes({ clock: stopClock, requestedAtMs: 0, graceMs, streamsCompleteAfterMs: 2_500 })
  t.teardown(times.close)
  const gate = createStopGate({ clock, stop: times.plannedStop })
  await clock.advance(3_000)
  const deadlineInMs = graceMs - marginMs - 3_000
  t.true(gate.decide({ route: 'drafts', kind: 'stream', answerTokens: undefined, deadlineAtMs: clock.wallMs() + deadlineInMs })?.isAdmitted)
  state.lagMs = lagMs
  await advanceWithLag(clock, 4_000)
  t.true(times.lagMs() >= lagMs)
  t.is(times.endsAtMs(), graceMs - marginMs)
})

// Guards against streams that are cut before the last sixth of the grace period, because the stop counts from before the signal.
test('a stop whose signal may have been sent up to its handling does not end before the last sixth of the grace period from then', async t => {
  const { clock, state, stopClock } = createLaggingClock()
  const times = createStopTimes({ clock: stopClock, requestedAtMs: -400, graceMs, streamsCompleteAfterMs: 2_500 })
  t.teardown(times.close)
  state.lagMs = 2 * lagMs
  await advanceWithLag(clock, 4_000)
  t.is(times.endsAtMs(), graceMs - graceMs / 6)
  const later = createStopTimes({ clock: stopClock, requestedAtMs: clock.monotonicMs() - 1_500, graceMs, streamsCompleteAfterMs: 2_500 })
  t.teardown(later.close)
  t.is(later.endsAtMs(), later.killedAtMs - marginMs)
})
