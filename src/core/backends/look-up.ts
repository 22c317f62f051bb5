/** Looks up the response of an earlier call by its idempotency key, without sending the call again. */
import type { Connections } from '../connections/index.ts'
import { readBoundedBody } from '../connections/index.ts'
import { isSelfDelimited } from '../connections/response-framing.ts'
import { maxResponseBytes, runStateDone, runStateHeader } from './service-call.ts'
import type { ServiceResponse, ServiceRequest } from './types.ts'

/** Timeout of a look-up. It doesn't depend on the call's deadline, which may have passed. */
const lookUpTimeoutMs = 1_000
const okStatus = 200

/** Returns the response of an earlier call; undefined unless the service confirms that the call is done. */
export async function lookUpCall (
  connections: Connections,
  { idempotencyKey }: ServiceRequest,
  signal: AbortSignal
): Promise<ServiceResponse | undefined> {
  if (idempotencyKey === undefined) return undefined
  const pool = connections.currentPool()
  const timeout = AbortSignal.timeout(lookUpTimeoutMs)
  try {
    const { statusCode, headers, body } = await pool.request({
      method: 'GET',
      path: `/calls/${encodeURIComponent(idempotencyKey)}`,
      // The response names no key, so a connection with an earlier response can't be used.
      reset: true,
      signal: AbortSignal.any([signal, timeout])
    })
    const bytes = await readBoundedBody(body, maxResponseBytes)
    // A body that ends with its connection may be cut off.
    if (!isSelfDelimited(statusCode, headers)) return undefined
    if (statusCode !== okStatus || headers[runStateHeader] !== runStateDone) return undefined
    return { status: statusCode, contentType: String(headers['content-type'] ?? 'application/octet-stream'), body: bytes }
  } catch {
    // Replaces the connections after a timeout, because they may be dead.
    if (timeout.aborted) connections.replacePool(pool)
    return undefined
  }
}
