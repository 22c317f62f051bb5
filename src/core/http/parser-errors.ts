/**
 * Handles requests that Node's HTTP parser rejects because they are truncated,
 * too slow or malformed. They get a typed refusal like all others, because
 * their callers must know that nothing was executed.
 */
import type { RefusalReason } from '../outcomes/index.ts'
import { toProblemDetails } from './problem.ts'
import type { CallerServerOptions } from './types.ts'

interface ParserError extends Error {
  code?: string
}

function refusalOf ({ code }: ParserError): { reason: RefusalReason, detail: string } {
  if (code === 'HPE_INVALID_EOF_STATE') return { reason: 'body-truncated', detail: 'The request was truncated; send it completely.' }
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return { reason: 'body-truncated', detail: 'The request did not arrive in time; send it faster.' }
  return { reason: 'bad-request', detail: 'The request is not valid HTTP; check the client.' }
}

/** Counts and logs such a request, and returns the answer to it. */
export function answerParserError (error: ParserError, options: Pick<CallerServerOptions, 'metrics' | 'log'>): string {
  const { reason, detail } = refusalOf(error)
  options.metrics.countRefusal(reason)
  options.log('requestRefused', { reason, run: 'not-run' })
  const problem = toProblemDetails({ reason, run: 'not-run', detail })
  const body = JSON.stringify(problem)
  const head = [
    `HTTP/1.1 ${problem.status} ${problem.title}`,
    'Content-Type: application/problem+json; charset=utf-8',
    `Content-Length: ${Buffer.byteLength(body)}`,
    'Connection: close'
  ]
  return `${head.join('\r\n')}\r\n\r\n${body}`
}
