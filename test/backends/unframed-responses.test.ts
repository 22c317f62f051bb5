/** Responses of services that have no length and end with their connection. */
import test from 'ava'
import { createServiceClient } from '../../src/core/backends/index.ts'
import { createSystemClock } from '../../src/core/clock/index.ts'
import { createId, toId } from '../../src/core/ids/index.ts'
import { earlyEndings, startEarlyBackend, uploadBytes } from '../early-backend.ts'
import { startRawBackend } from '../../src/stand-ins/raw-backend/index.ts'
import type { ExecutionContext } from 'ava'
import type { ServiceRequest } from '../../src/core/backends/index.ts'
import type { AttemptId, BackendId } from '../../src/core/ids/index.ts'
import type { RawRequestHandler } from '../../src/stand-ins/raw-backend/index.ts'

const signal = new AbortController().signal

async function setUp (t: ExecutionContext, handler: RawRequestHandler) {
  const service = await startRawBackend(handler)
  const client = createServiceClient({ backend: toId<BackendId>('s1'), url: `http://127.0.0.1:${service.port}`, clock: createSystemClock() })
  t.teardown(async () => {
    await client.close()
    await service.close()
  })
  return client
}

function createRequest (): ServiceRequest {
  return { attempt: createId<AttemptId>('a'), route: 'registrations', idempotencyKey: 'k', contentType: 'text/plain', body: Buffer.from('dossier'), deadlineAtMs: Date.now() + 20_000 }
}

const head = 'HTTP/1.1 200 OK\r\nrun-state: done\r\nconnection: close\r\n\r\n'

test('a response without a length that is reset leaves the call unknown, and one that ends regularly is its response', async t => {
  const broken = await setUp(t, (_request, socket) => {
    socket.write(`${head}part`)
    setTimeout(() => socket.resetAndDestroy(), 20)
  })
  const result = await broken.call(createRequest(), signal)
  t.like(result.isErr ? result.error : {}, { reason: 'stream-broken', mayHaveRun: true })
  const whole = await setUp(t, (_request, socket) => { socket.end(`${head}whole`) })
  t.is((await whole.call(createRequest(), signal)).map(({ body }) => body.toString()).unwrapOr(''), 'whole')
})

test('a look-up whose response has no length is not taken for the outcome of the call', async t => {
  const client = await setUp(t, (_request, socket) => { socket.end(`${head}part`) })
  t.is(await client.lookUp?.(createRequest(), signal), undefined)
})

for (const [ending, end] of Object.entries(earlyEndings)) {
  // Guards against a part of a response that is taken for the whole one.
  test.serial(`a response without a length to a call that is still being written leaves it unknown if the service ${ending}`, async t => {
    const port = await startEarlyBackend(t, () => `${head}part`, end)
    const client = createServiceClient({ backend: toId<BackendId>('s1'), url: `http://127.0.0.1:${port}`, clock: createSystemClock() })
    t.teardown(async () => await client.close())
    const result = await client.call({ ...createRequest(), body: Buffer.alloc(uploadBytes) }, signal)
    t.like(result.isErr ? result.error : {}, { reason: 'stream-broken', mayHaveRun: true })
  })
}

for (const status of ['000', '199', '600', '999']) {
  // Guards against a response with an invalid status that is taken for the outcome of a call.
  test(`a response with the status ${status} leaves the call unknown`, async t => {
    const client = await setUp(t, (_request, socket) => { socket.end(`${head}part`.replace(' 200 ', ` ${status} `)) })
    const result = await client.call(createRequest(), signal)
    t.true(result.isErr && result.error.mayHaveRun)
  })
}
