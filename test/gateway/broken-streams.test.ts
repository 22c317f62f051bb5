/** Streams that have begun and break, when the next backend server can't go on with them. */
import { createServer } from 'node:http'
import test from 'ava'
import { createRefusals } from '../../src/core/gateway/refusals.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { formatChunk, formatResponse } from '../../src/stand-ins/raw-backend/index.ts'
import { callRaw } from './call-raw.ts'
import { configuration, respondNotRun, signed, startGateway } from './deployment.ts'
import { waitUntil } from './wait-until.ts'
import type { AddressInfo } from 'node:net'
import type { GatewayConfiguration } from '../../src/core/gateway/index.ts'
import type { RawRequestHandler } from '../../src/stand-ins/raw-backend/index.ts'

const endOfChunks = '0\r\n\r\n'
const eventStream = { 'content-type': 'text/event-stream' }
/** A request that is still open after this time isn't ended before the route's timeout either. */
const maxWaitMs = 10_000

function event (id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`
}

function head (status: number, headers: Record<string, string>): string {
  return [`HTTP/1.1 ${status} Status`, ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`), '', ''].join('\r\n')
}

function chunkedStream (request: string, events: string): string {
  return head(200, { ...signed(request), ...eventStream, 'transfer-encoding': 'chunked' }) + formatChunk(events)
}

/** Sends two events and a part of the third, then resets the connection. */
const breakOff: RawRequestHandler = ({ headers }, socket) => {
  socket.write(chunkedStream(headers['x-request'] ?? '', event(1) + event(2) + event(3).slice(0, 9)))
  setTimeout(() => socket.resetAndDestroy(), 20)
}

/** The same without a length or chunks. */
const breakOffUnframed: RawRequestHandler = ({ headers }, socket) => {
  socket.write(head(200, { ...signed(headers['x-request'] ?? ''), ...eventStream, connection: 'close' }) + event(1) + event(2))
  setTimeout(() => socket.resetAndDestroy(), 20)
}

function first (begin: RawRequestHandler, then: RawRequestHandler): RawRequestHandler {
  return (request, socket) => (request.headers['last-event-id'] === undefined ? begin : then)(request, socket)
}

function respond (status: number, headers: Record<string, string>, body: string): RawRequestHandler {
  return ({ headers: { 'x-request': id = '' } }, socket) => { socket.write(formatResponse(status, { ...signed(id), ...headers }, body)) }
}

/** Routes with a timeout that no test waits for. */
const changes: Partial<GatewayConfiguration> = { routes: configuration.routes.map(route => ({ ...route, timeoutMs: 60_000 })) }

function valueOrOpen<Value> (pending: Promise<Value>): Promise<Value | { status: 'still open' }> {
  return Promise.race([pending, new Promise<{ status: 'still open' }>(resolve => { setTimeout(() => resolve({ status: 'still open' }), maxWaitMs).unref() })])
}

const errorText = 'data: an error\n\n'
const answers: Record<string, RawRequestHandler> = {
  'status 302': respond(302, { location: '/other/' }, errorText),
  'status 400': respond(400, {}, errorText),
  'status 404 and a body without end': ({ headers }, socket) => { socket.write(head(404, { ...signed(headers['x-request'] ?? ''), 'content-length': '100' }) + errorText) },
  'status 500': respond(500, eventStream, errorText),
  'status 503 without a signature': ({ headers }, socket) => { socket.write(formatResponse(503, { 'x-request': headers['x-request'] ?? '' }, errorText)) },
  'a refusal that it did not run': respondNotRun,
  'a response without a signature': ({ headers }, socket) => { socket.write(formatResponse(200, { 'x-request': headers['x-request'] ?? '', ...eventStream }, errorText)) },
  'a page of another type': respond(200, { 'content-type': 'text/html' }, errorText),
  'a compressed stream': respond(200, { ...eventStream, 'content-encoding': 'gzip' }, errorText),
  'status 204': ({ headers }, socket) => { socket.write(head(204, signed(headers['x-request'] ?? ''))) }
}

for (const [name, answer] of Object.entries(answers)) {
  for (const [framing, begin, version] of [['in chunks', breakOff, 'HTTP/1.1'], ['without a length', breakOffUnframed, 'HTTP/1.1'], ['without a length', breakOffUnframed, 'HTTP/1.0']] as const) {
    test(`a stream ${framing} to a caller of ${version} that broke is cut at once, with nothing added, when the next server sends ${name}`, async t => {
      const handler = first(begin, answer)
      const deployment = await startGateway(t, [handler, handler], changes)
      const response = await valueOrOpen<{ status: number, body: string, broken: boolean }>(version === 'HTTP/1.1' ? deployment.call('/resumable/', 'r-1') : callRaw(deployment.port, '/resumable/', 'r-1'))
      t.like(response, { status: 200, body: event(1) + event(2), broken: true })
      const ends = deployment.events.filter(({ event }) => ['gatewayAnswered', 'gatewayCut', 'gatewayLeft', 'gatewayRefused'].includes(event))
      t.deepEqual(ends.map(({ event }) => event), ['gatewayCut'])
      t.truthy(ends[0]?.fields['reason'])
      await waitUntil(() => deployment.ingress.inFlight() === 0)
    })
  }
}

