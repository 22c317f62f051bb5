/** Backend servers that send bytes without end: what they cost the node, and what callers get. */
import test from 'ava'
import { createEventBuffer } from '../../src/core/gateway/event-stream.ts'
import { createResponseBuffers, responseLimitsFor } from '../../src/core/gateway/response-buffers.ts'
import { configuration, respondOk, signed, startGateway } from './deployment.ts'
import { waitUntil } from './wait-until.ts'
import type { Socket } from 'node:net'
import type { RawRequestHandler } from '../../src/stand-ins/raw-backend/index.ts'

const kibibyte = 1_024
const mebibyte = 1_024 * kibibyte
/** Bytes that a server may get rid of before its connection is closed: the largest response, and what sockets buffer. */
const maxSentBytes = 40 * mebibyte

/** Writes the same bytes for as long as the connection is open; returns the number of bytes written so far. */
function writeWithoutEnd (socket: Socket, text: string): () => number {
  const bytes = Buffer.from(text.repeat(Math.max(1, Math.floor(64 * kibibyte / text.length))))
  let sentBytes = 0
  function write (): void {
    while (!socket.destroyed && sentBytes < 8 * maxSentBytes) {
      sentBytes += bytes.length
      if (!socket.write(bytes)) {
        socket.once('drain', () => setImmediate(write))
        return
      }
    }
  }
  write()
  return () => sentBytes
}

function head (request: string, status: number, headers: Record<string, string>): string {
  return [`HTTP/1.1 ${status} Status`, ...Object.entries({ ...signed(request), ...headers }).map(([name, value]) => `${name}: ${value}`), '', ''].join('\r\n')
}

