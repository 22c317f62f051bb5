/** Which ends of attempts count for or against the version that a backend server runs. */
import test from 'ava'
import { configuration, respondNotRun, respondOk, signed, startGateway } from './deployment.ts'
import { waitUntil } from './wait-until.ts'
import type { AttemptReport, GatewayRoute } from '../../src/core/gateway/index.ts'
import type { RawRequestHandler } from '../../src/stand-ins/raw-backend/index.ts'

function results (attempts: readonly AttemptReport[]): boolean[] {
  return attempts.map(({ ok }) => ok)
}

/** Sends a head and a part of the body, then nothing. */
const hangAfterHead: RawRequestHandler = ({ headers }, socket) => {
  const lines = Object.entries({ ...signed(headers['x-request'] ?? ''), 'content-length': '100' }).map(([name, value]) => `${name}: ${value}`)
  socket.write(['HTTP/1.1 200 OK', ...lines, '', 'the beginning'].join('\r\n'))
}

for (const [name, handler] of [['no byte', () => {}], ['a head without its body', hangAfterHead]] as const) {
  test(`a version that sends ${name} until the timeout has failed the request`, async t => {
    const { call, attempts } = await startGateway(t, [handler])
    t.is((await call('/quick/', 'r-1', { body: 'b' })).status, 504)
    t.deepEqual(results(attempts), [false])
  })
}

test('a version that turns requests away or accepts no connections has failed them', async t => {
  const turnedAway = await startGateway(t, [respondNotRun])
  t.is((await turnedAway.call('/register/', 'r-1', { body: 'b' })).status, 503)
  t.deepEqual(results(turnedAway.attempts), [false])
  const unreachable = await startGateway(t, [respondOk])
  await unreachable.servers[0]!.close()
  t.is((await unreachable.call('/register/', 'r-1', { body: 'b' })).status, 503)
  t.deepEqual(results(unreachable.attempts), [false])
})

test('a request that another server received says nothing about the version', async t => {
  const misdirect: RawRequestHandler = ({ headers }, socket) => {
    socket.write(`HTTP/1.1 421 Misdirected\r\nx-request: ${headers['x-request']}\r\ncontent-length: 0\r\n\r\n`)
  }
  const { call, attempts } = await startGateway(t, [misdirect])
  await call('/register/', 'r-1', { body: 'b' })
  t.deepEqual(results(attempts), [])
})

for (const [name, handler, latencyTargetMs, expected] of [
  ['a response that has stalled for longer than the target of the route', hangAfterHead, 20, [false]],
  ['a response that has stalled for a moment', hangAfterHead, 60_000, []],
  ['no response yet', () => {}, 20, []]
] as const) {
  test(`a caller that leaves with ${name} counts accordingly`, async t => {
    const routes = configuration.routes.map((route): GatewayRoute => ({ ...route, latencyTargetMs }))
    const { call, attempts, servers, events } = await startGateway(t, [handler], { routes })
    const leaving = new AbortController()
    const response = call('/register/', 'r-1', { body: 'b', signal: leaving.signal }).catch(() => 'left')
    await waitUntil(() => servers[0]!.requests.length === 1)
    await new Promise(resolve => setTimeout(resolve, 100))
    leaving.abort()
    t.is(await response, 'left')
    await waitUntil(() => events.some(({ event }) => event === 'gatewayLeft'))
    t.deepEqual(attempts.map(({ ok }) => ok), [...expected])
  })
}