test('a stream that broke goes on at a third server when the second one responds with an error', async t => {
  const answer: RawRequestHandler = (request, socket) => {
    if (servers.every(({ requests }) => requests.length < 2) && servers.filter(({ requests }) => requests.length > 0).length < 3) return respond(500, {}, errorText)(request, socket)
    socket.write(chunkedStream(request.headers['x-request'] ?? '', event(3)) + endOfChunks)
  }
  const handler = first(breakOff, answer)
  const routes = configuration.routes.map(route => ({ ...route, maxBackends: 3, timeoutMs: 60_000 }))
  const deployment = await startGateway(t, [handler, handler, handler], { routes })
  const { servers } = deployment
  t.like(await valueOrOpen(deployment.call('/resumable/', 'r-1')), { status: 200, body: event(1) + event(2) + event(3), broken: false })
})

/** Answers a resumed stream with these events. */
function resumeWith (events: string): RawRequestHandler {
  return ({ headers }, socket) => { socket.write(chunkedStream(headers['x-request'] ?? '', events) + endOfChunks) }
}

/** The events of the next server, and those of them that follow. */
const restarts: Record<string, [string, string]> = {
  'its first event': [event(1) + event(2) + event(3), ''],
  'the last event': [event(2) + event(3), ''],
  'an event that comes twice': [event(3) + event(3) + event(4), event(3)]
}

for (const [name, [events, following]] of Object.entries(restarts)) {
  test(`a stream that broke is cut, and no event comes twice, when the next server goes on with ${name}`, async t => {
    const handler = first(breakOff, resumeWith(events))
    const deployment = await startGateway(t, [handler, handler], changes)
    t.like(await valueOrOpen(deployment.call('/resumable/', 'r-1')), { status: 200, body: event(1) + event(2) + following, broken: true })
    t.true(deployment.events.some(({ event, fields }) => event === 'gatewayCut' && String(fields['detail']).includes('order')))
  })
}

const foreign: Record<string, string> = {
  'the head of an error': 'HTTP/1.1 503 Service Unavailable\r\ncontent-length: 9\r\n\r\nno room\n\n',
  'the text of an error': 'Internal Server Error\n\n',
  'the text of an error after a comment': ': comment\n{"error":"no room"}\n\n'
}

for (const [name, text] of Object.entries(foreign)) {
  test(`a stream is cut, and nothing gets into it, when its server writes ${name} between two events`, async t => {
    for (const begin of [chunkedStream, (id: string, events: string) => head(200, { ...signed(id), ...eventStream, connection: 'close' }) + events]) {
      const { call, events } = await startGateway(t, [({ headers }, socket) => {
        socket.write(begin(headers['x-request'] ?? '', event(1)))
        setTimeout(() => socket.end(begin === chunkedStream ? formatChunk(text) + endOfChunks : text), 20)
      }], changes)
      t.like(await call('/once/', 'r-1'), { status: 200, body: event(1), broken: true })
      t.true(events.some(({ event, fields }) => event === 'gatewayCut' && String(fields['detail']).includes('no event')))
    }
  })
}

test('events may have other fields, and only a few of their own', async t => {
  const events = ['\ufeffdata: text\n\n', 'x-version: 3\n', event(1), 'event: ping\n\n', 'retry: 100\n\n', 'data\n\n', 'data\r\n\r\n'].join('')
  const { call } = await startGateway(t, [resumeWith(events)])
  // The test's decoder leaves out the byte order mark.
  t.like(await call('/once/', 'r-1'), { status: 200, body: events.slice(1), broken: false })
})

test('ids of events may leave numbers out, be absent, or not be numbers', async t => {
  const events = [event(1), 'data: no id\n\n', event(10), 'id: b\ndata: text\n\n', 'id: a\ndata: text\n\n'].join('')
  const { call } = await startGateway(t, [resumeWith(events)])
  t.like(await call('/once/', 'r-1'), { status: 200, body: events, broken: false })
})

test('a request that was handled without an end of its response is cut if it has begun, and gets 502 otherwise', async t => {
  const events: string[] = []
  const refusals = createRefusals({ metrics: createMetrics(), log: event => events.push(event), random: () => 0 })
  const server = createServer((request, response) => {
    response.setHeader('x-seal', 'seal')
    if (request.url === '/begun') response.write(event(1))
    refusals.endUnfinished(response, {})
    refusals.endUnfinished(response, {})
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => server.close())
  const { port } = server.address() as AddressInfo
  const refused = await fetch(`http://127.0.0.1:${port}/`)
  t.deepEqual([refused.status, refused.headers.get('x-seal')], [502, null])
  await t.throwsAsync(fetch(`http://127.0.0.1:${port}/begun`).then(response => response.text()))
  t.deepEqual(events, ['gatewayRefused', 'gatewayCut'])
})
