/** Responses of the gateway itself, and the headers of forwarded responses. */
import type { OutgoingHttpHeader, ServerResponse } from 'node:http'

/** Hop-by-hop headers, which are not forwarded. */
const hopByHopHeaders = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'upgrade', 'te', 'trailer', 'proxy-authenticate', 'proxy-authorization'
])

/** Whether a header (in lower case) applies to one connection only and is not forwarded. */
export function isConnectionHeader (name: string): boolean {
  return hopByHopHeaders.has(name)
}

/** Whether a response can go on with the stream that the caller's response has begun: it must be of the same kind. */
export function canContinue (response: ServerResponse, status: number, headers: Record<string, string | string[] | undefined>): boolean {
  const hasSameFormat = formatHeaders.every(name => mediaTypeOf(headers[name]) === mediaTypeOf(response.getHeader(name)))
  return status === response.statusCode && hasSameFormat
}

/** Headers that say how to read a body. */
const formatHeaders = ['content-type', 'content-encoding']

/** The value without its parameters, which don't change the format. */
function mediaTypeOf (value: OutgoingHttpHeader | undefined): string {
  return String(value ?? '').split(';')[0]?.trim().toLowerCase() ?? ''
}

/**
 * Delimits a response whose backend server gave it no length: by chunks, so that no end of
 * the caller's connection, not even by the death of this process, looks like the end of the
 * response. Callers of HTTP/1.0 know no chunks; for them the connection ends with the response.
 */
export function delimitWithoutLength (response: ServerResponse): void {
  if (response.req.httpVersion === '1.0') {
    response.shouldKeepAlive = false
    response.useChunkedEncodingByDefault = false
  } else {
    response.setHeader('transfer-encoding', 'chunked')
  }
}

/** Headers of a backend server's response to forward to the caller. */
export function forwardedResponseHeaders (headers: Record<string, string | string[] | undefined>, keepsLength: boolean): Record<string, string | string[]> {
  const forwarded: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || isConnectionHeader(name)) continue
    if (name === 'content-length' && !keepsLength) continue
    forwarded[name] = value
  }
  return forwarded
}

/** A response of the gateway itself. */
export interface GatewayResponse {
  status: number
  /** Reason as in the metric label. */
  reason: string
  detail: string
  /** Time from now after which a retry may succeed. */
  retryInMs?: number
}

const secondMs = 1_000

/** Sends a response of the gateway, unless a response has already begun. */
export function sendGatewayResponse (response: ServerResponse, content: GatewayResponse): void {
  if (response.headersSent || response.destroyed) return
  // Headers of a backend server's response that could not be forwarded, such as its signature.
  for (const name of response.getHeaderNames()) response.removeHeader(name)
  const body = JSON.stringify({ reason: content.reason, detail: content.detail })
  response.statusCode = content.status
  response.setHeader('content-type', 'application/json')
  response.setHeader('content-length', Buffer.byteLength(body))
  if (content.retryInMs !== undefined) response.setHeader('retry-after', (Math.max(0, content.retryInMs) / secondMs).toFixed(3))
  response.end(body)
}
