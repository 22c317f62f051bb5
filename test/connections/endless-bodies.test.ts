/** Servers of the platform, and backend servers of the own path, that send a body without end. */
import test from 'ava'
import { createStore } from '../../platform/store.ts'
import { createEngineClient, createServiceClient } from '../../src/core/backends/index.ts'
import { createSystemClock } from '../../src/core/clock/index.ts'
import { createConnections, requestJson } from '../../src/core/connections/index.ts'
import { createId, toId } from '../../src/core/ids/index.ts'
import { createHttpKeyValue } from '../../src/core/platform/key-value/index.ts'
import { startRawBackend } from '../../src/stand-ins/raw-backend/index.ts'
import type { ExecutionContext } from 'ava'
import type { AttemptId, BackendId } from '../../src/core/ids/index.ts'
import type { AttemptError } from '../../src/core/backends/types.ts'
import type { ServiceRequest } from '../../src/core/backends/index.ts'

const clock = createSystemClock()
const mebibyte = 1_024 * 1_024
/** The longest body, and what sockets buffer. */
const maxSentBytes = 64 * mebibyte
/** Long enough that no case ends by its deadline. */
const deadlineMs = 60_000
const filler = 'x'.repeat(16 * 1_024)

interface Endless {
  origin: string
  sentBytes: () => number
  /** Resolves when the client has closed a connection. */
  closed: Promise<void>
}

/** Starts a server that answers every request with a head and then the same bytes for as long as the connection is open. */
async function startEndless (t: ExecutionContext, status: number, headers: Record<string, string>, repeated: string): Promise<Endless> {
  let sentBytes = 0
  let resolveClosed: () => void = () => {}
  const closed = new Promise<void>(resolve => { resolveClosed = resolve })
  const bytes = Buffer.from(repeated)
  const server = await startRawBackend((_request, socket) => {
    const fields = Object.entries({ ...headers, 'transfer-encoding': 'chunked' }).map(([name, value]) => `${name}: ${value}`)
    socket.write([`HTTP/1.1 ${status} Status`, ...fields, '', ''].join('\r\n'))
    const chunk = Buffer.concat([Buffer.from(`${bytes.length.toString(16)}\r\n`), bytes, Buffer.from('\r\n')])
    function write (): void {
      while (!socket.destroyed && sentBytes < 8 * maxSentBytes) {
        sentBytes += chunk.length
        if (socket.write(chunk)) continue
        socket.once('drain', () => setImmediate(write))
        return
      }
    }
    socket.once('close', resolveClosed)
    write()
  })
  t.teardown(server.close)
  return { origin: `http://127.0.0.1:${server.port}`, sentBytes: () => sentBytes, closed }
}

async function assertCutOff (t: ExecutionContext, { closed, sentBytes }: Endless): Promise<void> {
  await closed
  t.true(sentBytes() <= maxSentBytes, `${sentBytes()} bytes`)
}

function deadline (): { deadlineAtMs: number } {
  return { deadlineAtMs: Date.now() + deadlineMs }
}

for (const status of [200, 500]) {
  test(`a JSON request whose response of status ${status} has no end fails before its deadline`, async t => {
    const server = await startEndless(t, status, {}, filler)
    const connections = createConnections(server.origin)
    t.teardown(connections.close)
    await t.throwsAsync(requestJson(connections, clock, { method: 'GET', path: '/', ...deadline() }), { message: /longer than/ })
    await assertCutOff(t, server)
  })
}

test('a read, a write and a watch of the platform\'s store end', async t => {
  const server = await startEndless(t, 200, {}, filler)
  const store = createStore({ origin: server.origin, clock })
  t.teardown(store.close)
  t.is((await store.get('a', deadline())).match({ Ok: () => 'read', Err: ({ kind }) => kind }), 'KeyValueUnavailable')
  const written = await store.transact({ compares: [], puts: [{ key: 'a', value: 'b' }], deletes: [] }, deadline())
  t.is(written.match({ Ok: () => 'written', Err: ({ kind }) => kind }), 'KeyValueAmbiguous')
  await new Promise<void>(resolve => store.watch('a', 0, { onChanges: () => {}, onLost: () => resolve() }))
  await server.closed
})

