/**
 * The HTTP server of a stand-in, with the faults common to all stand-ins:
 * refusing connections, freezing, and open connections that stop carrying
 * data without being closed.
 */
import { createServer } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { RequestListener } from 'node:http'

/** Address of a stand-in, by default 127.0.0.1 and port 0, which selects a free port. */
export interface ListenOptions {
  host?: string
  port?: number
}

/** A server with faults. */
export interface StandInServer {
  /** Base address, such as `http://127.0.0.1:9000`. */
  readonly url: string
  /** Stops listening and closes every connection; new connections are refused. */
  stopListening: () => Promise<void>
  /** Listens again on the same port. */
  resumeListening: () => Promise<void>
  /** The connections that are open now stay open but carry no data in either direction; new connections work. */
  silenceConnections: () => void
  /** Destroys every open connection; new connections work. */
  breakConnections: () => void
  /** Handles no request and writes no data until `thaw`, as if the process were stopped. */
  freeze: () => void
  thaw: () => void
  /** Resolves immediately unless frozen. */
  whenThawed: () => Promise<void>
  close: () => Promise<void>
}

/** Starts listening. The handler gets no requests from silenced connections. */
export async function startServer (handler: RequestListener, options: ListenOptions): Promise<StandInServer> {
  const host = options.host ?? '127.0.0.1'
  const sockets = new Set<Socket>()
  const silenced = new WeakSet<Socket>()
  let port = options.port ?? 0
  let thawed: Promise<void> | undefined
  let resolveThawed = (): void => {}

  async function handle (...[request, response]: Parameters<RequestListener>): Promise<void> {
    if (thawed !== undefined) await thawed
    if (silenced.has(request.socket)) return
    handler(request, response)
  }

  const server = createServer((request, response) => { handle(request, response) })
  server.keepAliveTimeout = 0
  server.requestTimeout = 0
  server.on('connection', (socket: Socket) => {
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
    socket.on('error', () => {})
    // The operating system still accepts connections for a stopped process; a corked socket buffers everything written to it.
    if (thawed !== undefined) socket.cork()
  })

  function listen (): Promise<void> {
    return new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, host, () => {
        server.off('error', reject)
        port = (server.address() as AddressInfo).port
        resolve()
      })
    })
  }

  function breakConnections (): void {
    for (const socket of sockets) socket.destroy()
  }

  async function stopListening (): Promise<void> {
    if (!server.listening) return
    const stopped = new Promise<void>(resolve => server.close(() => resolve()))
    breakConnections()
    await stopped
  }

  function silenceConnections (): void {
    for (const socket of sockets) {
      silenced.add(socket)
      socket.cork()
    }
  }

  function freeze (): void {
    if (thawed !== undefined) return
    thawed = new Promise(resolve => { resolveThawed = resolve })
    for (const socket of sockets) socket.cork()
  }

  function thaw (): void {
    if (thawed === undefined) return
    thawed = undefined
    for (const socket of sockets) socket.uncork()
    resolveThawed()
  }

  await listen()
  return {
    url: `http://${host}:${port}`,
    stopListening,
    resumeListening: async () => { if (!server.listening) await listen() },
    silenceConnections,
    breakConnections,
    freeze,
    thaw,
    whenThawed: async () => { await thawed },
    close: stopListening
  }
}