function chunked (text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`
}

/** Long enough for the bytes up to each limit on a busy machine, so that a timeout can't take the place of the limit. */
const longTimeouts = { routes: configuration.routes.map(route => ({ ...route, timeoutMs: 30_000 })) }

const filler = 'x'.repeat(16 * kibibyte)
const eventStream = { 'content-type': 'text/event-stream', 'transfer-encoding': 'chunked' }

/** Servers by what they send without end; `path` is of an at-most-once route or of a stream. */
const cases: Array<{ name: string, path: string, before: (request: string) => string, repeated: string }> = [
  { name: 'header fields', path: '/register/', before: () => 'HTTP/1.1 200 OK\r\n', repeated: 'x-filler: more\r\n' },
  { name: 'one header field', path: '/register/', before: () => 'HTTP/1.1 200 OK\r\nx-filler: ', repeated: filler },
  { name: 'informational responses', path: '/register/', before: () => '', repeated: 'HTTP/1.1 102 Processing\r\n\r\n' },
  { name: 'a reason in its status line', path: '/register/', before: () => 'HTTP/1.1 200 ', repeated: filler },
  { name: 'blank lines before its head', path: '/register/', before: () => '', repeated: '\r\n' },
  { name: 'the extension of a chunk', path: '/register/', before: request => `${head(request, 200, { 'transfer-encoding': 'chunked' })}1;`, repeated: filler },
  { name: 'extensions of chunks of a stream', path: '/once/', before: request => head(request, 200, eventStream), repeated: `8;${filler}\r\ndata: x\n\r\n` },
  { name: 'a body in chunks of one byte', path: '/register/', before: request => head(request, 200, { 'transfer-encoding': 'chunked' }), repeated: chunked('x') },
  { name: 'a body of unknown length', path: '/register/', before: request => head(request, 200, { 'transfer-encoding': 'chunked' }), repeated: chunked(filler) },
  { name: 'a body that ends with its connection', path: '/register/', before: request => head(request, 200, {}), repeated: filler },
  { name: 'a body of an absurd length', path: '/register/', before: request => head(request, 200, { 'content-length': '9000000000000' }), repeated: filler },
  { name: 'the body of an error', path: '/register/', before: request => head(request, 500, { 'transfer-encoding': 'chunked' }), repeated: chunked(filler) },
  { name: 'one line of a stream', path: '/once/', before: request => head(request, 200, eventStream), repeated: chunked(filler) },
  { name: 'comments of a stream', path: '/once/', before: request => head(request, 200, eventStream), repeated: chunked(': still working\n\n') }
]

for (const { name, path, before, repeated } of cases) {
  test(`a server that sends ${name} without end is cut off, and the caller gets 502 long before the timeout`, async t => {
    let sentBytes = (): number => 0
    const endless: RawRequestHandler = ({ headers }, socket) => {
      socket.write(before(headers['x-request'] ?? ''))
      sentBytes = writeWithoutEnd(socket, repeated)
    }
    const { call, servers, attempts, events } = await startGateway(t, [endless], longTimeouts)
    t.is((await call(path, 'r-1', { body: 'b' })).status, 502)
    await waitUntil(() => servers[0]!.closedCount() === 1)
    t.true(sentBytes() <= maxSentBytes, `${sentBytes()} bytes`)
    t.deepEqual(attempts.map(({ ok }) => ok), [false])
    t.true(events.some(({ event }) => event === 'backendSuspected'))
  })
}

test('a response of 100 KB in chunks of one byte is forwarded whole', async t => {
  const body = 'x'.repeat(100_000)
  const { call } = await startGateway(t, [({ headers }, socket) => {
    socket.write(`${head(headers['x-request'] ?? '', 200, { 'transfer-encoding': 'chunked' })}${chunked('x').repeat(body.length)}0\r\n\r\n`)
  }], longTimeouts)
  t.like(await call('/register/', 'r-1', { body: 'b' }), { status: 200, body })
})

test('a repeatable request is answered by another server when the first one sends a body without end', async t => {
  const endless: RawRequestHandler = ({ headers }, socket) => {
    socket.write(head(headers['x-request'] ?? '', 200, { 'transfer-encoding': 'chunked' }))
    writeWithoutEnd(socket, chunked(filler))
  }
  const { call, servers } = await startGateway(t, [endless, endless], longTimeouts)
  servers[1]!.setHandler(respondOk)
  const responses = await Promise.all(['r-1', 'r-2', 'r-3', 'r-4'].map(id => call('/look-up/', id)))
  t.deepEqual(responses.map(({ status, body }) => ({ status, body })), responses.map(() => ({ status: 200, body: 'whole' })))
})

test('the length of a body that a HEAD request leaves out is no reason to fail it', async t => {
  const { port } = await startGateway(t, [({ headers }, socket) => { socket.write(head(headers['x-request'] ?? '', 200, { 'content-length': '9000000000' })) }])
  const response = await fetch(`http://127.0.0.1:${port}/look-up/`, { method: 'HEAD', headers: { 'x-request': 'r-1', authorization: 'Bearer key-1' } })
  t.is(response.status, 200)
})

test('a request that certainly was not run is refused as such, although the body of the refusal has no end', async t => {
  const handlers: RawRequestHandler[] = [
    ({ headers }, socket) => {
      socket.write(head(headers['x-request'] ?? '', 503, { 'x-not-run': '1', 'transfer-encoding': 'chunked' }))
      writeWithoutEnd(socket, chunked(filler))
    },
    ({ headers }, socket) => { socket.write(head(headers['x-request'] ?? '', 503, { 'x-not-run': '1', 'content-length': '10' })) }
  ]
  for (const handler of handlers) {
    const { call, servers } = await startGateway(t, [handler])
    t.is((await call('/register/', 'r-1', { body: 'b' })).status, 503)
    await waitUntil(() => servers[0]!.closedCount() === 1)
  }
})

test('a stream that turns into one line without end after its first event is cut, and does not look complete', async t => {
  const endless: RawRequestHandler = ({ headers }, socket) => {
    socket.write(head(headers['x-request'] ?? '', 200, eventStream) + chunked('id: 1\ndata: piece\n\n'))
    writeWithoutEnd(socket, chunked(filler))
  }
  const { call, attempts } = await startGateway(t, [endless], longTimeouts)
  const { status, body, broken } = await call('/once/', 'r-1', { body: 'b' })
  t.is(status, 200)
  t.is(body, 'id: 1\ndata: piece\n\n')
  t.true(broken)
  t.deepEqual(attempts.map(({ ok }) => ok), [false])
})

