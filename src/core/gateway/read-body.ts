/** Reads the complete body of a caller's request, up to a maximum size. */
import { setImmediate } from 'node:timers/promises'
import { createByteCollector } from '../connections/bounded-bytes.ts'
import type { IncomingMessage } from 'node:http'

/** How reading the body ended; `disconnected` when the caller closed its connection or its sending half, `stopped` when the signal aborted. */
export type BodyOutcome =
  | { kind: 'complete', body: Buffer | undefined }
  | { kind: 'too-large' }
  | { kind: 'disconnected' }
  | { kind: 'stopped' }

/** Turns of the event loop after which an end of the caller's side that had arrived behind its request has been read. */
const turnsToReadEnd = 2

/** Reads until the end of the body, the maximum size, a disconnect of the caller or the abort of the signal. */
export function readBody (request: IncomingMessage, maxBytes: number, signal: AbortSignal): Promise<BodyOutcome> {
  const declared = Number(request.headers['content-length'] ?? 0)
  if (declared > maxBytes) return Promise.resolve({ kind: 'too-large' })
  const hasBody = declared > 0 || request.headers['transfer-encoding'] !== undefined
  return new Promise(resolve => {
    const collector = createByteCollector(maxBytes)
    let isWhole = false
    const onAbort = (): void => end({ kind: 'stopped' })
    function end (outcome: BodyOutcome): void {
      signal.removeEventListener('abort', onAbort)
      resolve(outcome)
    }
    if (signal.aborted) return end({ kind: 'stopped' })
    signal.addEventListener('abort', onAbort)
    request.on('data', (chunk: Buffer) => {
      if (!collector.add(chunk)) end({ kind: 'too-large' })
    })
    request.on('end', async () => {
      isWhole = true
      for (let turns = 0; turns < turnsToReadEnd; turns += 1) await setImmediate()
      const { readableEnded, destroyed } = request.socket
      end(readableEnded || destroyed ? { kind: 'disconnected' } : { kind: 'complete', body: hasBody ? collector.bytes() : undefined })
    })
    request.on('close', () => { if (!isWhole) end({ kind: 'disconnected' }) })
    request.on('error', () => end({ kind: 'disconnected' }))
  })
}
