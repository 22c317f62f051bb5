/**
 * Makes one call. Retries use the same idempotency key and body, so that the
 * nodes run the call at most once.
 */
import { err, ok } from 'true-myth/result'
import type { Result } from 'true-myth'
import { request } from 'undici'
import type { Dispatcher } from 'undici'
import { createError } from '../errors/index.ts'
import type { RunState } from '../outcomes/index.ts'
import { createClientAttempts, isRetryable, wasNeverSent } from './attempts.ts'
import { createAnswerRefusedError, parseProblemDetails } from './problem-details.ts'
import type { CallResponse, ClientCallRequest, CallerClientOptions, CallerError, ProblemDetails } from './types.ts'

/** Result of one attempt. `broken` means that no complete response was received. */
type CallAttemptResult =
  | { kind: 'completed', response: CallResponse }
  | { kind: 'refused', problem: ProblemDetails }
  | { kind: 'broken', cause: string, run: RunState }

const problemMediaType = 'application/problem+json'

/** Refusal reasons after which the call is retried although the node doesn't know whether it ran. */
const retryableUnknownReasons: ReadonlySet<string> = new Set(['running-elsewhere', 'owner-unreachable'])

async function sendAttempt (
  url: string,
  callRequest: ClientCallRequest,
  client: CallerClientOptions,
  dispatcher: Dispatcher,
  signal: AbortSignal | undefined
): Promise<CallAttemptResult> {
  const path = `/v1/teams/${encodeURIComponent(callRequest.team)}/calls/${encodeURIComponent(callRequest.route)}`
  try {
    const response = await request(url + path, {
      method: 'POST',
      dispatcher,
      reset: true,
      headers: {
        authorization: `Bearer ${client.token}`,
        'content-type': callRequest.contentType,
        'idempotency-key': callRequest.key,
        'deadline-at-ms': String(callRequest.deadlineAtMs)
      },
      body: callRequest.body,
      ...(signal === undefined ? {} : { signal })
    })
    const body = Buffer.from(await response.body.arrayBuffer())
    const contentType = String(response.headers['content-type'] ?? 'application/octet-stream')
    const status = response.statusCode
    if (contentType.startsWith(problemMediaType)) return { kind: 'refused', problem: parseProblemDetails(status, body.toString('utf8')) }
    return { kind: 'completed', response: { status, contentType, body } }
  } catch (error) {
    return { kind: 'broken', cause: (error as Error).message, run: wasNeverSent(error) ? 'not-run' : 'unknown' }
  }
}

/** Makes a call and retries it under the same key until there is a response, a final refusal, or no time for a retry. */
export async function makeCall (
  client: CallerClientOptions,
  dispatcher: Dispatcher,
  firstUrlIndex: number,
  callRequest: ClientCallRequest,
  signal?: AbortSignal
): Promise<Result<CallResponse, CallerError>> {
  const attempts = createClientAttempts(client, firstUrlIndex, callRequest.deadlineAtMs, signal)
  // Run state over all attempts: once an attempt may have run, a later refusal with "not-run" doesn't hold for the call.
  let run: RunState = 'not-run'
  for (;;) {
    const outcome = await sendAttempt(attempts.url(), callRequest, client, dispatcher, signal)
    if (outcome.kind === 'completed') return ok(outcome.response)
    if (outcome.kind === 'broken') {
      if (outcome.run === 'unknown') run = 'unknown'
      if (await attempts.waitForNext(outcome.cause)) continue
      return err(createError('NodesUnreachable', { urls: client.urls, cause: outcome.cause, run }))
    }
    const { problem } = outcome
    const isRepeatable = isRetryable(problem) || retryableUnknownReasons.has(problem.reason)
    if (isRepeatable && await attempts.waitForNext(problem.reason, problem.retryAtMs)) continue
    return err(createAnswerRefusedError({ ...problem, run: problem.run === 'not-run' ? run : problem.run }))
  }
}
