/** Callers whose connections are open while a node stops as planned: each request is answered completely or refused as not run. */
import { once } from 'node:events'
import test from 'ava'
import { createSystemClock } from '../../src/core/clock/index.ts'
import { formatResponse } from '../../src/stand-ins/raw-backend/index.ts'
import { connectCaller } from '../raw-caller.ts'
import { graceMs, post, requestHead, respondOk, signed, startStoppableNode, streamUntil } from './stoppable-node.ts'
import type { RawRequestHandler } from '../../src/stand-ins/raw-backend/index.ts'

const clock = createSystemClock()
/** More than the socket buffers hold. */
const largeBytes = 15 * 1024 * 1024

const respondLarge: RawRequestHandler = (request, socket) => { socket.write(formatResponse(200, signed(request), 'x'.repeat(largeBytes))) }

/** The node takes a request late in a stop if it knows how long the answers of its route take. */
async function sendCalls (port: number): Promise<void> {
  const caller = await connectCaller(port)
  for (let count = 0; count < 40; count += 1) {
    caller.write(post('calls', `first-${count}`))
    await caller.nextResponse()
  }
  caller.socket.destroy()
}

test.serial('a request that follows a stream on a kept connection during a stop is answered', async t => {
  let isStreamDone = false
  const { port, stop } = await startStoppableNode(t, { stream: streamUntil(() => isStreamDone), calls: respondOk })
  await sendCalls(port)
  const caller = await connectCaller(port)
  caller.write(post('stream', 'r-1'))
  await once(caller.socket, 'data')
  const stopped = stop()
  await clock.sleep(graceMs * 0.6)
  isStreamDone = true
  t.like(await caller.nextResponse(), { status: 200, isComplete: true })
  caller.write(post('calls', 'r-2'))
  const answer = await caller.nextResponse()
  t.like(answer, { status: 200, body: 'whole', isComplete: true })
  t.regex(answer.head, /connection: close/)
  await stopped
})

// The time-out of a call counts from the end of its head.
for (const [part, split, callTimeoutMs] of [['first byte', 0, 1_000], ['end of the head', 60, 1_000], ['end of the body', undefined, 3_000]] as const) {
  test.serial(`a request whose ${part} comes late in a stop is refused as not run if it can't be finished, and answered otherwise`, async t => {
    const { port, stop, requestsOf } = await startStoppableNode(t, { stream: streamUntil(count => count === 150), calls: respondOk }, { callTimeoutMs })
    await sendCalls(port)
    const callers = await Promise.all(['stream', 'calls'].map(async service => {
      const caller = await connectCaller(port)
      const text = `${requestHead(service, `r-${service}`, 'transfer-encoding: chunked')}4\r\nbody\r\n0\r\n\r\n`
      const at = split ?? text.length - 5
      caller.write(text.slice(0, at))
      return { service, caller, rest: text.slice(at) }
    }))
    const stopped = stop()
    await clock.sleep(graceMs * 0.6)
    const answers = await Promise.all(callers.map(({ caller, rest }) => {
      caller.write(rest)
      return caller.nextResponse()
    }))
    t.like(answers[0], { status: 503, isComplete: true })
    t.regex(answers[0]!.head, /retry-after: 0\./)
    t.is(requestsOf('stream').length, 0)
    t.like(answers[1], { status: 200, body: 'whole', isComplete: true })
    for (const { head } of answers) t.regex(head, /connection: close/)
    await stopped
  })
}

test.serial('a caller that reads slowly during a stop gets its whole answer', async t => {
  const { port, stop, requestsOf, lines } = await startStoppableNode(t, { large: respondLarge })
  const caller = await connectCaller(port)
  caller.write(post('large', 'r-1'))
  while (requestsOf('large').length === 0) await clock.sleep(10)
  caller.socket.pause()
  const stopped = stop()
  await clock.sleep(graceMs * 0.6)
  t.false(lines.some(({ event }) => event === 'gatewayAnswered'))
  caller.socket.resume()
  const { isComplete, body } = await caller.nextResponse()
  t.deepEqual({ isComplete, length: body.length }, { isComplete: true, length: largeBytes })
  await stopped
  t.like(lines.find(({ event }) => event === 'gatewayAnswered'), { request: 'r-1' })
})

