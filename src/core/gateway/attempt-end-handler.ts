/**
 * Decides what follows the end of an attempt: another attempt, or the end of the
 * request. `endRequest` is the only place that ends an accepted request; it reports
 * the request as not run only when that is certain.
 */
import { cutAnswer } from '../caller-connections/index.ts'
import { isSelfDelimited } from '../connections/response-framing.ts'
import { stoppedFields } from '../planned-stops/index.ts'
import { delimitWithoutLength, forwardedResponseHeaders } from './gateway-response.ts'
import { requestLogFields } from './active-request.ts'
import { parseRetryAfterMs } from './eligibility.ts'
import type { BackendId } from '../ids/index.ts'
import type { RouteChoice } from '../routing/index.ts'
import type { AttemptEnd, CompleteResponse } from './attempt.ts'
import type { Refusals } from './refusals.ts'
import type { RequestHandlerOptions, ActiveRequest } from './active-request.ts'

/** Retry time that callers get when no backend server could be reached. */
const unreachableRetryMs = 1_000
/** Undelivered attempts of one request, such as refused connections, after which it fails; they don't count as sent. */
const maxUndelivered = 3

const unavailableStatus = 503
const firstServerErrorStatus = 500
/** Statuses that promise callers that the request was not run; such a response without that statement of its backend server proves nothing. */
const notRunStatuses = new Set([408, 421, 429, unavailableStatus])
const maxLoggedChars = 40

function retryAfterOf ({ headers }: CompleteResponse): string | undefined {
  const value = headers['retry-after']
  return Array.isArray(value) ? value[0] : value
}

/** How a request ends. */
export type RequestEnd =
  /** An attempt has forwarded the whole response. */
  | { kind: 'passed-on', status: number }
  /** The complete response of a backend server is to be forwarded. */
  | { kind: 'complete', response: CompleteResponse }
  /** There is no such response; `reason` is a metric label. */
  | { kind: 'failed', reason: string, detail: string, retryInMs: number }
  | { kind: 'timed-out' }
  /** The node stopped first. */
  | { kind: 'stopped' }
  | { kind: 'caller-gone' }

/** A request that ends without the response of a backend server. */
export function failedWith (reason: string, detail: string, retryInMs: number): RequestEnd {
  return { kind: 'failed', reason, detail, retryInMs }
}

/** Continues or ends a request after an attempt. */
export interface AttemptEndHandler {
  /** Processes the end of an attempt; returns how the request ends, or undefined when another attempt follows. */
  handleAttemptEnd: (active: ActiveRequest, choice: RouteChoice, end: AttemptEnd) => RequestEnd | undefined
  /** Ends the request's response, or cuts it if it has begun and can't be completed. */
  endRequest: (active: ActiveRequest, end: RequestEnd) => void
  /** Counts and logs a forwarded response if it was delivered; called when the response has closed. */
  recordDelivery: (active: ActiveRequest) => void
}

/** Whether another backend server would answer the same. */
function isCallersError (status: number): boolean {
  return status >= 300 && status < firstServerErrorStatus
}

function isRetryable ({ route, progress }: ActiveRequest): boolean {
  return route.kind === 'repeatable' || (route.isResumable && progress.eventBuffer.isResumable())
}

