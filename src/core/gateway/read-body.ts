/** Reads the body of a caller's request whole, within its bound. */
import type { IncomingMessage } from 'node:http'

/** How reading ended; `left` when the caller closed its connection. */
export type BodyOutcome =
  | { kind: 'whole', body: Buffer | undefined }
  | { kind: 'too-large' }
  | { kind: 'left' }

/** Reads until the end, the bound or the caller's leaving. */
export function readBody (request: IncomingMessage, maxBytes: number): Promise<BodyOutcome> {
  const declared = Number(request.headers['content-length'] ?? 0)
  if (declared > maxBytes) return Promise.resolve({ kind: 'too-large' })
  const hasBody = declared > 0 || request.headers['transfer-encoding'] !== undefined
  return new Promise(resolve => {
    const chunks: Buffer[] = []
    let sizeBytes = 0
    request.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length
      if (sizeBytes > maxBytes) resolve({ kind: 'too-large' })
      else chunks.push(chunk)
    })
    request.on('end', () => resolve({ kind: 'whole', body: hasBody ? Buffer.concat(chunks) : undefined }))
    request.on('close', () => resolve({ kind: 'left' }))
    request.on('error', () => resolve({ kind: 'left' }))
  })
}
