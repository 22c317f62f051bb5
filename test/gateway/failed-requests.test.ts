/** Requests whose handling fails unexpectedly, and backend servers that no connection can be made to. */
import { request } from 'node:http'
import test from 'ava'
import { answerToFailure } from '../../src/core/gateway/failed-request.ts'
import { toId } from '../../src/core/ids/index.ts'
import { formatResponse } from '../../src/stand-ins/raw-backend/index.ts'
import { respondOk, signed, startGateway } from './deployment.ts'
import { waitUntil } from './wait-until.ts'
import type { BackendId } from '../../src/core/ids/index.ts'
import type { RawRequestHandler } from '../../src/stand-ins/raw-backend/index.ts'

test('requests are served by a sound backend server while no client can be created for those beside it, which are suspected once in a while', async t => {
  const gateway = await startGateway(t, [respondOk])
  const sound = gateway.backends.get(toId<BackendId>('b-0'))!.entry
  gateway.backends.remove(sound.id, 'put again behind the others')
  for (let index = 0; index < 3; index += 1) gateway.backends.put({ ...sound, id: toId<BackendId>(`odd-${index}`), address: { host: '127.0.0.1', port: 70_000 } })
  gateway.backends.put(sound)
  const statuses: number[] = []
  for (let index = 0; index < 60; index += 1) statuses.push(await gateway.call(['/register/', '/look-up/', '/quick/'][index % 3]!, `r-${index}`).then(({ status }) => status, () => 0))
  t.is(statuses.filter(status => status !== 200).length, 0)
  const kinds = gateway.events.map(({ event }) => event)
  t.false(kinds.includes('gatewayFailed'))
  t.true(kinds.filter(event => event === 'backendSuspected').length <= 30)
})

test('a request whose handling fails gets 503 with a time to retry if the backend server did not get it, and else 502', async t => {
  const gateway = await startGateway(t, [respondOk])
  for (const [step, status] of [['choose', 503], ['sent', 503], ['ended', 502], ['released', 502]] as const) {
    gateway.state.failingStep = step
    const response = await gateway.call('/register/', `r-${step}`)
    t.is(response.status, status, step)
    t.is(response.headers.get('x-seal'), null)
    t.is(Number(response.headers.get('retry-after') ?? -1) > 0, status === 503, step)
  }
  t.deepEqual(gateway.servers[0]!.requests.map(({ headers }) => headers['x-request']), ['r-ended', 'r-released'])
  gateway.state.failingStep = undefined
  t.is((await gateway.call('/register/', 'r-last')).status, 200)
  t.is(gateway.events.filter(({ event }) => event === 'gatewayFailed').length, 4)
})

test('a failed request releases what it took, so that many do not use up the node', async t => {
  const gateway = await startGateway(t, [respondOk])
  for (const step of ['choose', 'sent', 'ended', 'released'] as const) {
    gateway.state.failingStep = step
    // More than the admission control lets through at the same time.
    for (let index = 0; index < 120; index += 1) t.true((await gateway.call('/register/', `${step}-${index}`)).status >= 502)
  }
  gateway.state.failingStep = undefined
  t.is((await gateway.call('/register/', 'r-last')).status, 200)
  t.is(gateway.router.localLoads().get(toId<BackendId>('b-0'))?.requests ?? 0, 0)
})

test('a failed request that was not sent gives back its permit of a limited backend server', async t => {
  const limited: RawRequestHandler = ({ headers }, socket) => {
    socket.write(formatResponse(200, { ...signed(headers['x-request'] ?? ''), 'x-limit': '2', connection: 'close' }, 'whole'))
  }
  const gateway = await startGateway(t, [limited])
  t.is((await gateway.call('/register/', 'r-1')).status, 200)
  // One permit is earned; without it, the requests would be refused because of the limit.
  await new Promise(resolve => setTimeout(resolve, 700))
  gateway.state.failingStep = 'sent'
  t.is((await gateway.call('/register/', 'r-2')).status, 503)
  gateway.state.failingStep = undefined
  t.is((await gateway.call('/register/', 'r-3')).status, 200)
  t.deepEqual(gateway.servers[0]!.requests.map(({ headers }) => headers['x-request']), ['r-1', 'r-3'])
})