/** Creates the handler for the ends of attempts. */
export function createAttemptEndHandler (options: RequestHandlerOptions, { refuse, withJitter }: Refusals): AttemptEndHandler {
  const { clock, log, metrics, backends } = options

  function handleAttemptEnd (active: ActiveRequest, choice: RouteChoice, end: AttemptEnd): RequestEnd | undefined {
    const { id: backend } = choice.backend
    pauseIfAsked(backend, end)
    if (end.kind === 'passed-on') return end
    if (end.kind === 'aborted') {
      if (end.mayHaveRun) active.mayHaveRunOn.add(backend)
      return blockedEnd(active)
    }
    active.uncountedAttempt = undefined
    if (end.kind === 'not-run') {
      if (end.isMisdirected) backends.markMisdirected(backend)
      else if (end.isUnreachable) backends.markSuspect(backend, end.cause)
      if (end.isMisdirected || end.isUnreachable) active.undeliveredCount += 1
      else active.sentCount += 1
      return retryOrFail(active, choice, end.cause)
    }
    active.sentCount += 1
    active.mayHaveRunOn.add(backend)
    if (end.kind === 'complete') {
      const mayRetry = end.response.status >= firstServerErrorStatus && isRetryable(active)
      if (!mayRetry) return end
      active.failureResponse = end.response
      return retryOrFail(active, choice, `the backend server responded with status ${end.response.status}`)
    }
    if (end.kind === 'not-continued' && isCallersError(end.status)) return failedWith('not-continued', end.cause, 0)
    if (end.kind === 'may-have-run' && !end.isUntrusted) backends.markSuspect(backend, end.cause)
    return retryOrFail(active, choice, end.cause)
  }

  /** A pause is no sign of a fault: it affects neither the suspicion of the backend server nor its reputation. */
  function pauseIfAsked (backend: BackendId, end: AttemptEnd): void {
    if (end.kind !== 'not-run' && end.kind !== 'complete') return
    const { status, retryAfter } = end.kind === 'not-run' ? end : { status: end.response.status, retryAfter: retryAfterOf(end.response) }
    if (status !== unavailableStatus || retryAfter === undefined) return
    const forMs = parseRetryAfterMs(retryAfter)
    if (forMs === undefined) log('backendPauseInvalid', { backend, retryAfter: retryAfter.slice(0, maxLoggedChars) })
    else if (forMs > 0) backends.pause(backend, forMs)
  }

  /** Returns undefined if another attempt follows. */
  function retryOrFail (active: ActiveRequest, choice: RouteChoice, cause: string): RequestEnd | undefined {
    const { route, excluded } = active
    excluded.add(choice.backend.id)
    const blocked = blockedEnd(active)
    if (blocked !== undefined) return blocked
    if (active.isCallerGone) return { kind: 'caller-gone' }
    const mayRepeat = active.mayHaveRunOn.size === 0 || isRetryable(active)
    const hasAttemptsLeft = active.sentCount < route.maxBackends && active.undeliveredCount <= maxUndelivered
    const isWithinDeadline = clock.wallMs() < active.deadlineAtMs
    const wasSent = active.sentCount > 0
    const canRetry = mayRepeat && hasAttemptsLeft && isWithinDeadline && (!wasSent || options.retryBudget.take(choice.backend.id, 'backend-failed'))
    if (canRetry) {
      metrics.countRetry('backend-failed')
      log('gatewayRetried', { ...requestLogFields(active, clock), cause })
      return undefined
    }
    return failedWith(mayRepeat && hasAttemptsLeft ? 'retry-budget' : 'backend-failed', cause, unreachableRetryMs)
  }

  function endRequest (active: ActiveRequest, end: RequestEnd): void {
    // The end of the connection was logged when it closed.
    if (end.kind === 'caller-gone') return
    if (end.kind === 'passed-on') return recordResponse(active, end.status)
    if (end.kind === 'timed-out' || end.kind === 'stopped') return endUnanswered(active, end.kind)
    if (end.kind === 'failed') return failRequest(active, end.reason, end.detail, end.retryInMs)
    if (active.progress.areHeadersSent) return failRequest(active, 'not-continued', `a response with status ${end.response.status} can't continue the stream`, 0)
    const mayBeUntrue = notRunStatuses.has(end.response.status) && !isRetryable(active)
    if (mayBeUntrue) return failRequest(active, 'backend-failed', `the backend server responded with status ${end.response.status} and didn't state that the request was not run`, 0)
    forwardResponse(active, end.response)
  }

  /** The end of a request that must not be sent again; undefined if it may be. */
  function blockedEnd ({ blockedBy, isCallerGone }: ActiveRequest): RequestEnd | undefined {
    if (blockedBy === undefined || isCallerGone) return undefined
    return failedWith(blockedBy.reason, blockedBy.detail, blockedBy.retryAtMs - clock.wallMs())
  }

  /** Ends the request with 503 when it was certainly not run, with a kept 5xx response, or with 502 when its outcome is unknown. */
  function failRequest (active: ActiveRequest, reason: string, detail: string, retryInMs: number, moreFields: Record<string, unknown> = {}): void {
    const { response, failureResponse, mayHaveRunOn, progress } = active
    if (progress.areHeadersSent) {
      metrics.count('gateway_answers_total', { status: 'cut', reason })
      log('gatewayCut', { ...requestLogFields(active, clock), ...moreFields, reason, detail, waitingBytes: response.writableLength })
      active.isCut = true
      cutAnswer(response)
      return
    }
    if (failureResponse !== undefined) return forwardResponse(active, failureResponse)
    const refusal = mayHaveRunOn.size === 0
      ? { status: 503, reason, detail, retryInMs: withJitter(retryInMs) }
      : { status: 502, reason, detail }
    refuse(response, refusal, requestLogFields(active, clock))
  }

  function endUnanswered (active: ActiveRequest, kind: 'timed-out' | 'stopped'): void {
    const { progress, mayHaveRunOn, response, stopDecision } = active
    const reason = kind === 'timed-out' ? 'deadline-past' : 'draining'
    const cause = kind === 'timed-out' ? 'The deadline passed' : 'The node stopped'
    const moreFields = kind === 'stopped' ? stoppedFields(active) : {}
    if (progress.areHeadersSent) {
      if (kind === 'stopped') metrics.count('answers_cut_at_stop_total', { basis: stopDecision?.basis ?? 'before-stop' })
      return failRequest(active, reason, `${cause} before the response was complete.`, 0, moreFields)
    }
    const status = mayHaveRunOn.size === 0 ? 503 : 504
    refuse(response, { status, reason, detail: `${cause} before there was a response.` }, { ...requestLogFields(active, clock), ...moreFields })
  }

  function forwardResponse (active: ActiveRequest, backendResponse: CompleteResponse): void {
    const { response, request } = active
    response.statusCode = backendResponse.status
    const isHead = request.method === 'HEAD'
    for (const [name, value] of Object.entries(forwardedResponseHeaders(backendResponse.headers, isHead))) response.setHeader(name, value)
    if (!isSelfDelimited(backendResponse.status, backendResponse.headers)) delimitWithoutLength(response)
    else if (!isHead) response.setHeader('content-length', backendResponse.body.length)
    response.end(backendResponse.body)
    recordResponse(active, backendResponse.status)
  }

  /** The response is counted and logged once it is delivered, which may be before or after this call. */
  function recordResponse (active: ActiveRequest, status: number): void {
    active.forwardedStatus = status
    recordDelivery(active)
  }

  function recordDelivery (active: ActiveRequest): void {
    const { route, head, firstByteMs, arrivedAtMs, forwardedStatus, closed, progress } = active
    const isDelivered = closed !== undefined && closed.end === undefined
    if (!isDelivered || forwardedStatus === undefined) return
    const tookMs = clock.wallMs() - arrivedAtMs
    options.stopGate.recordAnswer(route.name, { firstByteMs: firstByteMs ?? tookMs, tookMs, eventCount: progress.eventBuffer.eventCount(), answerTokens: head.tokens?.answer })
    metrics.count('gateway_answers_total', { status: String(forwardedStatus), reason: 'passed-on' })
    if (firstByteMs !== undefined) metrics.observe(`gateway_first_byte_ms_${route.kind.replaceAll('-', '_')}`, firstByteMs)
    metrics.observe(`gateway_total_ms_${route.kind.replaceAll('-', '_')}`, tookMs)
    log('gatewayAnswered', { ...requestLogFields(active, clock), status: forwardedStatus })
  }

  return { handleAttemptEnd, endRequest, recordDelivery }
}
