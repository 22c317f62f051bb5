/**
 * Handles one caller's request: applies quotas and admission control, and makes
 * attempts until the outcome is known.
 */
import { startTimerAfterReads } from '../clock/index.ts'
import { toId } from '../ids/index.ts'
import { createStopDecisions } from '../planned-stops/index.ts'
import { startAttempt } from './attempt.ts'
import { isAttemptOk } from './attempt-outcome.ts'
import { createAcceptance } from './acceptance.ts'
import { canaryLabel } from './backend-table.ts'
import { createAttemptEndHandler, failedWith } from './attempt-end-handler.ts'
import { createLimitGate } from './limit-gate.ts'
import { createQuarantineGate } from './quarantine-gate.ts'
import { resumeMs } from './eligibility.ts'
import { createLatencyObserver } from './latency-observer.ts'
import { createRefusals } from './refusals.ts'
import { abandonAttempt, createEndFailedRequest, mayHaveRun } from './failed-request.ts'
import { quotaUnitsOf, requestLogFields } from './active-request.ts'
import { createRouteRequest } from './route-request.ts'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AnswerEnd } from '../caller-connections/index.ts'
import type { AttemptId, TeamId } from '../ids/index.ts'
import type { RouteChoice } from '../routing/index.ts'
import type { AttemptEnd } from './attempt.ts'
import type { Unavailability } from './backend-table.ts'
import type { RequestEnd } from './attempt-end-handler.ts'
import type { RequestHandlerOptions, ActiveRequest } from './active-request.ts'
import type { UnchosenReason } from './limit-gate.ts'

/** A backend server that sends nothing for this time plus a multiple of the expected wait is suspected to be down. */
const baseResponseTimeoutMs = 250
/** That multiple; estimates of queueing times are inaccurate. */
const expectedWaitFactor = 3
/** Retry time that callers get while a service has no backend server for their requests; nothing tells when that ends. */
const unavailableRetryMs = 2_000
const unavailableRefusals: Record<Unavailability, { reason: string, detail: string }> = {
  evacuated: { reason: 'backends-evacuated', detail: 'All backend servers of the service that the request may be sent to are in evacuated failure domains.' },
  'not-allowed': { reason: 'region-not-allowed', detail: 'No backend server of the service is in the regions that the route and the team allow.' }
}
/** Maximum concurrent requests of one team at one node; bounds the node's memory. */
const maxRequestsInFlight = 512
/** Maximum queued requests of one team at one node. */
const maxQueuedRequests = 256

