/** The pace of the soak's stand-in servers. */
import test from 'ava'
import { createPace } from '../../bench/soak/pace.ts'
import { createSystemClock } from '../../src/core/clock/index.ts'

const clock = createSystemClock()

test('a change of pace applies to work in progress, and a stalled server goes on where it was', async t => {
  const pace = createPace()
  const startedAtMs = clock.monotonicMs()
  let tookMs: number | undefined
  const done = pace.work(4_000).then(() => { tookMs = clock.monotonicMs() - startedAtMs })
  pace.setFactor(0.1)
  await done
  t.true(tookMs! < 4_000)

  let isDone = false
  pace.setFactor(Infinity)
  const stalled = pace.work(0).then(() => { isDone = true })
  await clock.sleep(100)
  t.false(isDone)
  pace.setFactor(1)
  await stalled
})

test('work takes longer at a server that becomes slower', async t => {
  const pace = createPace()
  const startedAtMs = clock.monotonicMs()
  const done = pace.work(50)
  pace.setFactor(4)
  await done
  t.true(clock.monotonicMs() - startedAtMs >= 190)
})
