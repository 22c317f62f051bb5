/** Streams of backend servers that have neither a length nor chunks and end with their connection. */
import { fork } from 'node:child_process'
import { once } from 'node:events'
import test from 'ava'
import { callRaw } from './call-raw.ts'
import { configuration, signed, startGateway } from './deployment.ts'
import type { Socket } from 'node:net'
import type { RawRequestHandler } from '../../src/stand-ins/raw-backend/index.ts'

function event (id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`
}

function headOf (request: string): string {
  return ['HTTP/1.1 200 OK', ...Object.entries(signed(request)).map(([name, value]) => `${name}: ${value}`), 'connection: close', '', ''].join('\r\n')
}

const endings: Record<string, (socket: Socket) => void> = {
  'a regular end': socket => { socket.end() },
  // The delay lets the caller's side read what was sent before the reset.
  'a reset': socket => { setTimeout(() => socket.resetAndDestroy(), 30) }
}

/** What the first server sends before its connection ends. */
const contents: Record<string, string> = {
  'between two events': event(1),
  'inside an event': `${event(1)}id: 2\nda`,
  'after its head': ''
}

/** Answers with the content and the ending at first, and with the rest of the stream afterwards. */
function failingOnce (content: string, end: (socket: Socket) => void): RawRequestHandler {
  let hasFailed = false
  return ({ headers }, socket) => {
    const id = headers['x-request'] ?? ''
    if (!hasFailed) {
      hasFailed = true
      socket.write(headOf(id) + content)
      end(socket)
      return
    }
    const rest = headers['last-event-id'] === '1' ? event(2) : event(1) + event(2)
    socket.end(headOf(id) + rest)
  }
}

type Deployment = Awaited<ReturnType<typeof startGateway>>

const callers: Record<string, (deployment: Deployment, path: string, id: string) => Promise<{ status: number, body: string, broken: boolean }>> = {
  'HTTP/1.1': ({ call }, path, id) => call(path, id),
  'HTTP/1.0': ({ port }, path, id) => callRaw(port, path, id)
}

for (const [version, call] of Object.entries(callers)) {
  for (const [ending, end] of Object.entries(endings)) {
    for (const [place, content] of Object.entries(contents)) {
      const isComplete = ending === 'a regular end' && place === 'between two events'

      test(`a stream that can't be resumed and has ${ending} ${place} reaches a caller of ${version} as ${isComplete ? 'complete' : 'failed'}`, async t => {
        const handler = failingOnce(content, end)
        const deployment = await startGateway(t, [handler])
        const answer = await call(deployment, '/once/', 'r-1')
        if (content === '') t.is(answer.status, 502)
        else t.deepEqual({ body: answer.body, broken: answer.broken }, { body: event(1), broken: !isComplete })
        t.like(await call(deployment, '/once/', 'r-2'), { status: 200, body: event(1) + event(2), broken: false })
      })

      test(`a stream that can be resumed and has ${ending} ${place} reaches a caller of ${version} whole`, async t => {
        const handler = failingOnce(content, end)
        const answer = await call(await startGateway(t, [handler, handler]), '/resumable/', 'r-1')
        t.like(answer, { status: 200, body: isComplete ? event(1) : event(1) + event(2), broken: false })
      })
    }
  }
}

/** Sends an event and keeps the stream open. */
const beginOnly: RawRequestHandler = ({ headers }, socket) => { socket.write(headOf(headers['x-request'] ?? '') + event(1)) }

test('a caller of HTTP/1.1 gets chunks on a connection that stays open, one of HTTP/1.0 the end of its connection', async t => {
  const { call, port } = await startGateway(t, [({ headers }, socket) => { socket.end(headOf(headers['x-request'] ?? '') + event(1)) }])
  for (const path of ['/once/', '/register/']) {
    const { headers, body } = await call(path, 'r-1')
    t.deepEqual(['transfer-encoding', 'content-length', 'connection'].map(name => headers.get(name)), ['chunked', null, 'keep-alive'])
    t.is(body, event(1))
    const old = await callRaw(port, path, 'r-2')
    t.notRegex(old.head, /transfer-encoding|content-length/)
    t.deepEqual([old.body, old.broken], [event(1), false])
  }
})

test('a stream without a length that is cut by its deadline does not look complete', async t => {
  const routes = configuration.routes.map(route => ({ ...route, timeoutMs: 500 }))
  const deployment = await startGateway(t, [beginOnly], { routes })
  for (const call of Object.values(callers)) t.like(await call(deployment, '/once/', 'r-1'), { status: 200, body: event(1), broken: true })
})

// Guards against a 504 for a stream that began in time, on a node that was short of processor time at the deadline.
test('a deadline takes an answer into account that arrived while the node was stalled, and its server is not suspected', async t => {
  const routes = configuration.routes.map(route => ({ ...route, timeoutMs: 500 }))
  const stallAfterBegin: RawRequestHandler = (request, socket) => {
    beginOnly(request, socket)
    const untilMs = performance.now() + 700
    while (performance.now() < untilMs);
  }
  const { call, events } = await startGateway(t, [stallAfterBegin], { routes })
  t.like(await call('/once/', 'r-1'), { status: 200, body: event(1), broken: true })
  t.false(events.some(({ event: name }) => name === 'backendSuspected'))
})

test('a stream without a length whose connection is closed in the regular way before its end does not look complete', async t => {
  const { call, ingress, events } = await startGateway(t, [beginOnly])
  const pending = call('/once/', 'r-1')
  const timer = setInterval(() => { if (ingress.inFlight() === 1 && events.length === 0) ingress.close() }, 200)
  t.teardown(() => clearInterval(timer))
  t.like(await pending, { status: 200, body: event(1), broken: true })
})

for (const path of ['/once/', '/register/']) {
  test(`a response without a length to ${path} does not look complete when the gateway's process is killed`, async t => {
    const child = fork(new URL('unframed-gateway.ts', import.meta.url), { execArgv: ['--import=tsx'] })
    t.teardown(() => child.kill('SIGKILL'))
    const [port] = await once(child, 'message') as [number]
    const response = await fetch(`http://127.0.0.1:${port}${path}`, { headers: { 'x-request': 'r-1', authorization: 'Bearer key-1' } })
    t.is(response.headers.get('transfer-encoding'), 'chunked')
    const reader = response.body!.getReader()
    t.true((await reader.read()).value!.length > 0)
    child.kill('SIGKILL')
    await t.throwsAsync(async () => { while (!(await reader.read()).done); })
  })
}

test('a body without a length whose last bytes fill a read buffer is not taken for one that was reset', async t => {
  const bodyBytes = 64 * 64 * 1024
  const { call } = await startGateway(t, [({ headers }, socket) => {
    socket.write(headOf(headers['x-request'] ?? ''))
    socket.end(Buffer.alloc(bodyBytes, 'x'))
  }])
  for (const round of [1, 2]) {
    const { status, body, broken } = await call('/register/', `r-${round}`)
    t.deepEqual([status, body.length, broken], [200, bodyBytes, false])
  }
})

for (const [ending, isComplete] of [['a regular end', true], ['a reset', false]] as const) {
  test(`an answer without a length that has ${ending} right after its head is ${isComplete ? 'whole and empty' : 'failed'}, unless it is a stream`, async t => {
    const { call } = await startGateway(t, [({ headers }, socket) => {
      socket.write(headOf(headers['x-request'] ?? ''))
      endings[ending]!(socket)
    }])
    const { status, body, broken } = await call('/register/', 'r-1')
    if (isComplete) t.deepEqual({ status, body, broken }, { status: 200, body: '', broken: false })
    else t.is(status, 502)
  })
}
