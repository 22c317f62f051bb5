/** A TCP relay that counts the bytes that pass through it, both ways, without the headers of TCP and IP. */
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

/** A running relay. */
export interface CountingProxy {
  url: string
  bytes: () => number
  close: () => Promise<void>
}

/** Starts a relay to an HTTP server on loopback. */
export async function createCountingProxy (targetUrl: string): Promise<CountingProxy> {
  const target = new URL(targetUrl)
  const sockets = new Set<Socket>()
  let bytes = 0

  function relay (from: Socket, to: Socket): void {
    sockets.add(from)
    from.on('data', (chunk: Buffer) => {
      bytes += chunk.length
      to.write(chunk)
    })
    from.on('error', () => to.destroy())
    from.on('close', () => {
      sockets.delete(from)
      to.destroy()
    })
  }

  const server = createServer(client => {
    const upstream = connect(Number(target.port), target.hostname)
    relay(client, upstream)
    relay(upstream, client)
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  return {
    url: `http://127.0.0.1:${port}`,
    bytes: () => bytes,
    close: async () => {
      for (const socket of sockets) socket.destroy()
      await new Promise(resolve => server.close(resolve))
    }
  }
}
