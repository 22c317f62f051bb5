/** Planned stops of a node that is short of processor time. One after the other, as each test stalls the event loop for all. */
import { once } from 'node:events'
import test from 'ava'
import { createSystemClock } from '../../src/core/clock/index.ts'
import { connectCaller } from '../raw-caller.ts'
import { post, respondOk, startStoppableNode, streamUntil } from './stoppable-node.ts'
import type { ExecutionContext } from 'ava'

const clock = createSystemClock()
const stopGraceMs = 8_000
/** The users' rules excuse a cut only of an answer that is incomplete in the last sixth of the grace period. */
const earliestEndMs = stopGraceMs * 5 / 6

function blockEventLoop (durationMs: number): void {
  const untilMs = clock.monotonicMs() + durationMs
  while (clock.monotonicMs() < untilMs);
}

/** Keeps the event loop busy for most of the time, until the test ends. */
function stallOften (t: ExecutionContext, stallMs: number, pauseMs: number): void {
  let timer = setTimeout(stall, pauseMs)
  function stall (): void {
    blockEventLoop(stallMs)
    timer = setTimeout(stall, pauseMs)
  }
  t.teardown(() => clearTimeout(timer))
}

// Guards against a process that is killed while it still answers, because each step of its end waits for a slow event loop.
test.serial('a stop whose event loop lags ends within the grace period, after all requests are answered, and not before its last sixth', async t => {
  const { port, stop, requestsOf, lines } = await startStoppableNode(t, { stream: streamUntil(() => false), silent: () => {} }, { stopGraceMs })
  const [stream, silent] = await Promise.all([0, 1].map(() => connectCaller(port)))
  stream!.write(post('stream', 'r-stream'))
  silent!.write(post('silent', 'r-silent'))
  while (requestsOf('stream').length + requestsOf('silent').length < 2) await clock.sleep(10)
  const stoppedAtMs = clock.monotonicMs()
  const stopped = stop().then(() => clock.monotonicMs() - stoppedAtMs)
  stallOften(t, 200, 10)
  t.like(await silent!.nextResponse(), { status: 504, isComplete: true })
  const endedAfterMs = clock.monotonicMs() - stoppedAtMs
  t.true(endedAfterMs >= earliestEndMs, `open requests were ended after ${endedAfterMs} ms`)
  t.like(await stream!.nextResponse(), { status: 200, isComplete: false })
  const stoppedAfterMs = await stopped
  t.true(stoppedAfterMs < stopGraceMs, `the stop took ${stoppedAfterMs} ms`)
  t.true(Number(lines.find(({ event }) => event === 'nodeStopped')?.['lagMs']) >= 150)
})

// Guards against requests that a node takes although its event loop is too slow to finish them.
test.serial('a request that comes late in a stop whose event loop lags is refused as not run', async t => {
  const { port, stop, requestsOf } = await startStoppableNode(t, { stream: streamUntil(() => false), calls: respondOk }, { stopGraceMs })
  const [caller, stream] = await Promise.all([0, 1].map(() => connectCaller(port)))
  for (let count = 0; count < 70; count += 1) {
    caller!.write(post('calls', `first-${count}`))
    await caller!.nextResponse()
  }
  stream!.write(post('stream', 'r-stream'))
  await once(stream!.socket, 'data')
  const before = requestsOf('calls').length
  const stopped = stop()
  stallOften(t, 800, 10)
  await clock.sleep(stopGraceMs * 0.55)
  caller!.write(post('calls', 'r-late'))
  const answer = await caller!.nextResponse()
  t.like(answer, { status: 503, isComplete: true })
  t.regex(answer.head, /retry-after: 0\./)
  t.is(requestsOf('calls').length, before)
  await stopped
})