test('comments before the first event are no sign of a response, and reach the caller with it', async t => {
  const { call, servers, attempts } = await startGateway(t, [({ headers }, socket) => {
    socket.write(head(headers['x-request'] ?? '', 200, eventStream) + chunked(': waiting\n\n') + chunked(': waiting\n\nid: 1\ndata: piece\n\n: after\n\n') + '0\r\n\r\n')
  }])
  const { body, broken } = await call('/once/', 'r-1', { body: 'b' })
  t.is(body, ': waiting\n\n: waiting\n\nid: 1\ndata: piece\n\n: after\n\n')
  t.false(broken)
  t.deepEqual(attempts.map(({ ok }) => ok), [true])
  servers[0]!.setHandler(({ headers }, socket) => {
    socket.write(head(headers['x-request'] ?? '', 200, eventStream) + chunked(': only this\n\n') + '0\r\n\r\n')
  })
  t.is((await call('/once/', 'r-2', { body: 'b' })).body, ': only this\n\n')
})

test('event boundaries are found wherever the chunks are split', t => {
  for (const lineEnd of ['\n', '\r\n']) {
    const text = [': comment', '', 'id: 7', 'data: a', '', 'id: 8', 'data: b', '', 'data: unfinished'].join(lineEnd)
    const whole = text.slice(0, text.indexOf('data: unfinished'))
    for (let size = 1; size <= text.length; size += 1) {
      const buffer = createEventBuffer()
      let forwarded = ''
      for (let at = 0; at < text.length; at += size) forwarded += buffer.push(Buffer.from(text.slice(at, at + size))).toString()
      t.is(forwarded, whole, `chunks of ${size}`)
      t.is(buffer.eventCount(), 2)
      t.is(buffer.lastEventId(), '8')
      t.true(buffer.hasPartialEvent())
    }
  }
})

test('when all responses together are too large, only the largest is given up', t => {
  const buffers = createResponseBuffers({ maxResponseBytes: 100, maxTotalBytes: 150 })
  const givenUp: string[] = []
  const opened = ['a', 'b', 'c'].map(name => buffers.open(() => givenUp.push(name)))
  opened[0]!.add(Buffer.alloc(90))
  opened[1]!.add(Buffer.alloc(50))
  t.deepEqual(givenUp, [])
  opened[2]!.add(Buffer.alloc(20))
  t.deepEqual(givenUp, ['a'])
  t.is(buffers.sizeBytes(), 70)
  opened[1]!.add(Buffer.alloc(51))
  t.deepEqual(givenUp, ['a', 'b'])
  opened[2]!.close()
  t.is(buffers.sizeBytes(), 0)
})

test('the unfinished events of all streams together have a limit', t => {
  const buffers = createResponseBuffers({ maxResponseBytes: mebibyte, maxTotalBytes: mebibyte })
  const givenUp: string[] = []
  const streams = Array.from({ length: 4 }, (_, index) => buffers.open(() => givenUp.push(`stream-${index}`)))
  for (const [index, stream] of streams.entries()) stream.hold((250 + index) * kibibyte)
  t.deepEqual(givenUp, [])
  streams[0]!.hold(300 * kibibyte)
  t.deepEqual(givenUp, ['stream-0'])
  t.is(buffers.sizeBytes(), (251 + 252 + 253) * kibibyte)
})

test('the limits of responses follow from the memory of the machine', t => {
  t.deepEqual(responseLimitsFor(Infinity), { maxResponseBytes: 16 * mebibyte, maxTotalBytes: 64 * mebibyte })
  t.deepEqual(responseLimitsFor(256 * mebibyte), { maxResponseBytes: 16 * mebibyte, maxTotalBytes: 32 * mebibyte })
  t.deepEqual(responseLimitsFor(64 * mebibyte), { maxResponseBytes: 8 * mebibyte, maxTotalBytes: 8 * mebibyte })
})
