/**
 * HTTP client connections to one server. Errors tell whether a part of the
 * request may have been sent, and a pool whose connections stopped responding
 * is replaced by a new one.
 */
import { Pool } from 'undici'
import { readBoundedBody } from './bounded-bytes.ts'
import type { Dispatcher } from 'undici'
import type { Clock } from '../clock/index.ts'

/** Options of `createConnections`. */
export interface ConnectionsOptions {
  /** Maximum number of open connections. Unlimited by default, so that long streams don't block other requests. */
  maxConnections?: number
  connectTimeoutMs?: number
}

/** The connection pool of one server. */
export interface Connections {
  /** The pool to use for the next request. */
  currentPool: () => Pool
  /** Opens a new pool if `used` is the current one. Requests on the old pool may finish; then it closes. */
  replacePool: (used: Dispatcher) => void
  close: () => Promise<void>
}

const defaultConnectTimeoutMs = 1_000
/** Idle connections are closed early, before a middlebox drops their state without notice. */
const idleTimeoutMs = 4_000

const firstErrorStatus = 400
/** Longest JSON body; a copy of the whole store of thousands of backend servers has a few MiB. */
export const maxJsonBytes = 32 * 1024 * 1024

/** Error codes that can only occur before a connection is established. */
const connectErrorCodes = new Set([
  'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EAI_AGAIN', 'UND_ERR_CONNECT_TIMEOUT'
])

/** Whether an undici error proves that no connection was established, so that nothing was sent. */
export function isConnectError (error: unknown): boolean {
  const { code, syscall, errors } = error as { code?: string, syscall?: string, errors?: unknown[] }
  if (Array.isArray(errors) && errors.length > 0) return errors.every(isConnectError)
  return syscall === 'connect' || (code !== undefined && connectErrorCodes.has(code))
}

/** A short description of an error for messages: its code, or else its message. */
export function describeError (error: unknown): string {
  const { code, message } = error as { code?: string, message?: string }
  return code ?? message ?? String(error)
}

export { createByteCollector, readBoundedBody } from './bounded-bytes.ts'
export type { ByteCollector } from './bounded-bytes.ts'

/** Creates the pool of one server; connections are opened on demand. */
export function createConnections (origin: string, options: ConnectionsOptions = {}): Connections {
  let pool = createPool()
  const closingPools = new Set<Pool>()

  function createPool (): Pool {
    return new Pool(origin, {
      connections: options.maxConnections ?? null,
      pipelining: 1,
      connect: { timeout: options.connectTimeoutMs ?? defaultConnectTimeoutMs },
      keepAliveTimeout: idleTimeoutMs,
      keepAliveMaxTimeout: idleTimeoutMs,
      headersTimeout: 0,
      bodyTimeout: 0
    })
  }

  function replacePool (used: Dispatcher): void {
    if (used !== pool) return
    const previous = pool
    pool = createPool()
    closingPools.add(previous)
    previous.close().catch(() => {}).finally(() => closingPools.delete(previous))
  }

  return {
    currentPool: () => pool,
    replacePool,
    close: async () => {
      await Promise.all([pool, ...closingPools].map(each => each.destroy()))
    }
  }
}

/** A response with a JSON body; `body` is undefined when the body is empty or an error response isn't JSON. */
export interface JsonResponse {
  status: number
  headers: Record<string, string | string[] | undefined>
  body: unknown
}

/** A request whose response body is JSON. */
export interface JsonRequest {
  method: 'GET' | 'POST' | 'DELETE'
  path: string
  body?: unknown
  headers?: Record<string, string>
  deadlineAtMs: number
}

/** Thrown by `requestJson` when no usable response arrived. */
export class JsonRequestError extends Error {
  /** Whether any part of the request may have been sent. */
  readonly mayHaveBeenSent: boolean
  constructor (cause: string, mayHaveBeenSent: boolean) {
    super(cause)
    this.name = 'JsonRequestError'
    this.mayHaveBeenSent = mayHaveBeenSent
  }
}

/** Parses a JSON body. Error responses may have a body in another format; their status is enough. */
function parseJsonBody (text: string, status: number): unknown {
  if (text === '') return undefined
  try {
    return JSON.parse(text) as unknown
  } catch (error) {
    if (status >= firstErrorStatus) return undefined
    throw error
  }
}

/**
 * Sends a request and parses the response as JSON. Throws a `JsonRequestError`
 * on a failed connection, an unreadable or too long body or a passed deadline; responses
 * with an error status are returned.
 */
export async function requestJson (connections: Connections, clock: Clock, request: JsonRequest): Promise<JsonResponse> {
  const remainingMs = request.deadlineAtMs - clock.wallMs()
  if (remainingMs <= 0) throw new JsonRequestError('the deadline passed before the request was sent', false)
  const used = connections.currentPool()
  const signal = AbortSignal.timeout(Math.ceil(remainingMs))
  try {
    const { statusCode, headers, body } = await used.request({
      method: request.method,
      path: request.path,
      headers: { 'content-type': 'application/json', ...request.headers },
      body: request.body === undefined ? null : JSON.stringify(request.body),
      signal
    })
    const text = (await readBoundedBody(body, maxJsonBytes)).toString()
    return { status: statusCode, headers, body: parseJsonBody(text, statusCode) }
  } catch (error) {
    if (!signal.aborted) throw new JsonRequestError(describeError(error), !isConnectError(error))
    connections.replacePool(used)
    throw new JsonRequestError('the deadline passed before the response arrived', true)
  }
}
