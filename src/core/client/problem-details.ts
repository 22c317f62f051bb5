/** Parses refusals: HTTP problem details (RFC 9457) and the `error` event of a stream. */
import { z } from 'zod'
import { createError } from '../errors/index.ts'
import type { CyclamenError } from '../errors/index.ts'
import type { ProblemDetails } from './types.ts'

const runState = z.enum(['done', 'not-run', 'unknown'])

const problemSchema = z.object({
  status: z.number().optional(),
  title: z.string().optional(),
  detail: z.string().optional(),
  reason: z.string(),
  run: runState,
  retryAtMs: z.number().optional()
})

/** Creates the problem of a response or event that this system didn't produce; it doesn't show whether the request ran. */
function unrecognizedProblem (status: number, text: string): ProblemDetails {
  return {
    status,
    title: `HTTP status ${status}`,
    detail: text.slice(0, 200),
    reason: 'unexpected-answer',
    run: 'unknown',
    retryAtMs: undefined
  }
}

/** Parses a refusal from JSON; `status` is the HTTP status of the response. */
export function parseProblemDetails (status: number, text: string): ProblemDetails {
  let value: unknown
  try {
    value = JSON.parse(text)
  } catch {
    return unrecognizedProblem(status, text)
  }
  const parsed = problemSchema.safeParse(value)
  if (!parsed.success) return unrecognizedProblem(status, text)
  const { title, detail, reason, run, retryAtMs } = parsed.data
  return { status, title: title ?? reason, detail: detail ?? '', reason, run, retryAtMs }
}

/** Creates the error of a refusal. */
export function createAnswerRefusedError (problem: ProblemDetails): CyclamenError<'AnswerRefused'> {
  const { status, reason, run, detail, retryAtMs } = problem
  return createError('AnswerRefused', { status, reason, run, detail, retryAtMs })
}
