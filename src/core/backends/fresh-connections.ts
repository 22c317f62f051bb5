/**
 * Connections for calls that must not be sent twice: each is new or has carried a
 * response recently, because a connection that was idle for longer may be dead without notice.
 */
import { Client } from 'undici'
import { createResetConnector } from '../connections/response-framing.ts'
import type { Clock } from '../clock/index.ts'

/** Options of the connections to one service. */
export interface FreshConnectionsOptions {
  url: string
  clock: Clock
  /** Longest time since the last response on a connection that is reused. */
  maxIdleMs: number
  connectTimeoutMs: number
}

/** A connection that carries one call at a time. */
export interface FreshConnection {
  client: Client
  /** Whether a response has arrived on it, which a faulty service may write once more. */
  isUsed: boolean
  /** Whether it was reset, or closed while the request was still being written; to be asked at the end of a response without a length only. */
  wasCut: () => boolean
}

/** A pool of connections. */
export interface FreshConnections {
  /** Returns an idle connection that is still fresh, or a new one. */
  acquire: () => FreshConnection
  /** Returns a connection to the pool, immediately after a response has arrived on it. */
  release: (connection: FreshConnection) => void
  /** Closes a connection whose call failed. */
  discard: (connection: FreshConnection) => void
  close: () => Promise<void>
}

interface IdleConnection {
  connection: FreshConnection
  lastResponseAtMs: number
}

/** Creates an empty pool. */
export function createFreshConnections (options: FreshConnectionsOptions): FreshConnections {
  const { clock, maxIdleMs } = options
  const open = new Set<Client>()
  let idle: IdleConnection[] = []

  function createConnection (): FreshConnection {
    const connector = createResetConnector({ timeoutMs: options.connectTimeoutMs })
    const client = new Client(options.url, {
      pipelining: 1,
      connect: connector.connect,
      keepAliveTimeout: maxIdleMs,
      keepAliveMaxTimeout: maxIdleMs,
      headersTimeout: 0,
      bodyTimeout: 0
    })
    open.add(client)
    return { client, isUsed: false, wasCut: connector.wasCut }
  }

  function discard ({ client }: FreshConnection): void {
    open.delete(client)
    client.destroy().catch(() => {})
  }

  function discardStale (): void {
    const oldestResponseAtMs = clock.monotonicMs() - maxIdleMs
    idle.filter(({ lastResponseAtMs }) => lastResponseAtMs < oldestResponseAtMs).forEach(({ connection }) => discard(connection))
    idle = idle.filter(({ lastResponseAtMs }) => lastResponseAtMs >= oldestResponseAtMs)
  }

  return {
    acquire: () => {
      discardStale()
      return idle.pop()?.connection ?? createConnection()
    },
    release: connection => {
      discardStale()
      idle.push({ connection: { ...connection, isUsed: true }, lastResponseAtMs: clock.monotonicMs() })
    },
    discard,
    close: async () => { await Promise.all([...open].map(client => client.destroy())) }
  }
}
