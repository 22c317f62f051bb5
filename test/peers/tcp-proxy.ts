/** A TCP proxy for tests: silences open connections, cuts them after some bytes, and keeps what passed. */
import { connect, createServer } from 'node:net'
import { once } from 'node:events'
import type { AddressInfo, Socket } from 'node:net'

/** The proxy in front of one port. */
export interface TcpProxy {
  port: number
  /** Connections that were opened through it. */
  opened: () => number
  /** All bytes that passed, both ways. */
  passed: () => Buffer
  /** Drops all further bytes of the connections open now, both ways, without closing them. */
  silence: () => void
  /** Destroys new connections once this many bytes came from the client, or from its target. */
  cutAfter: (clientBytes: number, targetBytes: number) => void
  close: () => void
}

/** Starts a proxy to a port on loopback. */
export async function createTcpProxy (targetPort: number): Promise<TcpProxy> {
  const pairs: Array<{ client: Socket, target: Socket, silent: boolean }> = []
  const passed: Buffer[] = []
  let cutClientBytes = Infinity
  let cutTargetBytes = Infinity

  const server = createServer(client => {
    const pair = { client, target: connect({ host: '127.0.0.1', port: targetPort }), silent: false }
    let leftBytes = cutClientBytes
    let leftTargetBytes = cutTargetBytes
    pairs.push(pair)
    client.on('error', () => pair.target.destroy())
    pair.target.on('error', () => client.destroy())
    client.on('close', () => { if (!pair.silent) pair.target.destroy() })
    pair.target.on('close', () => { if (!pair.silent) client.destroy() })
    client.on('data', bytes => {
      if (pair.silent) return
      passed.push(bytes)
      pair.target.write(bytes.subarray(0, leftBytes))
      leftBytes -= bytes.length
      if (leftBytes <= 0) {
        pair.target.end()
        client.destroy()
      }
    })
    pair.target.on('data', bytes => {
      if (pair.silent) return
      passed.push(bytes)
      client.write(bytes.subarray(0, leftTargetBytes))
      leftTargetBytes -= bytes.length
      if (leftTargetBytes > 0) return
      client.end()
      pair.target.destroy()
    })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')

  return {
    port: (server.address() as AddressInfo).port,
    opened: () => pairs.length,
    passed: () => Buffer.concat(passed),
    silence: () => { for (const pair of pairs) pair.silent = true },
    cutAfter: (clientBytes, targetBytes) => {
      cutClientBytes = clientBytes
      cutTargetBytes = targetBytes
    },
    close: () => {
      server.close()
      for (const { client, target } of pairs) {
        client.destroy()
        target.destroy()
      }
    }
  }
}
