/** Guards against requests to backend servers of evacuated failure domains: first attempts, retries, resumed streams, last resorts and prefix fetches. */
import test from 'ava'
import { toId } from '../../src/core/ids/index.ts'
import { createRouter } from '../../src/core/routing/index.ts'
import { formatChunk, formatResponse } from '../../src/stand-ins/raw-backend/index.ts'
import { respondOk, signed, startGateway } from './deployment.ts'
import { createLongPrompt, createRequest, hasher, setUp } from '../routing/fixtures.ts'
import type { AttemptId } from '../../src/core/ids/index.ts'
import type { RawRequestHandler } from '../../src/stand-ins/raw-backend/index.ts'

const reset: RawRequestHandler = (_request, socket) => { socket.resetAndDestroy() }
const event = (id: number): string => `id: ${id}\ndata: piece ${id}\n\n`
const lastChunk = '0\r\n\r\n'

function beginStream (request: string, events: string): string {
  const headers = Object.entries({ ...signed(request), 'content-type': 'text/event-stream', 'transfer-encoding': 'chunked' })
  return ['HTTP/1.1 200 OK', ...headers.map(([name, value]) => `${name}: ${value}`), '', formatChunk(events)].join('\r\n')
}

test('neither first attempts nor retries reach an evacuated domain, also when every other backend server fails', async t => {
  const { call, servers, evacuate, backends } = await startGateway(t, [respondOk, reset, reset], {}, { domains: ['a', 'b', 'b'] })
  evacuate('a')
  for (let index = 0; index < 12; index += 1) t.is((await call(index % 2 === 0 ? '/look-up/' : '/register/', `r-${index}`)).status, 502)
  t.is(servers[0]!.requests.length, 0)
  // They are suspected, and so only a last resort.
  t.deepEqual(backends.usable('service').map(({ id }) => id as string), ['b-1', 'b-2'])
  evacuate('a', false)
  servers.slice(1).forEach(server => server.setHandler(respondOk))
  t.is((await call('/look-up/', 'r-last')).status, 200)
})

test('a stream that runs in a domain when it is evacuated is finished there, and one that breaks resumes in another domain', async t => {
  const running: RawRequestHandler = ({ headers }, socket) => {
    const id = headers['x-request'] ?? ''
    socket.write(beginStream(id, event(1)))
    evacuate('b', false)
    evacuate('a')
    setTimeout(() => id === 'finished' ? socket.write(formatChunk(event(2)) + lastChunk) : socket.resetAndDestroy(), 20)
  }
  const resumed: RawRequestHandler = ({ headers }, socket) => { socket.write(beginStream(headers['x-request'] ?? '', event(2)) + lastChunk) }
  const { call, servers, evacuate } = await startGateway(t, [running, running, resumed], {}, { domains: ['a', 'a', 'b'] })
  for (const [id, resumedCount] of [['finished', 0], ['broken', 1]] as const) {
    evacuate('a', false)
    evacuate('b')
    t.like(await call('/resumable/', id), { status: 200, body: event(1) + event(2), broken: false })
    t.is(servers[2]!.requests.length, resumedCount)
    t.is(servers[0]!.requests.length + servers[1]!.requests.length, resumedCount + 1)
  }
})

test('with all domains evacuated, requests are refused at once with a reason and a retry time, and use up no quota', async t => {
  const { call, servers, evacuate, events } = await startGateway(t, [respondOk, respondOk], {}, { domains: ['a', 'b'] })
  const headers = { authorization: 'Bearer key-2', 'x-tokens': '15' }
  for (const domain of ['a', 'b', 'unused']) evacuate(domain)
  for (const id of ['r-1', 'r-2']) {
    const refused = await call('/look-up/', id, { headers })
    t.is(refused.status, 503)
    t.true(Number(refused.headers.get('retry-after')) >= 2)
  }
  t.deepEqual(events.flatMap(({ event, fields }) => event === 'gatewayRefused' ? [fields['reason']] : []), ['backends-evacuated', 'backends-evacuated'])
  t.is(servers[0]!.requests.length + servers[1]!.requests.length, 0)
  evacuate('b', false)
  t.is((await call('/look-up/', 'r-3', { headers })).status, 200)
  t.is(servers[1]!.requests.length, 1)
})

test('a backend server that asks for a pause is not a reason to wait for one that is evacuated', async t => {
  const pausing: RawRequestHandler = ({ headers }, socket) => { socket.write(formatResponse(503, { 'x-request': headers['x-request'] ?? '', 'x-not-run': '1', 'retry-after': '3' }, '')) }
  const { call, servers, evacuate, events } = await startGateway(t, [respondOk, pausing], {}, { domains: ['a', 'b'] })
  evacuate('a')
  for (const id of ['r-1', 'r-2']) t.is((await call('/look-up/', id)).status, 503)
  t.is(events.findLast(({ event }) => event === 'gatewayRefused')?.fields['reason'], 'backends-paused')
  t.is(servers[0]!.requests.length, 0)
})

test('a cached prefix is not fetched from a backend server of an evacuated domain', async t => {
  const { backends, evacuate } = await startGateway(t, [respondOk, respondOk], {}, { domains: ['a', 'b'] })
  const { router, clock } = setUp(createRouter, { mayServe: () => true, profileOf: () => ({ prefillMsPerToken: 1, slots: 1, slotMs: 9_000, fetch: { setUpMs: 1, msPerToken: 0.01 } }) })
  const request = createRequest('r-1', clock.wallMs(), { prompt: hasher.blocks(createLongPrompt(1)), shares: { shares: [{ version: backends.usable('service')[0]!.version, share: 1 }] } })
  const choose = (usable = backends.usable('service')) => router.choose(request, usable).unwrapOrElse(({ detail }) => { throw new Error(detail) })
  const inA = choose(backends.usable('service').filter(({ domain }) => domain === 'a'))
  router.onAttemptSent(toId<AttemptId>('attempt-1'), inA)
  t.is(choose().fetchFrom?.id, inA.backend.id)
  evacuate('a')
  t.like(choose(), { backend: { domain: 'b' }, fetchFrom: undefined })
})