test('a stream that has begun when its handling fails is cut visibly', async t => {
  // Without a length, a mere end of the connection would look like the end of the stream.
  const breaksOff: RawRequestHandler = ({ headers }, socket) => {
    const head = Object.entries(signed(headers['x-request'] ?? '')).map(([name, value]) => `${name}: ${value}\r\n`).join('')
    socket.write(`HTTP/1.1 200 OK\r\n${head}\r\nid: 1\ndata: x\n\n`)
    setTimeout(() => socket.resetAndDestroy(), 50)
  }
  const gateway = await startGateway(t, [breaksOff])
  gateway.state.failingStep = 'ended'
  const end = await new Promise<string>(resolve => {
    request({ host: '127.0.0.1', port: gateway.port, path: '/once/', headers: { 'x-request': 'r-1', authorization: 'Bearer key-1' } }, response => {
      response.on('error', () => resolve('cut')).on('end', () => resolve('complete')).resume()
    }).on('error', () => resolve('cut')).end()
  })
  t.is(end, 'cut')
  await waitUntil(() => gateway.ingress.inFlight() === 0)
})

test('the answer to a failure says that a request was not run only when that is certain, and leaves a complete answer alone', t => {
  t.like(answerToFailure({ hasBegun: false, hasEnded: false, mayHaveRun: false }), { kind: 'refused', status: 503 })
  t.like(answerToFailure({ hasBegun: false, hasEnded: false, mayHaveRun: true }), { kind: 'refused', status: 502 })
  for (const mayHaveRun of [false, true]) {
    t.deepEqual(answerToFailure({ hasBegun: true, hasEnded: false, mayHaveRun }), { kind: 'cut' })
    t.deepEqual(answerToFailure({ hasBegun: true, hasEnded: true, mayHaveRun }), { kind: 'none' })
  }
})

test('a target that can not be sent on is refused, and no backend server is suspected for it', async t => {
  const gateway = await startGateway(t, [respondOk])
  for (const path of ['/look-up/\f', '/look-up/\t']) {
    const status = await new Promise<number | undefined>((resolve, reject) => {
      const sent = request({ host: '127.0.0.1', port: gateway.port, path: '/', headers: { 'x-request': 'r', authorization: 'Bearer key-1' } }, response => {
        response.resume()
        resolve(response.statusCode)
      }).on('error', reject)
      // The client checks the path only when it is given to it.
      sent.path = path
      sent.end()
    })
    t.is(status, 400, JSON.stringify(path))
  }
  t.false(gateway.events.some(({ event }) => event === 'backendSuspected'))
})

test('a stream whose last event id no header can hold is cut, and no backend server is suspected or asked to go on from elsewhere', async t => {
  const breaksAfter = (id: string): RawRequestHandler => ({ headers }, socket) => {
    const head = Object.entries(signed(headers['x-request'] ?? '')).map(([name, value]) => `${name}: ${value}\r\n`).join('')
    socket.write(`HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n${head}\r\nid: ${id}\ndata: x\n\n`)
    setTimeout(() => socket.destroy(), 30)
  }
  for (const id of ['\u0000', 'a\u0007', 'x'.repeat(20_000), '']) {
    const gateway = await startGateway(t, [breaksAfter(id), breaksAfter(id), breaksAfter(id)])
    t.like(await gateway.call('/resumable/', 'r-1'), { status: 200, broken: true })
    t.is(gateway.servers.flatMap(({ requests }) => requests).length, 1)
    t.true(gateway.events.filter(({ event }) => event === 'backendSuspected').length <= 1)
  }
})

test('a stream goes on after an event id with any other bytes', async t => {
  const handler: RawRequestHandler = ({ headers }, socket) => {
    const isResumed = headers['last-event-id'] !== undefined
    const head = Object.entries(signed(headers['x-request'] ?? '')).map(([name, value]) => `${name}: ${value}\r\n`).join('')
    socket.write(`HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n${head}\r\n`)
    const event = `id: ${isResumed ? 2 : '\u4e2d'}\ndata: x\n\n`
    socket.write(`${Buffer.byteLength(event).toString(16)}\r\n${event}\r\n`)
    if (isResumed) socket.write('0\r\n\r\n')
    else setTimeout(() => socket.destroy(), 30)
  }
  const gateway = await startGateway(t, [handler, handler])
  t.like(await gateway.call('/resumable/', 'r-1'), { status: 200, broken: false })
  const [, resumed] = gateway.servers.flatMap(({ requests }) => requests)
  t.is(Buffer.from(resumed?.headers['last-event-id'] ?? '', 'latin1').toString(), '\u4e2d')
})
