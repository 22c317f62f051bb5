/** Sends requests to one endpoint of the service and classifies whether a failed one may have taken effect. */
import { describeError, createConnections, isConnectError, maxJsonBytes, readBoundedBody } from '../../../connections/index.ts'
import { gatewayCodes } from './gateway.ts'
import type { GatewayError } from './gateway.ts'

/**
 * Result of a request. `not-executed`: it provably had no effect and may be sent
 * to another endpoint. `ambiguous`: it may have taken effect, or may still do so.
 * `rejected`: it had no effect, and a retry would be rejected too.
 */
export type EndpointResult =
  | { kind: 'response', text: string }
  | { kind: 'not-executed' | 'ambiguous' | 'rejected', cause: string }

/** An endpoint with its connection pool. */
export interface Endpoint {
  send: (path: string, payload: unknown, timeoutMs: number) => Promise<EndpointResult>
  close: () => Promise<void>
}

const maxConnections = 8

/** Classifies an error response: the service sends some before it executes the request. */
function classifyErrorResponse (statusCode: number, text: string): EndpointResult {
  let body: Partial<GatewayError> = {}
  try {
    body = JSON.parse(text) as GatewayError
  } catch {
    // A body that isn't JSON was sent by a proxy in front of the service.
  }
  const cause = body.message ?? `status ${statusCode}`
  if (statusCode === 429 || body.code === gatewayCodes.resourceExhausted) return { kind: 'not-executed', cause }
  if (statusCode >= 400 && statusCode < 500) return { kind: 'rejected', cause }
  return { kind: 'ambiguous', cause }
}

/** Creates an endpoint. Connections are opened on demand. */
export function createEndpoint (origin: string, headers: Record<string, string>): Endpoint {
  const connections = createConnections(origin, { maxConnections })

  async function send (path: string, payload: unknown, timeoutMs: number): Promise<EndpointResult> {
    const pool = connections.currentPool()
    const signal = AbortSignal.timeout(Math.ceil(timeoutMs))
    try {
      const { statusCode, body } = await pool.request({
        path,
        method: 'POST',
        headers: { 'content-type': 'application/json', ...headers },
        body: JSON.stringify(payload),
        signal
      })
      const text = (await readBoundedBody(body, maxJsonBytes)).toString()
      return statusCode === 200 ? { kind: 'response', text } : classifyErrorResponse(statusCode, text)
    } catch (error) {
      if (signal.aborted) {
        connections.replacePool(pool)
        return { kind: 'ambiguous', cause: 'its deadline passed before a response' }
      }
      return { kind: isConnectError(error) ? 'not-executed' : 'ambiguous', cause: describeError(error) }
    }
  }

  return { send, close: connections.close }
}
