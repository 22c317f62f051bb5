/**
 * Refusals as problem details (RFC 9457). They contain a typed reason, whether
 * the request was executed, and when to retry.
 */
import type { Response } from 'express'
import type { Refusal, RefusalReason } from '../outcomes/index.ts'

const statusByReason: Record<RefusalReason, number> = {
  'bad-request': 400,
  'body-missing': 400,
  'body-truncated': 400,
  'body-too-large': 413,
  'key-missing': 400,
  'key-reused': 422,
  'key-expired': 410,
  unauthorized: 401,
  forbidden: 403,
  'unknown-team': 404,
  'unknown-route': 404,
  'deadline-past': 504,
  'deadline-unreachable': 503,
  'queue-full': 429,
  'team-limit': 429,
  'retry-budget': 503,
  'attempts-exhausted': 502,
  'backend-failed': 502,
  'no-backend': 503,
  draining: 503,
  'not-ready': 503,
  'store-unavailable': 503,
  'owner-unreachable': 503,
  'running-elsewhere': 409,
  'answer-not-kept': 410,
  'prompt-quarantined': 422,
  'prompt-suspected': 503,
  'request-quarantined': 422,
  'request-suspected': 503,
  'backends-limited': 503,
  'caller-left': 499
}

/** Response body of a refusal. */
export interface ProblemDetails extends Refusal {
  type: string
  title: string
  status: number
}

/** Converts a refusal to its response body. */
export function toProblemDetails (refusal: Refusal): ProblemDetails {
  return {
    type: `urn:cyclamenshunt:refusal:${refusal.reason}`,
    title: refusal.reason.replaceAll('-', ' '),
    status: statusByReason[refusal.reason],
    ...refusal
  }
}

/** Sends a refusal as the response. `Retry-After` is in whole seconds, rounded up. */
export function sendProblem (response: Response, refusal: Refusal, nowMs: number): void {
  const problem = toProblemDetails(refusal)
  if (refusal.retryAtMs !== undefined) {
    response.set('Retry-After', String(Math.max(0, Math.ceil((refusal.retryAtMs - nowMs) / 1000))))
  }
  response.set('Cyclamenshunt-Run', refusal.run)
  response.status(problem.status).type('application/problem+json').send(JSON.stringify(problem))
}
