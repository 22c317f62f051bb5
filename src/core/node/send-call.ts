/** Sends one attempt of a call to a plain service of the team. */
import { err, ok } from 'true-myth/result'
import type { Result } from 'true-myth'
import type { AttemptFailure, ServiceResponse } from '../backends/types.ts'
import type { AttemptRequest, LookUp, SendAttempt } from '../calls/index.ts'
import { toId } from '../ids/index.ts'
import type { BackendId, RequestId } from '../ids/index.ts'
import type { PermittedChoice, RouteChoice } from '../routing/index.ts'
import type { Permit, PermitClaim } from '../backend-limits/index.ts'
import type { BackendTable } from '../backends/table.ts'
import { chooseWithinLimits } from './limited-choice.ts'
import type { ChooseBackendOptions } from './choose-backend.ts'

/** Calls are not ranked. */
const callClaim: PermitClaim = { rank: 1, isRetry: false }
/** Lowest HTTP status that counts as a failure of the service's version. */
const firstFailureStatus = 500
/** Responses from this status on may have been given without running the call. */
const firstErrorStatus = 400

/** Creates the function that sends calls. */
export function createCallSender (options: ChooseBackendOptions): SendAttempt {
  const { clock, router, table, ownPathQuarantine } = options

  return async (order, signal) => {
    const admittance = await ownPathQuarantine.admitCall(order, signal)
    if (admittance.kind === 'refused') return err({ ...notSentFailure(admittance.detail, admittance.retryAtMs), refusal: admittance.reason })
    const result = await sendOnce(order, signal)
    admittance.release()
    return result
  }

  async function sendOnce (order: AttemptRequest, signal: AbortSignal): Promise<Result<ServiceResponse, AttemptFailure>> {
    const choice = chooseBackend(order, options)
    if (choice.isErr) return err(choice.error)
    const { choice: chosen, permit } = choice.value
    const { backend } = chosen
    const service = table.serviceOf(backend.id)
    if (service === undefined) return err(notSentFailure(`backend server ${backend.id} is not a plain service`))
    router.onAttemptSent(order.attempt, chosen)
    options.retryBudget.deposit(toId<BackendId>(order.team))
    const startedAtMs = clock.monotonicMs()
    const result = await service.call({ ...order, version: chosen.version }, signal)
    if (result.isErr && result.error.reason === 'connect-failed') permit.giveBack()
    router.onAttemptEnded(order.attempt, { ok: result.isOk })
    if (result.isErr && result.error.reason === 'backend-leaving') table.markLeaving(backend.id, undefined)
    recordOutcome(options, order, chosen, result, clock.monotonicMs() - startedAtMs)
    if (result.isErr && result.error.mayHaveRun) await ownPathQuarantine.detectCallCrash(order, backend)
    if (result.isOk && result.value.status < firstErrorStatus) ownPathQuarantine.recordCallAnswer(order)
    return result
  }
}

/** Creates the function that asks all services of the team for the response of an earlier call. The first response found is used. */
export function createCallLookUp (table: BackendTable): LookUp {
  return async (order, signal) => {
    const services = table.ofTeam(order.team).map(({ id }) => table.serviceOf(id))
    const responses = await Promise.all(services.map(service => service?.lookUp?.(order, signal)))
    return ok(responses.find(response => response !== undefined))
  }
}

function notSentFailure (detail: string, retryAtMs?: number): AttemptFailure {
  return { reason: 'connect-failed', mayHaveRun: false, detail, ...(retryAtMs === undefined ? {} : { retryAtMs }) }
}

function chooseBackend (order: AttemptRequest, options: ChooseBackendOptions): Result<PermittedChoice<Permit>, AttemptFailure> {
  const shares = options.sharesOf(order.team)
  if (shares === undefined) return err(notSentFailure('the team is no longer declared'))
  options.requestLimits.recordDemand(order.team)
  return chooseWithinLimits({ ...options, limits: options.requestLimits }, {
    request: toId<RequestId>(order.attempt),
    team: order.team,
    shares,
    priority: 'normal',
    deadlineAtMs: order.deadlineAtMs,
    excluded: new Set<BackendId>()
  }, options.table.ofTeam(order.team), callClaim).mapErr(({ reason, detail, retryAtMs }) => {
    const failure = notSentFailure(detail, retryAtMs)
    return reason === 'backends-limited' ? { ...failure, refusal: reason } : failure
  })
}

function recordOutcome (
  options: ChooseBackendOptions,
  order: AttemptRequest,
  choice: RouteChoice,
  result: Result<ServiceResponse, AttemptFailure>,
  elapsedMs: number
): void {
  options.metrics.observe('call_ms', elapsedMs)
  if (result.isErr && result.error.reason === 'backend-leaving') return
  options.recordAttempt({
    team: order.team,
    route: order.route,
    version: choice.version,
    backend: choice.backend.id,
    ok: result.isOk && result.value.status < firstFailureStatus,
    firstTokenMs: elapsedMs,
    betweenTokensMs: undefined
  })
}
