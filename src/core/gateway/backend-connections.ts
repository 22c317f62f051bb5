/**
 * Keep-alive connections to a backend server, each with one request at a time.
 * A connection is closed once a byte arrives that belongs to no response.
 */
import { Client } from 'undici'
import type { Dispatcher } from 'undici'
import type { ResetConnector } from '../connections/response-framing.ts'
import { describeError } from '../connections/index.ts'
import { createResetConnector, isSelfDelimited } from '../connections/response-framing.ts'

/** Codes of errors that say that the backend server's side ended the connection; after all others this side closes it. */
const connectionEndCodes = new Set(['UND_ERR_SOCKET', 'ECONNRESET', 'EPIPE'])

/** Callbacks of one exchange. */
export interface ExchangeHandlers {
  /** `isFirst` is true for the first response on its connection, which can't be an earlier one written again. Returns whether the connection may carry another request. */
  onHead: (status: number, headers: Record<string, string | string[] | undefined>, isFirst: boolean) => boolean
  /** Returns false to pause reading until `resume` is called. */
  onData: (chunk: Buffer) => boolean
  onEnd: () => void
  /** `mayHaveRun` is false only when certainly no byte of the request was sent; `isGivenUp` marks a connection that this side closed. */
  onFailure: (failure: { mayHaveRun: boolean, cause: string, isGivenUp: boolean }) => void
}

/** A request in progress on one connection, and its response. */
export interface Exchange {
  /** Whether any byte of the request may have been sent. */
  isSent: () => boolean
  resume: () => void
  /** Closes the connection at once; no callback is called afterwards. */
  abort: () => void
}

/** A request to a backend server. */
export interface OutgoingRequest {
  method: string
  /** Path and query as received from the caller. */
  target: string
  /** Flat list of header names and values. */
  headers: string[]
  body: Buffer | undefined
  /** Whether only a new connection will do, because the response won't name the request. */
  needsNewConnection: boolean
}

/** Connections to one backend server. */
export interface BackendConnections {
  send: (request: OutgoingRequest, handlers: ExchangeHandlers) => Exchange
  /** Number of open connections. */
  open: () => number
  close: () => void
}

/** Options of the connections to one backend server. */
export interface BackendConnectionsOptions {
  host: string
  port: number
  onOpened: () => void
}

/** Time to open a connection: several round trips and the retransmission of one lost packet. */
const connectTimeoutMs = 1_200
/** Time before the announced timeout of an idle connection at which it is no longer used; covers the network delay. */
const keepAliveMarginMs = 300
/** Idle timeout when a backend server announces none. */
const defaultKeepAliveMs = 2_000
/** Longest idle time; after more, a connection may be dead without notice. */
const maxKeepAliveMs = 20_000

/** Responses with a status below 200 that may precede a response. */
const maxInformationalResponses = 16
/** Bytes beside the body that a response may have, beyond as many as its body has: heads, informational responses, and what delimits chunks. */
const maxFramingBytes = 512 * 1024

/** An exchange that failed before anything was sent. */
const unsentExchange: Exchange = { isSent: () => false, resume: () => {}, abort: () => {} }

/** One connection, with the client that has no other. */
interface Connection {
  client: Client
  connector: ResetConnector
  /** Whether it has carried a response. */
  isUsed: boolean
  /** Called when bytes have arrived for the exchange in progress. */
  onReadable: () => void
}

