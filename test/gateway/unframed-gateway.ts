/** A gateway in a process of its own, to be killed: sends its port, and never completes a response of its backend server, which has no length. */
import { signed, startGateway } from './deployment.ts'
import type { ExecutionContext } from 'ava'

/** More than the sockets on the way take, so that a body that is whole at the gateway isn't whole at the caller. */
const bodyBytes = 15_000_000

const { port } = await startGateway({ teardown: () => {} } as unknown as ExecutionContext, [({ target, headers }, socket) => {
  socket.write(['HTTP/1.1 200 OK', ...Object.entries(signed(headers['x-request'] ?? '')).map(([name, value]) => `${name}: ${value}`), '', ''].join('\r\n'))
  if (target === '/once/') socket.write('id: 1\ndata: piece 1\n\n')
  else socket.end(Buffer.alloc(bodyBytes, 'x'))
}])
process.send?.(port)
