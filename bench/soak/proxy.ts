/** A loopback TCP proxy whose connections can be delayed, reset, cut one way or silenced. */
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

/** What the proxy does with bytes: `one-way` drops what comes back, `silent` drops both ways and keeps the connection. */
export type ProxyMode = 'pass' | 'delay' | 'reset' | 'one-way' | 'silent'

/** A running proxy. */
export interface Proxy {
  readonly port: number
  setMode: (mode: ProxyMode) => void
  close: () => Promise<void>
}

const delayMs = 300

/** Starts a proxy to a port of the loopback address. */
export async function startProxy (targetPort: number): Promise<Proxy> {
  let mode: ProxyMode = 'pass'
  const sockets = new Set<Socket>()

  function forward (from: Socket, to: Socket, isBack: boolean): void {
    from.on('data', bytes => {
      if (mode === 'silent' || (mode === 'one-way' && isBack)) return
      if (mode === 'delay') setTimeout(() => { if (to.writable) to.write(bytes) }, delayMs)
      else to.write(bytes)
    })
    from.on('end', () => to.end())
    // The other side of a broken connection is broken too.
    from.on('error', () => to.destroy())
    from.on('close', () => {
      sockets.delete(from)
      if (mode !== 'silent') to.destroy()
    })
  }

  const server = createServer({ allowHalfOpen: true }, caller => {
    if (mode === 'reset') {
      caller.resetAndDestroy()
      return
    }
    const target = connect({ port: targetPort, host: '127.0.0.1', allowHalfOpen: true })
    for (const socket of [caller, target]) sockets.add(socket)
    forward(caller, target, false)
    forward(target, caller, true)
  })
  await new Promise<void>(resolve => server.listen({ host: '127.0.0.1', port: 0 }, resolve))
  return {
    port: (server.address() as AddressInfo).port,
    setMode: next => {
      const wasBroken = mode === 'silent' || mode === 'one-way'
      mode = next
      // What was dropped is missed by whoever waits for it, so a connection that lost bytes doesn't go on.
      if (next === 'reset' || (wasBroken && next === 'pass')) for (const socket of sockets) socket.resetAndDestroy()
    },
    close: async () => {
      for (const socket of sockets) socket.destroy()
      await new Promise(resolve => server.close(resolve))
    }
  }
}
