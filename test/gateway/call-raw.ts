/** A caller of HTTP/1.0, which tells a reset from the regular end of a connection. */
import { connect } from 'node:net'

/** Sends a request on a connection of its own; `broken` when the connection was reset. An HTTP client may take a reset for the regular end. */
export async function callRaw (port: number, path: string, id: string): Promise<{ status: number, head: string, body: string, broken: boolean }> {
  const socket = connect(port, '127.0.0.1')
  let received = ''
  socket.setEncoding('utf8').on('data', (text: string) => { received += text })
  socket.write(`GET ${path} HTTP/1.0\r\nhost: 127.0.0.1\r\nx-request: ${id}\r\nauthorization: Bearer key-1\r\n\r\n`)
  const broken = await new Promise<boolean>(resolve => {
    // A reset that arrives together with data is reported as an end, after which the socket has no peer.
    socket.on('error', () => resolve(true)).on('end', () => resolve(socket.remoteAddress === undefined))
  })
  socket.destroy()
  const [head = '', body = ''] = received.split(/\r\n\r\n(.*)/s)
  return { status: Number(head.split(' ')[1]), head: head.toLowerCase(), body, broken }
}
