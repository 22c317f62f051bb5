/** HTTP client of a plain service. It never sends a call twice. */
import { Result } from 'true-myth'
import { createConnections } from '../connections/index.ts'
import { createBackendOrders } from './orders.ts'
import { createFreshConnections } from './fresh-connections.ts'
import { lookUpCall } from './look-up.ts'
import { callService } from './service-call.ts'
import type { Clock } from '../clock/index.ts'
import type { BackendId } from '../ids/index.ts'
import type { AttemptFailure, OnNamedLimit, ServiceResponse, ServiceClient, ServiceRequest } from './types.ts'

/** Options of a client of one service. */
export interface ServiceClientOptions {
  backend: BackendId
  /** Base address, such as `http://127.0.0.1:9000`. */
  url: string
  clock: Clock
  /**
   * Longest time since the last response on a connection that is reused for another
   * call. If a connection dies without notice within this time, the outcome of the call is
   * unknown at its deadline; the call is never sent again.
   */
  maxConnectionIdleMs?: number
  connectTimeoutMs?: number
  onNamedLimit?: OnNamedLimit
}

const defaultMaxConnectionIdleMs = 1_000
const defaultConnectTimeoutMs = 1_000

/** Creates the client of one service; connections are opened on demand. */
export function createServiceClient (options: ServiceClientOptions): ServiceClient {
  const { backend, url, clock } = options
  const freshConnections = createFreshConnections({
    url,
    clock,
    maxIdleMs: options.maxConnectionIdleMs ?? defaultMaxConnectionIdleMs,
    connectTimeoutMs: options.connectTimeoutMs ?? defaultConnectTimeoutMs
  })
  const connections = createConnections(url)
  const lookUpConnections = createConnections(url)
  const { order, state } = createBackendOrders({ backend, connections, clock })

  async function call (request: ServiceRequest, signal: AbortSignal): Promise<Result<ServiceResponse, AttemptFailure>> {
    if (request.deadlineAtMs <= clock.wallMs()) {
      return Result.err({ reason: 'connect-failed', mayHaveRun: false, detail: 'the deadline passed before the request was sent' })
    }
    const connection = freshConnections.acquire()
    const { result, isReusable } = await callService(connection, clock, request, signal, options.onNamedLimit)
    if (isReusable) freshConnections.release(connection)
    else freshConnections.discard(connection)
    return result
  }

  return {
    call,
    lookUp: (request, signal) => lookUpCall(lookUpConnections, request, signal),
    order,
    state,
    close: async () => { await Promise.all([freshConnections.close(), connections.close(), lookUpConnections.close()]) }
  }
}