test('a write and a watch of the key-value service end', async t => {
  const server = await startEndless(t, 200, {}, filler)
  const store = createHttpKeyValue({ endpoints: [server.origin], clock, clientName: 'a', watchIdleTimeoutMs: deadlineMs })
  t.teardown(store.close)
  const written = await store.transact({ compares: [], puts: [{ key: 'a', value: 'b' }], deletes: [] }, deadline())
  t.is(written.match({ Ok: () => 'written', Err: ({ kind }) => kind }), 'KeyValueAmbiguous')
  await new Promise<void>(resolve => store.watch('a', 0, { onChanges: () => {}, onLost: () => resolve() }))
  await server.closed
})

const attempt = createId<AttemptId>('a')

function serviceRequest (): ServiceRequest {
  return { attempt, route: 'registrations', idempotencyKey: 'k', contentType: 'text/plain', body: Buffer.from('b'), ...deadline() }
}

test('a call whose response has no end may have run, unless its head states that it was not run', async t => {
  for (const [headers, expected] of [[{}, true], [{ 'run-state': 'not-run' }, false]] as const) {
    const server = await startEndless(t, 200, headers, filler)
    const client = createServiceClient({ backend: toId<BackendId>('s1'), url: server.origin, clock })
    t.teardown(client.close)
    const result = await client.call(serviceRequest(), new AbortController().signal)
    t.is(result.match({ Ok: () => undefined, Err: ({ mayHaveRun }) => mayHaveRun }), expected)
    await assertCutOff(t, server)
  }
})

test('a look-up whose response has no end finds nothing', async t => {
  const server = await startEndless(t, 200, { 'run-state': 'done' }, filler)
  const client = createServiceClient({ backend: toId<BackendId>('s1'), url: server.origin, clock })
  t.teardown(client.close)
  t.is(await client.lookUp?.(serviceRequest(), new AbortController().signal), undefined)
  await assertCutOff(t, server)
})

for (const [name, status, repeated, mayHaveRun] of [
  ['one line', 200, filler, true],
  ['comments', 200, ': still working\n\n'.repeat(1_024), true],
  ['the body of a refusal', 429, filler, false],
  ['the body of an error', 500, filler, true]
] as const) {
  test(`an engine's stream that sends ${name} without end fails`, async t => {
    const server = await startEndless(t, status, { 'content-type': 'text/event-stream' }, repeated)
    const client = createEngineClient({ backend: toId<BackendId>('e1'), url: server.origin, clock })
    t.teardown(client.close)
    const events = client.generate({ attempt, model: 'm', prompt: 'p', generatedText: '', maxTokens: 8, priority: 'normal', ...deadline() }, new AbortController().signal)
    const error = await t.throwsAsync(async () => { for await (const event of events) t.fail(`received ${event.kind}`) })
    t.is((error as AttemptError | undefined)?.failure.mayHaveRun, mayHaveRun)
    await assertCutOff(t, server)
  })
}

// Guards against an answer that is kept in memory for as long as its engine sends events.
test('an engine that goes on sending events after the tokens that were asked for is cut off', async t => {
  const server = await startEndless(t, 200, { 'content-type': 'text/event-stream' }, `data: {"id":"${attempt}","choices":[{"delta":{"content":"x"}}]}\n\n`)
  const client = createEngineClient({ backend: toId<BackendId>('e1'), url: server.origin, clock })
  t.teardown(client.close)
  const events = client.generate({ attempt, model: 'm', prompt: 'p', generatedText: '', maxTokens: 8, priority: 'normal', ...deadline() }, new AbortController().signal)
  let received = 0
  const error = await t.throwsAsync(async () => { for await (const { kind } of events) received += kind === 'token' ? 1 : 0 })
  t.is((error as AttemptError | undefined)?.failure.reason, 'answer-incomplete')
  t.true(received <= 8, `${received} events`)
  await assertCutOff(t, server)
})
