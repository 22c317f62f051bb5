/** Stalls of the event loop at the end of a stop. */
import { once } from 'node:events'
import test from 'ava'
import { cutAnswer } from '../../src/core/caller-connections/index.ts'
import { createSystemClock } from '../../src/core/clock/index.ts'
import { createIngress } from '../../src/core/gateway/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { connectCaller } from '../raw-caller.ts'
import type { AddressInfo } from 'node:net'
import type { ServerResponse } from 'node:http'

const clock = createSystemClock()
/** More than the rule allows between the last byte of a request that is read and the end of its connection. */
const stallMs = 300

function get (path: string): string {
  return `GET ${path} HTTP/1.1\r\nhost: h\r\n\r\n`
}

// Guards against connections that a stop closes as idle although a request arrived on them during a stall.
test('a request that arrived while the node was stalled at the end of its stop is answered', async t => {
  const state = { isDraining: false }
  const events: string[] = []
  let stream: ServerResponse | undefined
  const ingress = createIngress({
    host: '127.0.0.1',
    port: 0,
    clock,
    log: event => { events.push(event) },
    metrics: createMetrics(),
    serve: async (request, response) => {
      if (request.url === '/stream') {
        stream = response
        response.write('event')
      } else {
        response.end(state.isDraining ? 'late' : 'early')
      }
    },
    isDraining: () => state.isDraining,
    requestIdOf: () => undefined
  })
  await ingress.listen()
  const { port } = ingress.address() as AddressInfo
  const [open, kept] = await Promise.all([0, 1].map(() => connectCaller(port)))
  t.teardown(() => { for (const caller of [open, kept]) caller!.socket.destroy() })
  kept!.write(get('/1'))
  t.like(await kept!.nextResponse(), { status: 200, body: 'early' })
  open!.write(get('/stream'))
  await once(open!.socket, 'data')
  state.isDraining = true
  await ingress.drain({
    listenUntilMs: clock.monotonicMs(),
    endsAtMs: clock.monotonicMs() + 200,
    endRequests: () => {
      cutAnswer(stream!)
      // Timers that are due run before what arrives during the stall is read.
      setImmediate(() => {
        kept!.write(get('/2'))
        const untilMs = clock.monotonicMs() + stallMs
        while (clock.monotonicMs() < untilMs);
      })
    }
  })
  t.like(await kept!.nextResponse(), { status: 200, body: 'late', isComplete: true })
  t.false(events.includes('answerNotDelivered'))
})
