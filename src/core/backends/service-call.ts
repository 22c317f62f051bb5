/**
 * Makes one call to a plain service on one connection. A failed call counts as possibly run from
 * the moment a byte of it may have been sent. A response that isn't certainly to this call proves nothing.
 */
import { Result } from 'true-myth'
import { parseNamedLimit, requestLimitHeader } from '../backend-limits/index.ts'
import { createByteCollector, describeError } from '../connections/index.ts'
import { isSelfDelimited, lastFinalStatus } from '../connections/response-framing.ts'
import { parseRetryAfter } from './refusal.ts'
import type { Dispatcher } from 'undici'
import type { Clock } from '../clock/index.ts'
import type { ByteCollector } from '../connections/index.ts'
import type { AttemptId } from '../ids/index.ts'
import type { RetryReason } from '../outcomes/index.ts'
import type { FreshConnection } from './fresh-connections.ts'
import type { AttemptFailure, OnNamedLimit, ServiceResponse, ServiceRequest } from './types.ts'

/** Response header by which a service states whether it ran a call. */
export const runStateHeader = 'run-state'
/** Header value: the service refused the call without running it. */
export const runStateNotRun = 'not-run'

/** Header with the id of an attempt, which services return in their responses. */
const attemptHeader = 'x-request-id'

/** Header value in the response to a look-up: the response is that of the completed call. */
export const runStateDone = 'done'

/** Responses with a lower status are informational and precede the response. */
const firstFinalStatus = 200

/** Longest response of a service. */
export const maxResponseBytes = 16 * 1024 * 1024

interface Exchange {
  /** Whether a byte of the request may have been sent. */
  sent: boolean
  status: number
  headers: Record<string, string | string[] | undefined>
  body: ByteCollector
  controller: Dispatcher.DispatchController | undefined
}

function createFailure (reason: RetryReason, mayHaveRun: boolean, detail: string): Result<ServiceResponse, AttemptFailure> {
  return Result.err({ reason, mayHaveRun, detail })
}

function firstHeaderValue (value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value
}

/** Why a response isn't certainly to this attempt; a faulty service may write an earlier one once more. */
function foreignCause ({ headers }: Exchange, attempt: AttemptId, isUsedConnection: boolean): string | undefined {
  const named = firstHeaderValue(headers[attemptHeader])
  if (named === undefined) return isUsedConnection ? 'received a response that names no attempt on a connection that was used before' : undefined
  return named === attempt ? undefined : 'received a response for another attempt'
}

function toResult ({ status, headers, body }: Exchange, nowMs: number): Result<ServiceResponse, AttemptFailure> {
  if (firstHeaderValue(headers[runStateHeader]) === runStateNotRun) {
    const retryAtMs = parseRetryAfter(firstHeaderValue(headers['retry-after']), nowMs)
    const retryTime = retryAtMs === undefined ? {} : { retryAtMs }
    return Result.err({ reason: 'backend-refused', mayHaveRun: false, detail: `the service did not run the call (status ${status})`, ...retryTime })
  }
  const contentType = firstHeaderValue(headers['content-type']) ?? 'application/octet-stream'
  return Result.ok({ status, contentType, body: body.bytes() })
}

function toDispatchOptions (request: ServiceRequest): Dispatcher.DispatchOptions {
  return {
    method: 'POST',
    path: `/calls/${encodeURIComponent(request.route)}`,
    headers: {
      'content-type': request.contentType,
      [attemptHeader]: request.attempt,
      'x-deadline-at-ms': String(request.deadlineAtMs),
      ...(request.version === undefined ? {} : { 'x-version': request.version }),
      ...(request.idempotencyKey === undefined ? {} : { 'idempotency-key': request.idempotencyKey })
    },
    body: request.body
  }
}

/** The result of a call, and whether its connection may carry another one: only after a response that names its attempt. */
export interface CallOutcome {
  result: Result<ServiceResponse, AttemptFailure>
  isReusable: boolean
}

/** Makes the call once, without retries. */
export async function callService (
  connection: FreshConnection,
  clock: Clock,
  request: ServiceRequest,
  signal: AbortSignal,
  onNamedLimit: OnNamedLimit = () => {}
): Promise<CallOutcome> {
  const { client, isUsed } = connection
  const exchange: Exchange = { sent: false, status: 0, headers: {}, body: createByteCollector(maxResponseBytes), controller: undefined }
  const settledController = new AbortController()
  let sentAtMs = clock.monotonicMs()
  return await new Promise(resolve => {
    let isSettled = false
    function settle (result: Result<ServiceResponse, AttemptFailure>): void {
      isSettled = true
      settledController.abort()
      resolve({ result, isReusable: result.isOk && exchange.headers[attemptHeader] !== undefined })
    }

    function abandon (reason: RetryReason, detail: string): void {
      if (isSettled) return
      settle(createFailure(exchange.sent ? reason : 'connect-failed', exchange.sent, detail))
      exchange.controller?.abort(new Error(detail))
    }

    /** A service that states in the head that it did not run the call is believed, whatever follows. */
    function abandonTooLong (): void {
      const result = toResult(exchange, clock.wallMs())
      if (result.isErr) settle(result)
      else abandon('stream-broken', `the response has more than ${maxResponseBytes} bytes`)
      exchange.controller?.abort(new Error('the response is too long'))
    }

    if (signal.aborted) return abandon('stream-broken', 'the caller disconnected')
    signal.addEventListener('abort', () => abandon('stream-broken', 'the caller disconnected'), { once: true, signal: settledController.signal })
    clock.sleep(request.deadlineAtMs - clock.wallMs(), settledController.signal).then(() => abandon('stream-silent', 'the deadline passed'))
    client.dispatch(toDispatchOptions(request), {
      onRequestStart: controller => {
        exchange.controller = controller
        // Nothing may be sent for an abandoned call, and the HTTP client must not send a call a second time.
        if (isSettled || exchange.sent) return controller.abort(new Error('the call was abandoned'))
        exchange.sent = true
        sentAtMs = clock.monotonicMs()
      },
      onResponseStart: (_controller, status, headers) => {
        if (status < firstFinalStatus) return
        exchange.status = status
        exchange.headers = headers
        const cause = status <= lastFinalStatus ? foreignCause(exchange, request.attempt, isUsed) : `received a response with the invalid status ${status}`
        if (cause !== undefined) return abandon('answer-incomplete', cause)
        onNamedLimit(parseNamedLimit(headers[requestLimitHeader]), sentAtMs)
      },
      onResponseData: (_controller, chunk) => {
        if (!exchange.body.add(chunk)) abandonTooLong()
      },
      onResponseEnd: () => {
        if (isSettled) return
        const result = toResult(exchange, clock.wallMs())
        const isBroken = result.isOk && !isSelfDelimited(exchange.status, exchange.headers) && connection.wasCut()
        if (isBroken) abandon('stream-broken', 'the connection was reset or closed before the exchange was complete')
        else settle(result)
      },
      onResponseError: (_controller, error) => abandon('stream-broken', describeError(error))
    })
  })
}
