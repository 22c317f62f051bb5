/**
 * One request to one endpoint of the service, told apart by what may have
 * happened to it.
 */
import { Pool } from 'undici'
import { gatewayCodes } from './gateway.ts'
import type { GatewayError } from './gateway.ts'

/**
 * What became of a request. `not-taken`: it provably had no effect.
 * `lost`: it may have had, or may still have, its effect.
 * `rejected`: it had none and never will.
 */
export type Exchange =
  | { kind: 'answered', text: string }
  | { kind: 'not-taken' | 'lost' | 'rejected', cause: string }

/** An endpoint with its connections. */
export interface Endpoint {
  exchange: (path: string, payload: unknown, deadlineInMs: number) => Promise<Exchange>
  close: () => Promise<void>
}

const connectTimeoutMs = 1_000
const maxConnections = 8
/** Idle connections are dropped soon, before something between the ends forgets them. */
const idleConnectionMs = 4_000

/** Codes of errors that come before a connection exists. */
const connectErrorCodes = new Set([
  'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EAI_AGAIN', 'UND_ERR_CONNECT_TIMEOUT'
])

/** Whether an error of undici shows that no connection was made, so that nothing was sent. */
export function isConnectError (error: unknown): boolean {
  const { code, syscall, errors } = error as { code?: string, syscall?: string, errors?: unknown[] }
  if (Array.isArray(errors) && errors.length > 0) return errors.every(isConnectError)
  return syscall === 'connect' || (code !== undefined && connectErrorCodes.has(code))
}

/** A short cause for messages. */
export function causeOf (error: unknown): string {
  const { code, message } = error as { code?: string, message?: string }
  return code ?? message ?? String(error)
}

/** Tells an error answer's meaning: the service answers some before it tries. */
function readError (statusCode: number, text: string): Exchange {
  let body: Partial<GatewayError> = {}
  try {
    body = JSON.parse(text) as GatewayError
  } catch {
    // A body that is no JSON comes from something in front of the service.
  }
  const cause = body.message ?? `status ${statusCode}`
  if (statusCode === 429 || body.code === gatewayCodes.resourceExhausted) return { kind: 'not-taken', cause }
  if (statusCode >= 400 && statusCode < 500) return { kind: 'rejected', cause }
  return { kind: 'lost', cause }
}

/** Opens an endpoint; connections are made when needed. */
export function createEndpoint (origin: string, headers: Record<string, string>): Endpoint {
  let pool = createPool()

  function createPool (): Pool {
    return new Pool(origin, {
      connections: maxConnections,
      pipelining: 1,
      connect: { timeout: connectTimeoutMs },
      keepAliveTimeout: idleConnectionMs,
      keepAliveMaxTimeout: idleConnectionMs,
      headersTimeout: 0,
      bodyTimeout: 0
    })
  }

  /** Leaves connections that may be silent to the calls on them, and uses new ones from now on. */
  function renewConnections (used: Pool): void {
    if (used !== pool) return
    pool = createPool()
    used.close().catch(() => {})
  }

  async function exchange (path: string, payload: unknown, deadlineInMs: number): Promise<Exchange> {
    const used = pool
    const signal = AbortSignal.timeout(Math.ceil(deadlineInMs))
    try {
      const { statusCode, body } = await used.request({
        path,
        method: 'POST',
        headers: { 'content-type': 'application/json', ...headers },
        body: JSON.stringify(payload),
        signal
      })
      const text = await body.text()
      return statusCode === 200 ? { kind: 'answered', text } : readError(statusCode, text)
    } catch (error) {
      if (signal.aborted) {
        renewConnections(used)
        return { kind: 'lost', cause: 'its deadline passed' }
      }
      return { kind: isConnectError(error) ? 'not-taken' : 'lost', cause: causeOf(error) }
    }
  }

  return { exchange, close: () => pool.destroy() }
}
