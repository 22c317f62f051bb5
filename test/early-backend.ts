/** A backend server that answers a request after its head, without a length, reads no further and ends the connection. */
import { createServer } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import type { AddressInfo, Socket } from 'node:net'
import type { ExecutionContext } from 'ava'

/** More than the sockets on the way take. */
export const uploadBytes = 16_000_000

/** How the backend server ends the connection. */
export const earlyEndings: Record<string, (socket: Socket) => Promise<void>> = {
  'resets it at once': async socket => { socket.resetAndDestroy() },
  'resets it a little later': async socket => {
    await sleep(30)
    socket.resetAndDestroy()
  },
  'ends it in the regular way': async socket => { socket.end() },
  'closes it with unread bytes': async socket => {
    socket.end()
    await sleep(30)
    socket.destroy()
  }
}

/** Starts the backend server and returns its port; `answerTo` makes the answer from the bytes that arrived first. */
export async function startEarlyBackend (t: ExecutionContext, answerTo: (request: string) => string, end: (socket: Socket) => Promise<void>): Promise<number> {
  const server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', (bytes: Buffer) => {
      socket.pause()
      socket.write(answerTo(bytes.toString('latin1')))
      end(socket)
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => server.close())
  return (server.address() as AddressInfo).port
}
