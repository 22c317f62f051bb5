/**
 * What the gateway measures of a backend server's speed. A response that is not a stream
 * arrives at the end of the work, and an error at once; as times to the first token, both
 * would make a server look slower or faster than it is.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import test from 'ava'
import { createSystemClock } from '../../src/core/clock/index.ts'
import { formatChunk, formatResponse } from '../../src/stand-ins/raw-backend/index.ts'
import { signed, startGateway } from '../gateway/deployment.ts'
import { waitUntil } from '../gateway/wait-until.ts'
import type { PaceSample, SpeedSample } from '../../src/core/backend-speeds/index.ts'
import type { RawRequestHandler } from '../../src/stand-ins/raw-backend/index.ts'

const events = 4
const clock = createSystemClock()

/** The stream in progress: when its request arrived, and a function that sends an event; the last event also ends the stream. */
const streams: Array<{ arrivedAtMs: number, sendEvent: (number: number) => void }> = []

const respond: RawRequestHandler = ({ target, headers }, socket) => {
  const { 'x-request': id = '' } = headers
  if (target !== '/once/stream') {
    socket.write(formatResponse(target === '/once/fails' ? 500 : 200, signed(id), 'whole'))
    return
  }
  const arrivedAtMs = clock.monotonicMs()
  socket.write(['HTTP/1.1 200 OK', ...Object.entries(signed(id)).map(([name, value]) => `${name}: ${value}`), 'content-type: text/event-stream', 'transfer-encoding: chunked', '', ''].join('\r\n'))
  streams.push({
    arrivedAtMs,
    sendEvent: number => {
      socket.write(formatChunk(`id: ${number}\ndata: piece\n\n`))
      if (number === events) socket.write('0\r\n\r\n')
    }
  })
}

/** Reads a stream whose events are sent one by one, each after the one before has been received. Returns times between which the first event, and all events, must have passed the gateway. */
async function readStream (port: number, headers: Record<string, string>): Promise<Record<'calledAtMs' | 'firstSentAtMs' | 'firstReceivedAtMs' | 'lastSentAtMs' | 'endedAtMs', number>> {
  const streamsBefore = streams.length
  const calledAtMs = clock.monotonicMs()
  const pending = fetch(`http://127.0.0.1:${port}/once/stream`, { headers: { authorization: 'Bearer key-1', ...headers } })
  await waitUntil(() => streams.length > streamsBefore)
  const { sendEvent } = streams.at(-1)!
  const firstSentAtMs = clock.monotonicMs()
  sendEvent(1)
  const reader = (await pending).body!.getReader()
  await reader.read()
  const firstReceivedAtMs = clock.monotonicMs()
  let lastSentAtMs = firstReceivedAtMs
  for (let number = 2; number <= events; number += 1) {
    await sleep(5)
    lastSentAtMs = clock.monotonicMs()
    sendEvent(number)
    await reader.read()
  }
  while (!(await reader.read()).done);
  return { calledAtMs, firstSentAtMs, firstReceivedAtMs, lastSentAtMs, endedAtMs: clock.monotonicMs() }
}

test('the first event and the pace of a stream are samples, and other responses are not', async t => {
  const samples: SpeedSample[] = []
  const paces: PaceSample[] = []
  const speeds = { record: (sample: SpeedSample) => { samples.push(sample) }, recordPace: (pace: PaceSample) => { paces.push(pace) }, profileOf: () => undefined }
  const { call, port } = await startGateway(t, [respond], {}, { speeds })
  for (const path of ['/look-up/a', '/once/fails']) await call(path, path)
  t.deepEqual([samples, paces], [[], []])
  await readStream(port, { 'x-request': 'r-3' })
  await waitUntil(() => paces.length > 0)
  t.is(samples.length, 0, 'the tokens of its prompt are unknown')
  const times = await readStream(port, { 'x-request': 'r-4', 'x-prompt': 'p' })
  await waitUntil(() => paces.length > 1)
  t.is(samples.length, 1)
  const { measuredMs } = samples[0]!
  t.true(measuredMs >= times.firstSentAtMs - streams.at(-1)!.arrivedAtMs && measuredMs <= times.firstReceivedAtMs - times.calledAtMs, String(measuredMs))
  const { gaps, sumMs } = paces[1]!
  t.is(gaps, events - 1)
  t.true(sumMs >= times.lastSentAtMs - times.firstReceivedAtMs && sumMs <= times.endedAtMs - times.firstSentAtMs, String(sumMs))
})
