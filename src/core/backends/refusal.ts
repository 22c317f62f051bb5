/**
 * What an answer other than success says about an attempt.
 */
import { AttemptError } from './types.ts'

/** Parses `Retry-After` in seconds to a wall time; undefined when it is absent or a date. */
export function readRetryAfter (retryAfter: string | undefined, nowMs: number): number | undefined {
  const seconds = Number(retryAfter)
  return retryAfter === undefined || !Number.isFinite(seconds) ? undefined : nowMs + seconds * 1000
}

function readMessage (text: string): { message: string, code: string | undefined } {
  try {
    const { error } = JSON.parse(text) as { error?: { message?: string, code?: string } }
    return { message: error?.message ?? text, code: error?.code }
  } catch {
    return { message: text, code: undefined }
  }
}

/** Makes the error of an engine's refusal. An engine that refuses before it starts has not run the attempt. */
export function readRefusal (status: number, retryAfter: string | undefined, text: string, nowMs: number): AttemptError {
  const { message, code } = readMessage(text)
  const detail = `status ${status}: ${message}`
  const retryAtMs = readRetryAfter(retryAfter, nowMs)
  const when = retryAtMs === undefined ? {} : { retryAtMs }
  if (code === 'leaving') return new AttemptError({ reason: 'backend-leaving', mayHaveRun: false, detail, ...when })
  if (status === 429 || code === 'overloaded') return new AttemptError({ reason: 'overloaded', mayHaveRun: false, detail, ...when })
  if (status >= 500) return new AttemptError({ reason: 'backend-failed', mayHaveRun: true, detail, ...when })
  return new AttemptError({ reason: 'backend-refused', mayHaveRun: false, detail, ...when })
}
