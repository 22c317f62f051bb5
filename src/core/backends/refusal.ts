/** Interprets unsuccessful responses of backend servers. */
import { AttemptError } from './types.ts'

/** Longest time that a backend server may name. */
const maxRetryAfterSeconds = 3_600

/** Converts a `Retry-After` header in seconds to a wall time; undefined when it is absent, a date or negative. */
export function parseRetryAfter (retryAfter: string | undefined, nowMs: number): number | undefined {
  const seconds = Number(retryAfter)
  const isUsable = retryAfter !== undefined && Number.isFinite(seconds) && seconds >= 0
  return isUsable ? nowMs + Math.min(maxRetryAfterSeconds, seconds) * 1000 : undefined
}

function parseErrorBody (responseText: string): { message: string, code: string | undefined } {
  try {
    const { error } = JSON.parse(responseText) as { error?: { message?: string, code?: string } }
    return { message: error?.message ?? responseText, code: error?.code }
  } catch {
    return { message: responseText, code: undefined }
  }
}

/** Creates the error for an engine's unsuccessful response. Below status 500, the engine refused the attempt without running it. */
export function toRefusalError (status: number, retryAfter: string | undefined, responseText: string, nowMs: number): AttemptError {
  const { message, code } = parseErrorBody(responseText)
  const detail = `status ${status}: ${message}`
  const retryAtMs = parseRetryAfter(retryAfter, nowMs)
  const retryTime = retryAtMs === undefined ? {} : { retryAtMs }
  if (code === 'leaving') return new AttemptError({ reason: 'backend-leaving', mayHaveRun: false, detail, ...retryTime })
  if (status === 429 || code === 'overloaded') return new AttemptError({ reason: 'overloaded', mayHaveRun: false, detail, ...retryTime })
  if (status >= 500) return new AttemptError({ reason: 'backend-failed', mayHaveRun: true, detail, ...retryTime })
  return new AttemptError({ reason: 'backend-refused', mayHaveRun: false, detail, ...retryTime })
}
