/** Parts of a request that several handlers read. */
import type { Request, Response } from 'express'
import { toId } from '../ids/index.ts'
import type { IdempotencyKey } from '../ids/index.ts'

/** The body as it came; empty when there was none. */
export function bodyOf (request: Request): Buffer {
  return Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0)
}

/** The caller's idempotency key, if it sent one. */
export function keyOf (request: Request): IdempotencyKey | undefined | 'invalid' {
  const header = request.header('idempotency-key')
  if (header === undefined) return undefined
  return /^[\x21-\x7e]{1,255}$/.test(header) ? toId<IdempotencyKey>(header) : 'invalid'
}

/** Aborts when the caller's connection closes before the answer is whole. */
export function callerSignal (response: Response): AbortSignal {
  const controller = new AbortController()
  response.once('close', () => {
    if (!response.writableFinished) controller.abort()
  })
  response.on('error', () => controller.abort())
  return controller.signal
}
