/** Fetches the status of a node. */
import { err, ok } from 'true-myth/result'
import type { Result } from 'true-myth'
import { request } from 'undici'
import { createAnswerRefusedError, parseProblemDetails } from '../../core/client/problem-details.ts'
import type { CallerError } from '../../core/client/index.ts'
import { createError } from '../../core/errors/index.ts'

const timeoutMs = 5_000

/** Returns the status from the first node that responds; an HTTP error response is final and no other node is tried. */
export async function fetchStatus (urls: readonly string[], token: string): Promise<Result<unknown, CallerError>> {
  let cause = ''
  for (const url of urls) {
    try {
      const response = await request(`${url}/v1/status`, {
        headers: { authorization: `Bearer ${token}` },
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs
      })
      const text = await response.body.text()
      if (response.statusCode !== 200) return err(createAnswerRefusedError(parseProblemDetails(response.statusCode, text)))
      return ok(JSON.parse(text))
    } catch (error) {
      cause = (error as Error).message
    }
  }
  return err(createError('NodesUnreachable', { urls: [...urls], cause, run: 'not-run' }))
}
