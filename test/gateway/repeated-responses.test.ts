/** Responses that a faulty backend server writes once more: whether a request is taken for refused, or gets an earlier response. */
import test from 'ava'
import { formatResponse } from '../../src/stand-ins/raw-backend/index.ts'
import { configuration, respondOk, signed, startGateway } from './deployment.ts'
import type { RawRequestHandler } from '../../src/stand-ins/raw-backend/index.ts'
import type { CallerResponse } from './deployment.ts'

const withoutId = { 'x-seal': 'seal of r-0' }
const repeated: Record<string, string> = {
  'a refusal with 503': formatResponse(503, { 'x-not-run': '1', 'retry-after': '1' }, ''),
  'a refusal with 429': formatResponse(429, { 'x-not-run': '1' }, ''),
  'a refusal with 421': formatResponse(421, {}, ''),
  'a success': formatResponse(200, withoutId, 'of another request'),
  'an error': formatResponse(500, withoutId, 'of another request')
}

/** Routes that allow a second server, so that a request that is taken for refused would reach it. */
const changes = { routes: configuration.routes.map(route => ({ ...route, maxBackends: 2 })) }

/** Responds properly to the first request of each connection, and in another way to the later ones. */
function onUsedConnection (then: RawRequestHandler): RawRequestHandler {
  const used = new Set<unknown>()
  return (request, socket) => {
    (used.has(socket) ? then : respondOk)(request, socket)
    used.add(socket)
  }
}

for (const [name, response] of Object.entries(repeated)) {
  test(`${name} without an id in place of the response on a used connection leaves an at-most-once request unknown, and it runs once`, async t => {
    const handlers = [1, 2].map(() => onUsedConnection((_request, socket) => { socket.write(response) }))
    const { call, servers } = await startGateway(t, handlers, changes)
    const answers: CallerResponse[] = []
    // With two servers, the third request at the latest comes on a used connection.
    while (answers.length < 3 && answers.every(({ status }) => status === 200)) answers.push(await call('/register/', `r-${answers.length}`, { body: 'b' }))
    t.is(answers.at(-1)?.status, 502)
    t.false(answers.at(-1)?.body.includes('of another request'))
    const received = servers.flatMap(({ requests }) => requests).filter(({ headers }) => headers['x-request'] === `r-${answers.length - 1}`)
    t.is(received.length, 1)
  })
}

test('a request that may be repeated is answered by another server when a success without an id comes on a used connection', async t => {
  const { call, servers } = await startGateway(t, [onUsedConnection((_request, socket) => { socket.write(repeated['a success']!) }), respondOk])
  for (let index = 0; index < 6; index += 1) t.like(await call('/look-up/', `r-${index}`), { status: 200, body: 'whole' })
  t.true(servers[0]!.requests.length > 0)
})

test('a server whose responses never name their requests is believed, and each of its connections is used once', async t => {
  const { call, servers } = await startGateway(t, [(_request, socket) => { socket.write(repeated['a refusal with 429']!) }])
  for (const id of ['r-1', 'r-2', 'r-3']) t.is((await call('/register/', id, { body: 'b' })).status, 503)
  servers[0]!.setHandler((_request, socket) => { socket.write(formatResponse(200, withoutId, 'whole')) })
  for (const id of ['r-4', 'r-5']) t.like(await call('/register/', id, { body: 'b' }), { status: 200, body: 'whole' })
  t.deepEqual(servers[0]!.requests.map(({ connection }) => connection), [1, 2, 3, 4, 5])
})

test('a request without an id gets a new connection, as its response names none', async t => {
  const { port, call, servers } = await startGateway(t, [respondOk])
  t.is((await call('/register/', 'r-1')).status, 200)
  servers[0]!.setHandler((_request, socket) => { socket.write(formatResponse(200, withoutId, 'whole')) })
  const response = await fetch(`http://127.0.0.1:${port}/register/`, { headers: { authorization: 'Bearer key-1' } })
  t.is(response.status, 200)
  t.deepEqual(servers[0]!.requests.map(({ connection }) => connection), [1, 2])
})

for (const [name, bytes] of Object.entries({ 'a refusal': repeated['a refusal with 503']!, 'the begin of a refusal': 'HTTP/1.1 503 ', 'bytes that are no response': 'x' })) {
  test(`${name} in the same read as the end of a response closes the connection, and belongs to no request`, async t => {
    const { call, servers } = await startGateway(t, [({ headers }, socket) => {
      socket.write(formatResponse(200, signed(headers['x-request'] ?? ''), 'whole') + bytes)
    }])
    for (const id of ['r-1', 'r-2', 'r-3']) t.like(await call('/register/', id, { body: 'b' }), { status: 200, body: 'whole' })
    t.deepEqual(servers[0]!.requests.map(({ connection }) => connection), [1, 2, 3])
  })
}

for (const status of [408, 429, 503]) {
  test(`a response with status ${status} that doesn't state that the request was not run is no refusal of an at-most-once request`, async t => {
    const { call } = await startGateway(t, [({ headers }, socket) => { socket.write(formatResponse(status, signed(headers['x-request'] ?? ''), '')) }])
    const answer = await call('/register/', 'r-1', { body: 'b' })
    t.deepEqual([answer.status, answer.headers.get('x-seal')], [502, null])
    t.is((await call('/look-up/', 'r-2')).status, status)
  })
}
