/** A loopback TCP proxy that can delay, reset or drop the bytes of its connections, in one or both directions. */
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

/** How the proxy treats bytes: `one-way` drops those from the target, `silent` drops both directions and keeps connections open. */
export type ProxyMode = 'pass' | 'delay' | 'reset' | 'one-way' | 'silent'

export interface Proxy {
  readonly port: number
  setMode: (mode: ProxyMode) => void
  /** Monotonic time at which it last did not pass all bytes at once; the current time while it doesn't. */
  lastDisturbedAtMs: () => number
  /** Resets all connections and refuses new ones, as if the target's process had crashed. */
  crash: () => void
  /** Accepts connections again, on the same port. */
  restart: () => Promise<void>
  close: () => Promise<void>
}

const delayMs = 300

/** Starts a proxy on a free loopback port that connects to the target port on 127.0.0.1. */
export async function startProxy (targetPort: number): Promise<Proxy> {
  let mode: ProxyMode = 'pass'
  let disturbedUntilMs = -Infinity
  const sockets = new Set<Socket>()

  function forwardBytes (from: Socket, to: Socket, isResponseDirection: boolean): void {
    from.on('data', bytes => {
      if (mode === 'silent' || (mode === 'one-way' && isResponseDirection)) return
      if (mode === 'delay') setTimeout(() => { if (to.writable) to.write(bytes) }, delayMs)
      else to.write(bytes)
    })
    from.on('end', () => to.end())
    // An error on one side closes the other, by a reset or, in about half of the cases, regularly.
    from.on('error', () => to.resetAndDestroy())
    from.on('close', () => {
      sockets.delete(from)
      if (mode !== 'silent') to.destroy()
    })
  }

  const server = createServer({ allowHalfOpen: true }, client => {
    if (mode === 'reset') {
      client.resetAndDestroy()
      return
    }
    const target = connect({ port: targetPort, host: '127.0.0.1', allowHalfOpen: true })
    for (const socket of [client, target]) sockets.add(socket)
    forwardBytes(client, target, false)
    forwardBytes(target, client, true)
  })
  let isClosed = false

  async function listen (atPort: number): Promise<void> {
    await new Promise<void>(resolve => server.listen({ host: '127.0.0.1', port: atPort }, resolve))
  }

  await listen(0)
  const { port } = server.address() as AddressInfo
  return {
    port,
    setMode: newMode => {
      if (mode !== 'pass') disturbedUntilMs = performance.now()
      const wasDroppingBytes = mode === 'silent' || mode === 'one-way'
      mode = newMode
      // A connection that lost bytes can't be used again, because its peers would wait for the missing bytes.
      if (newMode === 'reset' || (wasDroppingBytes && newMode === 'pass')) for (const socket of sockets) socket.resetAndDestroy()
    },
    lastDisturbedAtMs: () => mode === 'pass' ? disturbedUntilMs : performance.now(),
    crash: () => {
      server.close()
      for (const socket of sockets) socket.resetAndDestroy()
    },
    restart: async () => {
      if (!isClosed && !server.listening) await listen(port)
    },
    close: async () => {
      isClosed = true
      for (const socket of sockets) socket.destroy()
      await new Promise(resolve => server.close(resolve))
    }
  }
}
