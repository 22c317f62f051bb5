/** Callers that close their connection, or only its sending half. */
import { once } from 'node:events'
import test from 'ava'
import { createSystemClock } from '../../src/core/clock/index.ts'
import { formatChunk } from '../../src/stand-ins/raw-backend/index.ts'
import { connectCaller } from '../raw-caller.ts'
import { respondOk, signed, startGateway } from './deployment.ts'
import { waitUntil } from './wait-until.ts'
import type { RawRequestHandler } from '../../src/stand-ins/raw-backend/index.ts'

const clock = createSystemClock()
/** The users' rules let work go on for so long after a caller has closed its connection. */
const goneMs = 500

function get (path: string, id: string): string {
  return `GET /${path}/ HTTP/1.1\r\nhost: 127.0.0.1\r\nauthorization: Bearer key-1\r\nx-request: ${id}\r\n\r\n`
}

for (const isWhole of [true, false]) {
  // Guards against work for callers that have left, whose connection was closed before their request was read.
  test(`a request that is read together with the end of ${isWhole ? 'its connection' : 'its sending half'} is not sent to a backend server`, async t => {
    const { port, servers, events } = await startGateway(t, [respondOk])
    const first = await connectCaller(port)
    // Opens the connection to the backend server, so that a request could be sent at once.
    first.write(get('look-up', 'r-first'))
    t.like(await first.nextResponse(), { status: 200 })
    const callers = await Promise.all(Array.from({ length: 20 }, () => connectCaller(port)))
    for (const [index, { socket }] of callers.entries()) {
      socket.write(get('look-up', `r-${index}`))
      socket.end()
      if (isWhole) socket.resume()
    }
    await waitUntil(() => events.filter(({ event }) => event === 'gatewayLeft').length === callers.length)
    t.deepEqual(servers[0]!.requests.map(({ headers }) => headers['x-request']), ['r-first'])
    for (const { socket } of [first, ...callers]) socket.destroy()
  })
}

const streamSlowly: RawRequestHandler = ({ headers }, socket) => {
  const lines = Object.entries({ ...signed(headers['x-request'] ?? ''), 'content-type': 'text/event-stream', 'transfer-encoding': 'chunked' }).map(([name, value]) => `${name}: ${value}`)
  socket.write(['HTTP/1.1 200 Status', ...lines, '', formatChunk('id: 1\ndata: piece\n\n')].join('\r\n'))
}

for (const [state, handler] of [['without an answer', () => {}], ['with a stream that pauses', streamSlowly]] as const) {
  for (const half of [true, false]) {
    test(`the work of a request ${state} ends within half a second after its caller has closed ${half ? 'its sending half' : 'its connection'}`, async t => {
      const { port, servers } = await startGateway(t, [handler])
      const caller = await connectCaller(port)
      caller.write(get('once', 'r-1'))
      await waitUntil(() => servers[0]!.requests.length === 1)
      if (state !== 'without an answer') await once(caller.socket, 'data')
      const closedAtMs = clock.monotonicMs()
      if (half) caller.socket.end()
      else caller.socket.destroy()
      await waitUntil(() => servers[0]!.closedCount() === 1)
      t.true(clock.monotonicMs() - closedAtMs < goneMs)
      caller.socket.destroy()
    })
  }
}
