/** Responses that a faulty service writes once more in place of the response to the next call. */
import test from 'ava'
import { createServiceClient } from '../../src/core/backends/index.ts'
import { createSystemClock } from '../../src/core/clock/index.ts'
import { createId, toId } from '../../src/core/ids/index.ts'
import { formatResponse, startRawBackend } from '../../src/stand-ins/raw-backend/index.ts'
import type { ExecutionContext } from 'ava'
import type { ServiceRequest } from '../../src/core/backends/index.ts'
import type { AttemptId, BackendId } from '../../src/core/ids/index.ts'
import type { RawRequestHandler } from '../../src/stand-ins/raw-backend/index.ts'

const clock = createSystemClock()
const signal = new AbortController().signal

async function setUp (t: ExecutionContext, handler: RawRequestHandler) {
  const service = await startRawBackend(handler)
  const client = createServiceClient({ backend: toId<BackendId>('s1'), url: `http://127.0.0.1:${service.port}`, clock, maxConnectionIdleMs: 60_000 })
  t.teardown(async () => {
    await client.close()
    await service.close()
  })
  return { service, call: async (idempotencyKey: string) => await client.call(createRequest(idempotencyKey), signal), client }
}

function createRequest (idempotencyKey: string): ServiceRequest {
  return { attempt: createId<AttemptId>('a'), route: 'registrations', idempotencyKey, contentType: 'text/plain', body: Buffer.from('dossier'), deadlineAtMs: Date.now() + 20_000 }
}

const respondNamed: RawRequestHandler = ({ headers }, socket) => {
  socket.write(formatResponse(200, { 'x-request-id': headers['x-request-id'] ?? '' }, 'whole'))
}

const repeated: Record<string, string> = {
  'a refusal': formatResponse(503, { 'run-state': 'not-run' }, ''),
  'a refusal of another call': formatResponse(503, { 'run-state': 'not-run', 'x-request-id': 'a-0' }, ''),
  'a success': formatResponse(200, {}, 'of another call'),
  'an error': formatResponse(500, {}, 'of another call')
}

for (const [name, response] of Object.entries(repeated)) {
  test(`${name} in place of the response on a used connection leaves the call unknown`, async t => {
    const { service, call } = await setUp(t, respondNamed)
    t.true((await call('k1')).isOk)
    service.setHandler((_request, socket) => { socket.write(response) })
    const result = await call('k2')
    t.like(result.isErr ? result.error : {}, { reason: 'answer-incomplete', mayHaveRun: true })
    t.deepEqual(service.requests.map(({ connection }) => connection), [1, 1])
  })
}

test('a service that returns no attempt id is believed, on a new connection for each call and look-up', async t => {
  const { service, call, client } = await setUp(t, (_request, socket) => { socket.write(repeated['a refusal']!) })
  for (const key of ['k1', 'k2']) {
    const result = await call(key)
    t.like(result.isErr ? result.error : {}, { reason: 'backend-refused', mayHaveRun: false })
  }
  service.setHandler((_request, socket) => { socket.write(formatResponse(200, { 'run-state': 'done' }, 'whole')) })
  for (const key of ['k3', 'k4']) t.true((await call(key)).isOk)
  for (const key of ['k3', 'k4']) t.is((await client.lookUp?.(createRequest(key), signal))?.body.toString(), 'whole')
  t.deepEqual(service.requests.map(({ connection }) => connection), [1, 2, 3, 4, 5, 6])
})