test.serial('an answer that is not delivered by the end of a stop is visibly incomplete and has one line that names it', async t => {
  const { port, stop, requestsOf, lines } = await startStoppableNode(t, { stream: streamUntil(() => false), large: respondLarge, silent: () => {} })
  const [stream, large, silent, unfinished] = await Promise.all([0, 1, 2, 3].map(() => connectCaller(port)))
  stream!.write(post('stream', 'r-stream'))
  large!.write(post('large', 'r-large'))
  silent!.write(post('silent', 'r-silent'))
  unfinished!.write(requestHead('large', 'r-unfinished', 'content-length: 4'))
  // Without a byte of an answer, 504 is due.
  large!.socket.once('data', () => large!.socket.pause())
  await Promise.all([stream, large].map(caller => once(caller!.socket, 'data')))
  while (requestsOf('silent').length === 0) await clock.sleep(10)
  await stop()
  large!.socket.resume()
  t.like(await stream!.nextResponse(), { status: 200, isComplete: false })
  t.like(await large!.nextResponse(), { status: 200, isComplete: false })
  // It may have run.
  t.like(await silent!.nextResponse(), { status: 504, isComplete: true })
  t.like(await unfinished!.nextResponse(), { status: 503, isComplete: true })
  const ends = (id: string) => lines.filter(({ request, event }) => request === id && ['gatewayAnswered', 'gatewayRefused', 'gatewayCut', 'gatewayLeft', 'answerNotDelivered'].includes(String(event)))
  t.like(ends('r-stream'), { length: 1, 0: { event: 'gatewayCut', reason: 'draining' } })
  t.like(ends('r-large'), { length: 1, 0: { event: 'answerNotDelivered', reason: 'stop-deadline', phase: 'written' } })
  t.true(Number(ends('r-large')[0]?.['waitingBytes']) > 0)
  t.like(ends('r-silent'), { length: 1, 0: { event: 'gatewayRefused', reason: 'draining' } })
  t.like(ends('r-unfinished'), { length: 1, 0: { event: 'gatewayRefused', reason: 'draining' } })
})

// Guards against connections that a node closes without an answer, because it was short of processor time at the end of its stop.
test.serial('requests that are open at the end of a stop get their answers although the node was stalled then', async t => {
  const { port, stop, requestsOf } = await startStoppableNode(t, { stream: streamUntil(() => false), silent: () => {} })
  const [stream, silent] = await Promise.all([0, 1].map(() => connectCaller(port)))
  stream!.write(post('stream', 'r-stream'))
  silent!.write(post('silent', 'r-silent'))
  while (requestsOf('stream').length + requestsOf('silent').length < 2) await clock.sleep(10)
  setTimeout(() => {
    const untilMs = performance.now() + 600
    while (performance.now() < untilMs);
  }, graceMs - 700)
  await stop()
  t.like(await stream!.nextResponse(), { status: 200, isComplete: false })
  t.like(await silent!.nextResponse(), { status: 504, isComplete: true })
})

test.serial('an idle kept connection stays open during a stop until its next answer, which says that it closes', async t => {
  const { port, stop } = await startStoppableNode(t, { calls: respondOk })
  await sendCalls(port)
  const caller = await connectCaller(port)
  caller.write(post('calls', 'r-1'))
  t.like(await caller.nextResponse(), { status: 200 })
  const stopped = stop()
  await clock.sleep(graceMs * 0.6)
  caller.write(post('calls', 'r-2'))
  const answer = await caller.nextResponse()
  t.like(answer, { status: 200, isComplete: true })
  t.regex(answer.head, /connection: close/)
  await stopped
})

test.serial('a new connection late in a stop is answered, not reset', async t => {
  const { port, stop } = await startStoppableNode(t, { calls: respondOk })
  await sendCalls(port)
  const idle = await connectCaller(port)
  const stopped = stop()
  await clock.sleep(graceMs * 0.6)
  const caller = await connectCaller(port)
  caller.write(post('calls', 'r-1'))
  t.like(await caller.nextResponse(), { status: 200, isComplete: true })
  idle.socket.destroy()
  await stopped
})

// Guards against at-most-once calls that are taken late in a stop, by the quick answers before it, and cut at its end without a true answer.
test.serial('a call that may not be repeated is refused as not run late in a stop if it may outlast it, although the calls before were quick', async t => {
  const { port, stop, requestsOf } = await startStoppableNode(t, { calls: respondOk }, { callTimeoutMs: 15_000 })
  await sendCalls(port)
  const caller = await connectCaller(port)
  const before = requestsOf('calls').length
  const stopped = stop()
  await clock.sleep(graceMs * 0.6)
  caller.write(post('calls', 'r-late'))
  const answer = await caller.nextResponse()
  t.like(answer, { status: 503, isComplete: true })
  t.regex(answer.head, /connection: close/)
  t.is(requestsOf('calls').length, before)
  await stopped
})

// Guards against an estimate by the quick answers before the stop only.
test.serial('streams that become slower as a stop begins are whole or refused, and none that comes late is cut', async t => {
  let pauseMs = 10
  const { port, stop } = await startStoppableNode(t, { stream: streamUntil(count => count === 41, () => pauseMs) })
  async function sendStream (id: string) {
    const caller = await connectCaller(port)
    caller.write(post('stream', id))
    return await caller.nextResponse()
  }
  await Promise.all(Array.from({ length: 64 }, (_, index) => sendStream(`first-${index}`)))
  // Each stream takes 2.4 s from now on.
  pauseMs = 60
  const stopped = stop()
  const answers = []
  for (let index = 0; index < 9; index += 1) {
    answers.push(sendStream(`late-${index}`))
    await clock.sleep(300)
  }
  for (const [index, { status, isComplete }] of (await Promise.all(answers)).entries()) {
    t.true(isComplete && (status === 200 || status === 503), `stream ${index}: status ${status}, ${isComplete ? 'whole' : 'cut'}`)
  }
  await stopped
})
