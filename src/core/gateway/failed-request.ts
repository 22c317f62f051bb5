/**
 * Ends requests whose handling failed unexpectedly with an answer that says whether
 * they may have run.
 */
import { cutAnswer } from '../caller-connections/index.ts'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { ActiveRequest, RequestHandlerOptions } from './active-request.ts'
import type { Attempt, AttemptEnd } from './attempt.ts'
import type { Refusals } from './refusals.ts'

/** How far a request had come when its handling failed. */
export interface FailureCircumstances {
  /** Whether a part of a response was sent to the caller, and whether all of it was. */
  hasBegun: boolean
  hasEnded: boolean
  /** Whether a backend server may have run the request. */
  mayHaveRun: boolean
}

/** What the caller gets; `none` if it has the complete response already. */
export type FailureAnswer =
  | { kind: 'none' }
  | { kind: 'cut' }
  | { kind: 'refused', status: 502 | 503, retryInMs?: number }

/** Retry time that callers get; the next request may meet the same error. */
const failedRetryMs = 500
const reason = 'internal-error'

/** Decides what the caller of a request gets whose handling failed. */
export function answerToFailure ({ hasBegun, hasEnded, mayHaveRun }: FailureCircumstances): FailureAnswer {
  if (hasEnded) return { kind: 'none' }
  if (hasBegun) return { kind: 'cut' }
  return mayHaveRun ? { kind: 'refused', status: 502 } : { kind: 'refused', status: 503, retryInMs: failedRetryMs }
}

/** Whether the backend server of an attempt may have run the request. */
export function mayHaveRun (end: AttemptEnd): boolean {
  return end.kind === 'aborted' ? end.mayHaveRun : end.kind !== 'not-run'
}

/** Aborts an attempt whose handling failed, and records whether it may have run. */
export async function abandonAttempt (active: ActiveRequest, attempt: Attempt): Promise<void> {
  attempt.abort()
  active.attempt = undefined
  if (mayHaveRun(await attempt.ended) && active.choice !== undefined) active.mayHaveRunOn.add(active.choice.backend.id)
}

/** Ends a request whose handling failed; `active` is undefined if it failed before it was accepted. */
export type EndFailedRequest = (error: unknown, exchange: { request: IncomingMessage, response: ServerResponse }, active?: ActiveRequest) => void

/** Creates the function that ends failed requests. */
export function createEndFailedRequest ({ log, metrics }: Pick<RequestHandlerOptions, 'log' | 'metrics'>, { refuse, withJitter }: Refusals): EndFailedRequest {
  return (error, { request, response }, active) => {
    const fields = { request: active?.id, path: request.url, route: active?.route.name, service: active?.service, backend: active?.choice?.backend.id }
    metrics.count('gateway_failures_total')
    log('gatewayFailed', { ...fields, cause: error instanceof Error ? error.stack : String(error) })
    const answer = answerToFailure({ hasBegun: response.headersSent, hasEnded: response.writableEnded, mayHaveRun: (active?.mayHaveRunOn.size ?? 0) > 0 })
    if (answer.kind === 'cut') {
      metrics.count('gateway_answers_total', { status: 'cut', reason })
      log('gatewayCut', { ...fields, reason })
      if (active !== undefined) active.isCut = true
      cutAnswer(response)
    }
    if (answer.kind !== 'refused') return
    // Headers of a backend server's response, such as its signature, must not stand in this one.
    for (const name of response.getHeaderNames()) response.removeHeader(name)
    const { status, retryInMs } = answer
    refuse(response, { status, reason, detail: 'Handling the request failed unexpectedly.', ...(retryInMs === undefined ? {} : { retryInMs: withJitter(retryInMs) }) }, fields)
    request.resume()
  }
}
