/** Reading the body of a request at the end of a stop. */
import { createServer } from 'node:http'
import { once } from 'node:events'
import test from 'ava'
import { readBody } from '../../src/core/gateway/read-body.ts'
import { connectCaller } from '../raw-caller.ts'
import type { IncomingMessage } from 'node:http'
import type { AddressInfo } from 'node:net'

test('a body that is not whole is not waited for if the stop had ended open requests before it came', async t => {
  const server = createServer().listen(0, '127.0.0.1')
  await once(server, 'listening')
  t.teardown(() => server.close())
  const caller = await connectCaller((server.address() as AddressInfo).port)
  caller.write('POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nbo')
  const [request] = await once(server, 'request') as [IncomingMessage]
  const outcome = readBody(request, 100, AbortSignal.abort())
  caller.socket.destroy()
  t.deepEqual(await outcome, { kind: 'stopped' })
})
