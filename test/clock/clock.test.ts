/** The clock of the operating system with times from outside. */
import test from 'ava'
import { createSystemClock } from '../../src/core/clock/index.ts'

test('a sleep longer than a timer can wait does not end at once', async t => {
  const clock = createSystemClock()
  for (const durationMs of [1e308, Infinity, 2 ** 31]) {
    const ended = new AbortController()
    let hasEnded = false
    const sleep = clock.sleep(durationMs, ended.signal).then(() => { hasEnded = true })
    await clock.sleep(50)
    t.false(hasEnded, String(durationMs))
    ended.abort()
    await sleep
  }
})
