/** Reads the parts of a request that several handlers need. */
import type { Request, Response } from 'express'
import { toId } from '../ids/index.ts'
import type { IdempotencyKey } from '../ids/index.ts'

/** The raw body; empty if there is none. */
export function bodyOf (request: Request): Buffer {
  return Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0)
}

/** The idempotency key; undefined if none was sent, `'invalid'` if it isn't 1 to 255 visible ASCII characters. */
export function idempotencyKeyOf (request: Request): IdempotencyKey | undefined | 'invalid' {
  const header = request.header('idempotency-key')
  if (header === undefined) return undefined
  return /^[\x21-\x7e]{1,255}$/.test(header) ? toId<IdempotencyKey>(header) : 'invalid'
}

/** Creates a signal that aborts when the caller's connection closes before the response is complete. */
export function createDisconnectSignal (response: Response): AbortSignal {
  const controller = new AbortController()
  response.once('close', () => {
    if (!response.writableFinished) controller.abort()
  })
  response.on('error', () => controller.abort())
  return controller.signal
}
