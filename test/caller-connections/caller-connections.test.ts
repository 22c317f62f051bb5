/** Ends of callers' connections, over real sockets. */
import { createServer } from 'node:http'
import { once } from 'node:events'
import { connect, createServer as createTcpServer } from 'node:net'
import test from 'ava'
import { createCallerConnections, cutAnswer } from '../../src/core/caller-connections/index.ts'
import { createSystemClock } from '../../src/core/clock/index.ts'
import { connectCaller } from '../raw-caller.ts'
import type { ExecutionContext } from 'ava'
import type { AddressInfo, Socket } from 'node:net'
import type { ServerResponse } from 'node:http'
import type { AnswerEnd } from '../../src/core/caller-connections/index.ts'

const clock = createSystemClock()
const largeBytes = 15 * 1024 * 1024
const badRequest = 'HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\nconnection: close\r\n\r\n'

/** Starts a server whose responses are kept until the test ends them. */
async function startServer (t: ExecutionContext, connectionsClock = clock) {
  const state = { isDraining: false }
  const responses = new Map<string, ServerResponse>()
  const late: string[] = []
  const server = createServer({ requireHostHeader: false }, (request, response) => {
    connections.take(request, response, () => responses.set(request.url ?? '', response))
  })
  const connections = createCallerConnections({
    server,
    clock: connectionsClock,
    isDraining: () => state.isDraining,
    onLateRequest: ({ url }) => late.push(url ?? ''),
    onParserError: () => badRequest
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  t.teardown(async () => {
    await connections.stopListening(clock.monotonicMs())
    connections.close()
  })
  const caller = await connectCaller((server.address() as AddressInfo).port)
  t.teardown(() => caller.socket.destroy())
  const responseTo = async (path: string): Promise<ServerResponse> => {
    while (!responses.has(path)) await clock.sleep(5)
    return responses.get(path)!
  }
  return { server, connections, state, caller, responses, responseTo, late }
}

function get (path: string): string {
  return `GET ${path} HTTP/1.1\r\nhost: h\r\n\r\n`
}

test('pipelined requests are handled in turn, only the last answer announces the end, and all are delivered', async t => {
  const { caller, state, responseTo, responses, late } = await startServer(t)
  caller.write(get('/1') + get('/2'))
  const first = await responseTo('/1')
  t.false(responses.has('/2'))
  state.isDraining = true
  first.end('one')
  const second = await responseTo('/2')
  second.end('two')
  caller.write(get('/3'))
  const answers = [await caller.nextResponse(), await caller.nextResponse(), await caller.nextResponse()]
  t.deepEqual(answers.map(({ body, isComplete }) => ({ body, isComplete })), [{ body: 'one', isComplete: true }, { body: 'two', isComplete: true }, { body: '', isComplete: false }])
  t.deepEqual(answers.map(({ head }) => /connection: close/.test(head)), [false, true, false])
  t.deepEqual(late, ['/3'])
})

test('a pipelined request does not run behind an answer that announces the end', async t => {
  const { caller, responseTo, responses, late } = await startServer(t)
  caller.write('GET /1 HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n' + get('/2'))
  ;(await responseTo('/1')).end('one')
  t.like(await caller.nextResponse(), { body: 'one', isComplete: true })
  t.like(await caller.nextResponse(), { status: 0 })
  t.false(responses.has('/2'))
  t.true(late.length <= 1)
})

test('a request that asks for an upgrade is answered, and its connection ends', async t => {
  const { caller, responseTo } = await startServer(t)
  caller.write('GET /1 HTTP/1.1\r\nhost: h\r\nconnection: upgrade\r\nupgrade: websocket\r\n\r\n')
  ;(await responseTo('/1')).end('one')
  const answer = await caller.nextResponse()
  t.like(answer, { status: 200, body: 'one', isComplete: true })
  t.regex(answer.head, /connection: close/)
})

test('an answer that announces the end reaches a slow caller whole, although bytes of the caller are unread', async t => {
  const { caller, state, responseTo, connections } = await startServer(t)
  state.isDraining = true
  caller.write(get('/1'))
  const response = await responseTo('/1')
  caller.socket.pause()
  response.end(Buffer.alloc(largeBytes, 'x'))
  caller.write(`POST /2 HTTP/1.1\r\nhost: h\r\ncontent-length: 100000\r\n\r\n${'y'.repeat(100_000)}`)
  await clock.sleep(100)
  t.is(connections.openRequestCount(), 1)
  caller.socket.resume()
  const { body, isComplete } = await caller.nextResponse()
  t.deepEqual({ length: body.length, isComplete }, { length: largeBytes, isComplete: true })
})

test('an answer is delivered although bytes that can not be parsed follow its request', async t => {
  const { caller, responseTo } = await startServer(t)
  caller.write(`${get('/1')}\0\0\r\n\r\n`)
  const response = await responseTo('/1')
  await clock.sleep(20)
  response.end('one')
  const answer = await caller.nextResponse()
  t.like(answer, { status: 200, body: 'one', isComplete: true })
  t.regex(answer.head, /connection: close/)
  t.like(await caller.nextResponse(), { status: 0 })
})

test('a request whose body can not be parsed is answered on a kept connection', async t => {
  const { caller, responseTo } = await startServer(t)
  caller.write(get('/1'))
  ;(await responseTo('/1')).end('one')
  t.like(await caller.nextResponse(), { status: 200 })
  caller.write('POST /2 HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\nno chunk\r\n')
  t.like(await caller.nextResponse(), { status: 400, isComplete: true })
})

test('an idle connection ends regularly, and a request that crosses its end is not handled', async t => {
  const { server, caller, responseTo, late } = await startServer(t)
  server.keepAliveTimeout = 50
  caller.write(get('/1'))
  ;(await responseTo('/1')).end('one')
  t.like(await caller.nextResponse(), { status: 200 })
  await once(caller.socket, 'end')
  caller.write(get('/2'))
  while (late.length === 0) await clock.sleep(5)
  t.deepEqual(late, ['/2'])
})

test('an answer whose connection is closed while bytes of it wait is not delivered', async t => {
  const { caller, responseTo, connections } = await startServer(t)
  caller.write(get('/1'))
  const response = await responseTo('/1')
  caller.socket.pause()
  response.end(Buffer.alloc(largeBytes, 'x'))
  await clock.sleep(50)
  const closed = new Promise<AnswerEnd | undefined>(resolve => connections.onAnswerClosed(response, resolve))
  connections.close()
  const end = await closed
  t.is(end?.reason, 'stop-deadline')
  t.true(end!.waitingBytes > 0)
})

test('the end of a connection reaches the answer in progress, and no request behind it runs', async t => {
  const { caller, responseTo, responses, connections } = await startServer(t)
  caller.write(get('/1') + get('/2'))
  const response = await responseTo('/1')
  const end = new Promise<AnswerEnd | undefined>(resolve => connections.onAnswerClosed(response, resolve))
  caller.socket.resetAndDestroy()
  t.is((await end)?.reason, 'caller-closed')
  t.is(connections.openRequestCount(), 0)
  t.false(responses.has('/2'))
})

test('the wait for quiet lasts until a caller has read the last answer of its connection', async t => {
  const { caller, state, responseTo, connections } = await startServer(t)
  state.isDraining = true
  caller.write(get('/1'))
  caller.socket.pause()
  ;(await responseTo('/1')).end('one')
  let isQuiet = false
  const quiet = connections.whenQuiet(50, clock.monotonicMs() + 10_000).then(() => { isQuiet = true })
  await clock.sleep(500)
  t.false(isQuiet)
  caller.socket.resume()
  t.like(await caller.nextResponse(), { status: 200, body: 'one' })
  caller.socket.destroy()
  await quiet
})

for (const [name, text, status] of [
  ['without a host', 'GET /2 HTTP/1.1\r\n\r\n', 400],
  ['with an expectation that is not known', 'GET /2 HTTP/1.1\r\nhost: h\r\nexpect: foo\r\n\r\n', 200],
  ['for a tunnel', 'CONNECT h:1 HTTP/1.1\r\nhost: h\r\n\r\n', 405]
] as const) {
  test(`a request ${name} is answered, and doesn't end the answer before it`, async t => {
    const { caller, responseTo, responses } = await startServer(t)
    caller.write(text)
    if (status === 200) (await responseTo('/2')).end('two')
    t.is((await caller.nextResponse()).status, status)
    const behind = await connectCaller(caller.socket.remotePort!)
    t.teardown(() => behind.socket.destroy())
    behind.write(get('/1') + text)
    const response = await responseTo('/1')
    await clock.sleep(20)
    responses.delete('/2')
    behind.socket.pause()
    response.end(Buffer.alloc(largeBytes, 'x'))
    await clock.sleep(50)
    behind.socket.resume()
    const { isComplete, body } = await behind.nextResponse()
    t.deepEqual({ isComplete, length: body.length }, { isComplete: true, length: largeBytes })
  })
}

test('a caller that pipelines without end gets a bounded number of answers, the last of which announces the end', async t => {
  const { caller, responseTo, late } = await startServer(t)
  caller.write(Array.from({ length: 500 }, (_, index) => get(`/${index}`)).join(''))
  const heads: string[] = []
  for (let index = 0; !heads.at(-1)?.includes('connection: close'); index += 1) {
    ;(await responseTo(`/${index}`)).end('x')
    heads.push((await caller.nextResponse()).head)
  }
  t.is(heads.length, 65)
  t.is(late.length, 500 - heads.length)
})

// Guards against a request that is ended by the clock alone, although its answer only waits to be read.
test('an answer that arrived by the end of the wait is delivered although the node was stalled then', async t => {
  let nowMs = 0
  let wake = (): void => {}
  const stallableClock = { ...clock, monotonicMs: () => nowMs, sleep: () => new Promise<void>(resolve => { wake = resolve }) }
  const { caller, connections, responseTo } = await startServer(t, stallableClock)
  const backend = createTcpServer().listen(0, '127.0.0.1')
  await once(backend, 'listening')
  const upstream = connect((backend.address() as AddressInfo).port, '127.0.0.1')
  const [serverSide] = await once(backend, 'connection') as [Socket]
  t.teardown(() => {
    upstream.destroy()
    serverSide.destroy()
    backend.close()
  })
  caller.write(get('/'))
  const response = await responseTo('/')
  upstream.on('data', () => response.end('whole'))
  const answered = connections.whenAnswered(100)
  serverSide.write('answer')
  nowMs = 200
  wake()
  await answered
  t.is(connections.openRequestCount(), 0)
  t.like(await caller.nextResponse(), { status: 200, body: 'whole', isComplete: true })
})

// Guards against pipelined requests that are dropped without a line when a stop cuts the stream before them.
test('a request that waits behind an answer that is cut is reported as not handled', async t => {
  const { caller, responseTo, responses, late } = await startServer(t)
  caller.write(get('/1'))
  const response = await responseTo('/1')
  response.write('event')
  caller.write(get('/2'))
  await clock.sleep(50)
  cutAnswer(response)
  t.false((await caller.nextResponse()).isComplete)
  t.false(responses.has('/2'))
  // The caller may see the end of the connection before the server has closed its side.
  for (let checks = 0; checks < 100 && late.length === 0; checks += 1) await clock.sleep(5)
  t.deepEqual(late, ['/2'])
})
