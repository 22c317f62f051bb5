/** What the log and the counters tell of requests during a stop. */
import test from 'ava'
import { formatChunk, formatResponse } from '../../src/stand-ins/raw-backend/index.ts'
import { configuration, respondNotRun, respondOk, signed, startGateway } from '../gateway/deployment.ts'
import { waitUntil } from '../gateway/wait-until.ts'
import type { RawRequestHandler } from '../../src/stand-ins/raw-backend/index.ts'

/** Longer than the timeout of each route, and shorter. */
const longStopMs = 60_000
const shortStopMs = 200

const silentMs = 200
/** Timers are rounded to whole milliseconds. */
const timerErrorMs = 2

/** Streams three events, and no further one. */
const beginStream: RawRequestHandler = ({ headers }, socket) => {
  const lines = Object.entries({ ...signed(headers['x-request'] ?? ''), 'content-type': 'text/event-stream', 'transfer-encoding': 'chunked' })
  socket.write(['HTTP/1.1 200 OK', ...lines.map(([name, value]) => `${name}: ${value}`), '', ''].join('\r\n'))
  for (let id = 1; id <= 3; id += 1) socket.write(formatChunk(`id: ${id}\ndata: piece\n\n`))
}

type Gateway = Awaited<ReturnType<typeof startGateway>>

function fieldsOf ({ events }: Gateway, name: string): Array<Record<string, unknown>> {
  return events.flatMap(({ event, fields }) => event === name ? [fields] : [])
}

/** Ends the stop a while after three events of a stream were received; resolves with whether the stream is whole. */
async function cutStream ({ port, endStop }: Gateway): Promise<boolean> {
  const response = await fetch(`http://127.0.0.1:${port}/once/`, { method: 'POST', body: 'b', headers: { 'x-request': 'r-1', authorization: 'Bearer key-1' } })
  let text = ''
  try {
    for await (const chunk of response.body ?? []) {
      text += new TextDecoder().decode(chunk as Uint8Array)
      if (text.includes('id: 3')) setTimeout(endStop, silentMs)
    }
    return true
  } catch {
    return false
  }
}

function hasTimes (decision: unknown, names: readonly string[]): boolean {
  return names.every(name => Number.isInteger((decision as Record<string, unknown>)[name]))
}

const times = ['deadlineInMs', 'leftMs', 'sinceStopMs']

test('a request that is sent during a stop has one line that tells what was decided, and is counted', async t => {
  const gateway = await startGateway(t, [respondOk])
  await gateway.call('/look-up/', 'r-before', { body: 'b' })
  t.deepEqual(fieldsOf(gateway, 'stopGateAdmitted'), [])
  gateway.beginStop(longStopMs)
  t.like(await gateway.call('/look-up/', 'r-1', { body: 'b' }), { status: 200 })
  const lines = fieldsOf(gateway, 'stopGateAdmitted')
  t.like(lines, { length: 1, 0: { request: 'r-1', route: 'look-up', stopDecision: { isAdmitted: true, basis: 'nothing-known', expectedMs: undefined, knownAnswers: 1, recentAnswers: 1, openStreams: 0 } } })
  t.true(hasTimes(lines[0]!['stopDecision'], [...times, 'newestAnswerAgeMs']))
  t.is(await gateway.metrics.counterValue('stop_gate_decisions_total', { decision: 'admitted', basis: 'nothing-known' }), 1)
})

test('a request that a stopping node refuses has the decision in the line of its refusal, and is counted once', async t => {
  const gateway = await startGateway(t, [respondOk])
  gateway.beginStop(shortStopMs)
  t.like(await gateway.call('/register/', 'r-1', { body: 'b' }), { status: 503 })
  const lines = fieldsOf(gateway, 'gatewayRefused')
  t.like(lines, { length: 1, 0: { request: 'r-1', route: 'register', reason: 'draining', sent: 0, stopDecision: { isAdmitted: false, basis: 'deadline', knownAnswers: 0 } } })
  t.true(hasTimes(lines[0]!['stopDecision'], times))
  t.deepEqual(fieldsOf(gateway, 'stopGateAdmitted'), [])
  t.is(await gateway.metrics.counterValue('stop_gate_decisions_total', { decision: 'refused', basis: 'deadline' }), 1)
  t.is(await gateway.metrics.counterValue('stop_gate_decisions_total', { decision: 'admitted' }), 0)
})

