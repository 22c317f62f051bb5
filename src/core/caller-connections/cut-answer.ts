/** Aborts answers. */
import type { ServerResponse } from 'node:http'

/** Aborts an answer that has begun, in a way that the caller can't take for its regular end. */
export function cutAnswer (response: ServerResponse): void {
  const isDelimitedByClose = response.headersSent && !response.hasHeader('content-length') && !response.chunkedEncoding
  if (isDelimitedByClose) response.socket?.resetAndDestroy()
  response.destroy()
}
