/** The field `sent` of the lines that end requests. */
import test from 'ava'
import { formatChunk } from '../../src/stand-ins/raw-backend/index.ts'
import { configuration, signed, startGateway } from './deployment.ts'
import { waitUntil } from './wait-until.ts'
import type { RawRequestHandler } from '../../src/stand-ins/raw-backend/index.ts'

const timeoutMs = 300
const routes = configuration.routes.map(route => ({ ...route, timeoutMs }))

const beginStream: RawRequestHandler = ({ headers }, socket) => {
  const lines = Object.entries({ ...signed(headers['x-request'] ?? ''), 'content-type': 'text/event-stream', 'transfer-encoding': 'chunked' })
  socket.write(['HTTP/1.1 200 OK', ...lines.map(([name, value]) => `${name}: ${value}`), '', ''].join('\r\n') + formatChunk('id: 1\ndata: piece\n\n'))
}

const streamOnce: RawRequestHandler = (request, socket) => {
  beginStream(request, socket)
  socket.write('0\r\n\r\n')
}

// Guards against lines that say that a request was not sent, because its last attempt was in progress or was a whole stream.
for (const [name, event, path, handler] of [
  ['a stream that is cut at its deadline', 'gatewayCut', '/once/', beginStream],
  ['a request without an answer at its deadline', 'gatewayRefused', '/register/', () => {}],
  ['a whole stream', 'gatewayAnswered', '/once/', streamOnce]
] as const) {
  test(`the line that ends ${name} counts its attempt as sent`, async t => {
    const { call, events } = await startGateway(t, [handler], { routes })
    await call(path, 'r-1', { body: 'b' })
    await waitUntil(() => events.some(entry => entry.event === event))
    t.like(events.find(entry => entry.event === event)?.fields, { request: 'r-1', sent: 1, unreached: 0 })
  })
}

for (const [path, handler] of [['/once/', beginStream], ['/register/', () => {}]] as const) {
  test(`the line of a caller of ${path} that leaves during an attempt counts it as sent`, async t => {
    const { call, events, servers } = await startGateway(t, [handler])
    const leaving = new AbortController()
    const left = call(path, 'r-1', { body: 'b', signal: leaving.signal }).catch(() => {})
    await waitUntil(() => servers[0]!.requests.length === 1)
    leaving.abort()
    await left
    await waitUntil(() => events.some(({ event }) => event === 'gatewayLeft'))
    t.like(events.find(({ event }) => event === 'gatewayLeft')?.fields, { request: 'r-1', sent: 1 })
  })
}

test('an attempt that reaches no backend server does not count as sent', async t => {
  const { call, events, servers } = await startGateway(t, [() => {}])
  await servers[0]!.close()
  t.like(await call('/register/', 'r-1', { body: 'b' }), { status: 503 })
  t.like(events.find(({ event }) => event === 'gatewayRefused')?.fields, { request: 'r-1', sent: 0, unreached: 1 })
})