/** Serves one request; resolves when its response has ended or its caller has disconnected. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>

/** Creates the request handler of a gateway. */
export function createRequestHandler (options: RequestHandlerOptions): RequestHandler {
  const { clock, log, metrics, codec, router, backends, limits, buffers } = options
  const refusals = createRefusals(options)
  const { refuse, withJitter, endUnfinished } = refusals
  const quarantineGate = createQuarantineGate(options)
  const limitGate = createLimitGate(options)
  const { handleAttemptEnd, endRequest, recordDelivery } = createAttemptEndHandler(options, refusals)
  const endFailedRequest = createEndFailedRequest(options, refusals)
  const stopDecisions = createStopDecisions(options)
  const { acceptRequest, stopRefusal } = createAcceptance(options, refusals, stopDecisions)

  async function serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      await acceptAndServe(request, response)
    } catch (error) {
      endFailedRequest(error, { request, response })
    }
  }

  async function acceptAndServe (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const active = await acceptRequest(request, response)
    if (active === undefined) return
    const { id, route, team, version } = active
    limits.recordDemand(active.service)
    const quarantined = quarantineGate.refusalOnArrival(active)
    if (quarantined !== undefined) return refuse(response, quarantined, requestLogFields(active, clock))
    const unavailability = backends.unavailability(active.service, active.mayUseDomain)
    if (unavailability !== undefined) return refuse(response, { status: 503, ...unavailableRefusals[unavailability], retryInMs: withJitter(unavailableRetryMs) }, requestLogFields(active, clock))
    if (team?.quota !== undefined) {
      let waitMs = options.quotas.take(team.team, team.quota, quotaUnitsOf(active))
      if (typeof waitMs !== 'number') {
        waitMs = await waitMs
        if (options.stopped.aborted) return refuse(response, stopRefusal(), requestLogFields(active, clock))
      }
      if (waitMs > 0) {
        const detail = 'The team has used up its quota.'
        return refuse(response, { status: 429, reason: 'team-quota', detail, retryInMs: withJitter(waitMs) }, { request: id, team: team.team, route: route.name, version, ...options.quotas.explain(team.team) })
      }
    }
    await admitAndServe(active)
  }

  /** Called when the answer was delivered or its connection has ended. */
  function onAnswerClosed (active: ActiveRequest, end: AnswerEnd | undefined): void {
    const { response } = active
    active.closed = { end }
    if (end === undefined) return recordDelivery(active)
    if (active.isCut) return
    const { reason, waitingBytes } = end
    const phase = response.writableEnded ? 'written' : response.headersSent ? 'answering' : 'waiting'
    metrics.count('answers_not_delivered_total', { reason, phase })
    const hasLeft = reason === 'caller-closed' && phase !== 'written'
    log(hasLeft ? 'gatewayLeft' : 'answerNotDelivered', { ...requestLogFields(active, clock), phase, reason, waitingBytes })
    active.isCallerGone = true
    active.ended.abort()
    active.attempt?.abort()
  }

  async function admitAndServe (active: ActiveRequest): Promise<void> {
    const { response, route } = active
    const onStopped = (): void => {
      active.isStopped = true
      active.ended.abort()
      active.attempt?.abort()
    }
    options.stopped.addEventListener('abort', onStopped)
    options.onAnswerClosed(response, end => {
      options.stopped.removeEventListener('abort', onStopped)
      onAnswerClosed(active, end)
    })
    const permit = await options.admission.admit({
      team: active.team?.team ?? toId<TeamId>(''),
      route: route.name,
      priority: 'normal',
      deadlineAtMs: active.deadlineAtMs,
      weight: 1,
      maxConcurrent: maxRequestsInFlight,
      maxQueued: maxQueuedRequests,
      expectedMs: 0,
      signal: active.ended.signal
    })
    if (permit.isErr) {
      if (active.isStopped) return refuse(response, stopRefusal(), requestLogFields(active, clock))
      const { reason, detail, retryAtMs } = permit.error
      const retryInMs = Math.max(0, (retryAtMs ?? 0) - clock.wallMs())
      return refuse(response, { status: 503, reason, detail, retryInMs }, requestLogFields(active, clock))
    }
    const stopTimer = startTimerAfterReads(() => {
      active.isTimedOut = true
      active.ended.abort()
      active.attempt?.abort()
    }, Math.max(0, active.deadlineAtMs - clock.wallMs()))
    try {
      endRequest(active, await attemptUntilDone(active))
    } catch (error) {
      endFailedRequest(error, active, active)
    } finally {
      stopTimer()
      permit.value.release(response.writableFinished ? 'done' : 'failed')
      quarantineGate.onEnded(active)
    }
  }

  /** Makes attempts until it is known how the request ends. A turn that makes no attempt is the last one, unless the request has just ended. */
  async function attemptUntilDone (active: ActiveRequest): Promise<RequestEnd> {
    for (;;) {
      if (active.isCallerGone) return { kind: 'caller-gone' }
      if (active.isTimedOut) return { kind: 'timed-out' }
      if (active.isStopped) return { kind: 'stopped' }
      const admittance = await quarantineGate.admit(active)
      if (active.isCallerGone || active.isTimedOut || active.isStopped) {
        if (admittance.kind === 'admitted') admittance.release()
        continue
      }
      if (admittance.kind === 'refused') return failedWith(admittance.reason, admittance.detail, admittance.retryAtMs - clock.wallMs())
      if (!stopDecisions.sends(active)) {
        admittance.release()
        return failedWith('draining', 'The node is stopping and can not finish another attempt before.', options.stoppingRetryMs())
      }
      const attempted = await attemptAdmitted(active).finally(admittance.release)
      if ('unchosen' in attempted) return unchosenEnd(active, attempted.unchosen)
      const { choice, end } = attempted
      await quarantineGate.onAttemptEnded(active, end)
      const requestEnd = handleAttemptEnd(active, choice, end)
      if (requestEnd !== undefined) return requestEnd
    }
  }

  /** Makes an attempt, unless no backend server can be chosen. */
  async function attemptAdmitted (active: ActiveRequest): Promise<{ unchosen: UnchosenReason } | { choice: RouteChoice, end: AttemptEnd }> {
    const comparison = { canaryShare: options.canaryShare(active.service), compareAllBackends: options.hasRecentLoads(), isAlwaysCompared: limitGate.hasLimit }
    const chosen = limitGate.choose(active, usable => router.choose(createRouteRequest(active, comparison), usable))
    if (chosen.isErr) return { unchosen: chosen.error }
    const { choice, permit } = chosen.value
    try {
      const end = await attemptOnce(active, choice)
      // Before anything else, as what follows may fail.
      if (mayHaveRun(end)) active.mayHaveRunOn.add(choice.backend.id)
      limitGate.onAttemptEnded(permit, end)
      return { choice, end }
    } catch (error) {
      if (!active.mayHaveRunOn.has(choice.backend.id)) permit.giveBack()
      throw error
    }
  }

  /** The end of a request for which no backend server could be chosen. */
  function unchosenEnd ({ service, mayUseDomain }: ActiveRequest, { refusal, limitedForMs }: UnchosenReason): RequestEnd {
    const unavailability = backends.unavailability(service, mayUseDomain)
    if (unavailability !== undefined) return failedWith(unavailableRefusals[unavailability].reason, unavailableRefusals[unavailability].detail, unavailableRetryMs)
    const pausedForMs = backends.allPausedForMs(service, mayUseDomain)
    if (pausedForMs !== undefined) return failedWith('backends-paused', 'All backend servers of the service asked for a pause.', pausedForMs + options.random() * resumeMs)
    if (limitedForMs !== undefined) return failedWith('backends-limited', 'All backend servers of the service limit their requests, and no permit is left.', limitedForMs)
    const { reason, detail, retryAtMs } = refusal
    return failedWith(reason, detail, Math.max(0, (retryAtMs ?? 0) - clock.wallMs()))
  }

  async function attemptOnce (active: ActiveRequest, choice: RouteChoice): Promise<AttemptEnd> {
    const { route, team, request, response, head, id } = active
    const known = backends.get(choice.backend.id)
    if (known === undefined) return { kind: 'not-run', cause: 'the backend server was removed after it was chosen', isMisdirected: false, isUnreachable: true }
    active.choice = choice
    const nowMs = clock.wallMs()
    const attemptId = toId<AttemptId>(`${id}/${active.sentCount}/${active.undeliveredCount}`)
    const lastEventId = active.progress.eventBuffer.lastEventId() ?? head.lastEventId
    const headers = codec.forwardedHeaders(request, {
      backend: choice.backend.id,
      team: team?.team,
      deadlineAtMs: active.deadlineAtMs,
      rank: team?.rank ?? route.rank,
      lastEventId,
      fetchFrom: choice.fetchFrom === undefined ? undefined : backends.get(choice.fetchFrom.id)?.entry.address
    }, active.body?.length ?? 0, nowMs)
    const isCanary = choice.version === canaryLabel
    const sentAtMs = clock.monotonicMs()
    let lastProgressAtMs: number | undefined
    let firstEvents: { count: number, atMs: number } | undefined
    let eventGaps: { count: number, sumMs: number } | undefined
    const latencies = createLatencyObserver(sentAtMs, latency => options.onLatency({ service: active.service, route: route.name, isCanary, ...latency }))
    const attempt = startAttempt({
      connections: known.connections,
      request: { method: request.method ?? 'GET', target: request.url ?? '/', headers, body: active.body, needsNewConnection: head.request === undefined },
      requestId: id,
      kind: route.kind,
      codec,
      response,
      progress: active.progress,
      buffers,
      onActivity: () => backends.recordActivity(choice.backend.id),
      onHead: ({ isLeaving, requestLimit }) => {
        if (isLeaving) backends.markLeaving(choice.backend.id)
        limits.recordResponse(known.entry, requestLimit, sentAtMs)
      },
      onFirstByte: () => {
        lastProgressAtMs = clock.monotonicMs()
        latencies.onFirstByte(lastProgressAtMs)
        active.firstByteMs ??= clock.wallMs() - active.arrivedAtMs
        router.onFirstToken(attemptId)
        if (team !== undefined) options.onStarted(team.team)
      },
      onEvents: count => {
        lastProgressAtMs = clock.monotonicMs()
        latencies.onEvents(count, lastProgressAtMs)
        openAttempt.onEvents(count)
        if (firstEvents === undefined) {
          router.onFirstEvent(attemptId)
          quarantineGate.onFirstEvent(active)
        }
        firstEvents ??= { count, atMs: lastProgressAtMs }
        eventGaps = { count: count - firstEvents.count, sumMs: lastProgressAtMs - firstEvents.atMs }
      }
    })
    active.attempt = attempt
    active.uncountedAttempt = attempt
    const openAttempt = options.stopGate.openAttempt(route.name)
    active.openAttempt = openAttempt
    const stopResponseTimer = startTimerAfterReads(() => {
      if (known.lastActivityAtMs < sentAtMs) backends.markSuspect(choice.backend.id, 'no byte was received since a request was sent')
    }, baseResponseTimeoutMs + expectedWaitFactor * choice.expectedFirstTokenMs)
    try {
      router.onAttemptSent(attemptId, choice)
      options.onSent({ service: active.service, isCanary, workMs: choice.prefillMs })
      if (active.sentCount === 0) options.retryBudget.deposit(choice.backend.id)
      const end = await attempt.ended
      active.attempt = undefined
      active.endedInPhase = attempt.phase()
      const isServerError = end.kind === 'complete' && end.response.status >= 500
      const ok = (end.kind === 'passed-on' || end.kind === 'complete') && !isServerError
      router.onAttemptEnded(attemptId, { ok, attributedToBackend: end.kind !== 'aborted' && !(end.kind === 'not-run' && !end.isUnreachable), ...(eventGaps === undefined ? {} : { eventGaps }) })
      if (end.kind !== 'not-run') latencies.onEnded(end.kind !== 'passed-on' && end.kind !== 'complete', clock.monotonicMs())
      const targetMs = route.eventGapTargetMs ?? route.latencyTargetMs
      const isStalled = lastProgressAtMs !== undefined && clock.monotonicMs() - lastProgressAtMs > targetMs
      const isVersionOk = isAttemptOk(end, { isTimedOut: active.isTimedOut, isStalled })
      if (isVersionOk !== undefined) {
        options.onAttempt({ team: team?.team, service: active.service, route: route.name, request: id, backend: choice.backend.id, isCanary, ok: isVersionOk })
      }
      return end
    } catch (error) {
      await abandonAttempt(active, attempt)
      router.onAttemptEnded(attemptId, { ok: false, attributedToBackend: false })
      throw error
    } finally {
      stopResponseTimer()
      openAttempt.end()
    }
  }

  return (request, response) => serve(request, response).finally(() => endUnfinished(response, { path: request.url }))
}
