/** Backend servers that become slower while a node stops as planned. */
import test from 'ava'
import { createSystemClock } from '../../src/core/clock/index.ts'
import { connectCaller } from '../raw-caller.ts'
import { post, startStoppableNode, streamUntil } from './stoppable-node.ts'

const clock = createSystemClock()
const stopGraceMs = 8_000
/** The users' rules excuse a cut only of a request that was sent by then after the signal. */
const excusedUntilMs = 3_000
const eventCount = 91
const lastSentMs = 7_300
const sendIntervalMs = 100

const cases = [
  { basePauseMs: 10, factor: 5, changeAtMs: 4_500 },
  { basePauseMs: 10, factor: 3, changeAtMs: 5_000 },
  { basePauseMs: 6, factor: 4, changeAtMs: 6_000 },
  { basePauseMs: 15, factor: 2, changeAtMs: 5_500 }
]

for (const { basePauseMs, factor, changeAtMs } of cases) {
  // Guards against streams that are taken by an estimate and cut because their backend server becomes slower afterwards.
  test(`no stream that is sent late in a stop is cut if backend servers become ${factor} times slower ${changeAtMs} ms after the signal`, async t => {
    let pauseMs = basePauseMs
    const { port, stop } = await startStoppableNode(t, { stream: streamUntil(count => count === eventCount, () => pauseMs) }, { stopGraceMs })
    async function sendStream (id: string) {
      const caller = await connectCaller(port)
      const sentAtMs = clock.monotonicMs()
      caller.write(post('stream', id))
      return { sentAtMs, ...await caller.nextResponse() }
    }
    await Promise.all(Array.from({ length: 90 }, (_, index) => sendStream(`first-${index}`)))
    const stoppedAtMs = clock.monotonicMs()
    const stopped = stop()
    const answers = []
    while (clock.monotonicMs() < stoppedAtMs + lastSentMs) {
      answers.push(sendStream(`late-${answers.length}`))
      await clock.sleep(sendIntervalMs)
      if (clock.monotonicMs() >= stoppedAtMs + changeAtMs) pauseMs = basePauseMs * factor
    }
    const late = (await Promise.all(answers)).filter(({ sentAtMs }) => sentAtMs > stoppedAtMs + excusedUntilMs)
    t.true(late.length > 20)
    const cut = late.filter(({ status, isComplete }) => !isComplete || ![200, 503].includes(status))
    t.deepEqual(cut.map(({ sentAtMs, status }) => ({ sentAfterMs: Math.round(sentAtMs - stoppedAtMs), status })), [])
    await stopped
  })
}