test('a retry that a stopping node refuses has the decision in the line that ends its request', async t => {
  const gateway: Gateway = await startGateway(t, [respondNotRun, respondNotRun].map((handler): RawRequestHandler => (request, socket) => {
    gateway.beginStop(shortStopMs)
    handler(request, socket)
  }))
  t.like(await gateway.call('/look-up/', 'r-1', { body: 'b' }), { status: 503 })
  t.like(fieldsOf(gateway, 'gatewayRefused'), { length: 1, 0: { reason: 'draining', sent: 1, stopDecision: { isAdmitted: false, basis: 'nothing-known' } } })
  t.is(await gateway.metrics.counterValue('stop_gate_decisions_total', { decision: 'refused', basis: 'nothing-known' }), 1)
})

test('a retry refused during a stop after a 5xx response has the decision in the line of its answer', async t => {
  const gateway: Gateway = await startGateway(t, [0, 1].map((): RawRequestHandler => ({ headers }, socket) => {
    gateway.beginStop(shortStopMs)
    socket.write(formatResponse(500, signed(headers['x-request'] ?? ''), 'failed'))
  }))
  t.like(await gateway.call('/look-up/', 'r-1', { body: 'b' }), { status: 500 })
  await waitUntil(() => fieldsOf(gateway, 'gatewayAnswered').length === 1)
  t.like(fieldsOf(gateway, 'gatewayAnswered')[0], { status: 500, sent: 1, stopDecision: { isAdmitted: false } })
})

test('a stream that is cut at the end of a stop has a line with the decision and how far it had come', async t => {
  const gateway = await startGateway(t, [beginStream])
  gateway.beginStop(longStopMs)
  t.false(await cutStream(gateway))
  const lines = fieldsOf(gateway, 'gatewayCut')
  t.like(lines, { length: 1, 0: { request: 'r-1', reason: 'draining', sent: 1, events: 3, stopDecision: { isAdmitted: true, basis: 'nothing-known', pausePerEventMs: undefined } } })
  t.true(Number(lines[0]!['pausePerEventMs']) >= silentMs - timerErrorMs)
  t.true(Number(lines[0]!['sinceSentMs']) >= Number(lines[0]!['pausePerEventMs']))
  t.is(await gateway.metrics.counterValue('answers_cut_at_stop_total', { basis: 'nothing-known' }), 1)
})

test('a stream that was sent before the stop in which it is cut has no decision in its line', async t => {
  const gateway = await startGateway(t, [beginStream])
  t.false(await cutStream(gateway))
  t.like(fieldsOf(gateway, 'gatewayCut'), { length: 1, 0: { reason: 'draining', sent: 1, events: 3, stopDecision: undefined } })
  t.is(await gateway.metrics.counterValue('answers_cut_at_stop_total', { basis: 'before-stop' }), 1)
})

test('a request that has no answer at the end of a stop has a line with the decision and how long it was open', async t => {
  const gateway = await startGateway(t, [() => {}], { routes: configuration.routes.map(route => ({ ...route, timeoutMs: 10_000 })) })
  gateway.beginStop(longStopMs)
  const response = gateway.call('/register/', 'r-1', { body: 'b' })
  await waitUntil(() => gateway.servers[0]!.requests.length === 1)
  setTimeout(gateway.endStop, silentMs)
  t.like(await response, { status: 504 })
  const lines = fieldsOf(gateway, 'gatewayRefused')
  t.like(lines, { length: 1, 0: { reason: 'draining', sent: 1, events: 0, pausePerEventMs: undefined, stopDecision: { isAdmitted: true, basis: 'deadline' } } })
  t.true(Number(lines[0]!['sinceSentMs']) >= silentMs - timerErrorMs)
  t.is(await gateway.metrics.counterValue('answers_cut_at_stop_total'), 0)
})
