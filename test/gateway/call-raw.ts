/** A caller that tells a reset from the regular end of a connection. */
import { connect } from 'node:net'

/** Sends a request on a connection of its own; `broken` when the connection was reset. An HTTP client may take a reset for the regular end. */
export async function callRaw (port: number, path: string, id: string): Promise<{ status: number, body: string, broken: boolean }> {
  const socket = connect(port, '127.0.0.1')
  let received = ''
  socket.setEncoding('utf8').on('data', (text: string) => { received += text })
  socket.write(`GET ${path} HTTP/1.1\r\nhost: 127.0.0.1\r\nx-request: ${id}\r\nauthorization: Bearer key-1\r\n\r\n`)
  const broken = await new Promise<boolean>(resolve => {
    socket.on('error', () => resolve(true)).on('end', () => resolve(false))
    // A response of the gateway itself has a length, and its connection stays open.
    socket.on('data', () => { if (received.endsWith('}')) resolve(false) })
  })
  socket.destroy()
  const [head = '', body = ''] = received.split(/\r\n\r\n(.*)/s)
  return { status: Number(head.split(' ')[1]), body, broken }
}