/** Creates the connections to one backend server; they are opened on demand. */
export function createBackendConnections (options: BackendConnectionsOptions): BackendConnections {
  const connections = new Set<Connection>()
  const idle: Connection[] = []
  let isClosed = false

  function create (): Connection {
    const connector = createResetConnector({
      timeoutMs: connectTimeoutMs,
      onConnected: () => { connection.isUsed = false },
      onReadable: () => connection.onReadable()
    })
    const client = new Client(`http://${options.host}:${options.port}`, {
      pipelining: 1,
      connect: connector.connect,
      keepAliveTimeout: defaultKeepAliveMs,
      keepAliveMaxTimeout: maxKeepAliveMs,
      keepAliveTimeoutThreshold: keepAliveMarginMs,
      headersTimeout: 0,
      bodyTimeout: 0
    })
    const connection: Connection = { client, connector, isUsed: false, onReadable: () => {} }
    client.on('connect', options.onOpened)
    client.on('disconnect', () => discardIfIdle(connection))
    connections.add(connection)
    return connection
  }

  function discardIfIdle (connection: Connection): void {
    const at = idle.indexOf(connection)
    // undici would reopen a connection that closed while idle, so its client is discarded.
    if (at === -1) return
    idle.splice(at, 1)
    discard(connection)
  }

  function discard (connection: Connection): void {
    connections.delete(connection)
    connection.client.destroy().catch(() => {
      // The connection is closed whether or not destroy() reports an error.
    })
  }

  function release (connection: Connection): void {
    connection.onReadable = () => {}
    if (isClosed || connection.client.destroyed) discard(connection)
    else idle.push(connection)
  }

  /** An idle connection or a new one; a failure to create one is reported as that of the exchange. */
  function take ({ needsNewConnection }: OutgoingRequest, handlers: ExchangeHandlers): Connection | undefined {
    try {
      return (needsNewConnection ? undefined : idle.pop()) ?? create()
    } catch (error) {
      handlers.onFailure({ mayHaveRun: false, cause: describeError(error), isGivenUp: true })
      return undefined
    }
  }

  function send (request: OutgoingRequest, handlers: ExchangeHandlers): Exchange {
    const taken = take(request, handlers)
    if (taken === undefined) return unsentExchange
    const connection: Connection = taken
    const { client, connector } = connection
    let controller: Dispatcher.DispatchController | undefined
    let isSent = false
    let hasEnded = false
    let isCloseDelimited = false
    let mayBeReused = false
    let informationalCount = 0
    let bodyBytes = 0
    /** Bytes that had arrived on the connection before the request was sent. */
    let receivedBefore = 0

    function limitFraming (): void {
      const framingBytes = connector.receivedBytes() - receivedBefore - bodyBytes
      if (framingBytes > maxFramingBytes + bodyBytes) failAndClose('it sent too many bytes that belong to no body')
    }

    function fail (cause: string, isGivenUp = false): void {
      if (hasEnded) return
      hasEnded = true
      discard(connection)
      handlers.onFailure({ mayHaveRun: isSent, cause, isGivenUp })
    }

    function failAndClose (cause: string): void {
      fail(cause, true)
      controller?.abort(new Error(cause))
    }

    connection.onReadable = limitFraming
    const options = {
      method: request.method as Dispatcher.HttpMethod,
      path: request.target,
      headers: request.headers,
      body: request.body ?? null,
      // By default a POST blocks the client until its response; a connection has one request at a time anyway.
      blocking: false
    }
    client.dispatch(options, {
      onRequestStart: started => {
        // undici may requeue a request after a reset; it must never be sent twice.
        if (hasEnded || isSent) return started.abort(new Error('the request was aborted'))
        controller = started
        isSent = true
        receivedBefore = connector.receivedBytes()
      },
      onResponseStart: (_controller, status, headers) => {
        if (hasEnded) return
        if (status < 200) {
          informationalCount += 1
          if (informationalCount > maxInformationalResponses) failAndClose('it sent too many informational responses')
          return
        }
        isCloseDelimited = !isSelfDelimited(status, headers)
        const isFirst = !connection.isUsed
        connection.isUsed = true
        mayBeReused = handlers.onHead(status, headers, isFirst)
      },
      onResponseData: (current, chunk) => {
        bodyBytes += chunk.length
        if (!hasEnded && !handlers.onData(chunk)) current.pause()
      },
      onResponseEnd: () => {
        if (isCloseDelimited && connector.wasCut()) return fail('the connection was reset or closed before the exchange was complete')
        if (hasEnded) return
        hasEnded = true
        if (mayBeReused) release(connection)
        else discard(connection)
        try {
          handlers.onEnd()
        } catch (error) {
          // undici would report it as an error of an exchange that has ended.
          handlers.onFailure({ mayHaveRun: true, cause: describeError(error), isGivenUp: true })
        }
      },
      onResponseError: (_controller, error) => fail(describeError(error), !connectionEndCodes.has((error as NodeJS.ErrnoException).code ?? ''))
    })

    return {
      isSent: () => isSent,
      resume: () => controller?.resume(),
      abort: () => {
        if (hasEnded) return
        hasEnded = true
        controller?.abort(new Error('the request was aborted'))
        discard(connection)
      }
    }
  }

  return {
    send,
    open: () => connections.size,
    close: () => {
      isClosed = true
      for (const connection of idle.splice(0)) discard(connection)
    }
  }
}
