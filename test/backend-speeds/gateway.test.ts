/**
 * What the gateway measures of a backend server's speed. A response that is not a stream
 * arrives at the end of the work, and an error at once; as times to the first token, both
 * would make a server look slower or faster than it is.
 */
import test from 'ava'
import { formatChunk, formatResponse } from '../../src/stand-ins/raw-backend/index.ts'
import { signed, startGateway } from '../gateway/deployment.ts'
import { waitUntil } from '../gateway/wait-until.ts'
import type { PaceSample, SpeedSample } from '../../src/core/backend-speeds/index.ts'
import type { RawRequestHandler } from '../../src/stand-ins/raw-backend/index.ts'

const stepMs = 50
const events = 4

const respond: RawRequestHandler = ({ target, headers }, socket) => {
  const { 'x-request': id = '' } = headers
  if (target !== '/once/stream') {
    socket.write(formatResponse(target === '/once/fails' ? 500 : 200, signed(id), 'whole'))
    return
  }
  const head = ['HTTP/1.1 200 OK', ...Object.entries(signed(id)).map(([name, value]) => `${name}: ${value}`), 'content-type: text/event-stream', 'transfer-encoding: chunked', '', ''].join('\r\n')
  socket.write(head)
  for (let number = 1; number <= events; number += 1) setTimeout(() => socket.write(formatChunk(`id: ${number}\ndata: piece\n\n`)), number * stepMs)
  setTimeout(() => socket.write('0\r\n\r\n'), events * stepMs + 10)
}

test('the first event and the pace of a stream are samples, and other responses are not', async t => {
  const samples: SpeedSample[] = []
  const paces: PaceSample[] = []
  const speeds = { record: (sample: SpeedSample) => { samples.push(sample) }, recordPace: (pace: PaceSample) => { paces.push(pace) }, profileOf: () => undefined }
  const { call } = await startGateway(t, [respond], {}, { speeds })
  for (const path of ['/look-up/a', '/once/fails']) await call(path, path)
  t.deepEqual([samples, paces], [[], []])
  await call('/once/stream', 'r-3')
  await waitUntil(() => paces.length > 0)
  t.is(samples.length, 0, 'the tokens of its prompt are unknown')
  t.is((await call('/once/stream', 'r-4', { headers: { 'x-prompt': 'p' } })).status, 200)
  await waitUntil(() => paces.length > 1)
  t.is(samples.length, 1)
  t.true(samples[0]!.measuredMs >= stepMs - 5 && samples[0]!.measuredMs < events * stepMs, String(samples[0]!.measuredMs))
  t.is(paces[0]!.gaps, events - 1)
  t.true(paces[0]!.sumMs >= (events - 1) * stepMs - 20, String(paces[0]!.sumMs))
})
