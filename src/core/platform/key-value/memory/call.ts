/** Runs a call of an in-memory key-value service with an injected fault, which determines the response and when the call takes effect. */
import { Result } from 'true-myth'
import { createError } from '../../../errors/index.ts'
import { isWrite } from './faults.ts'
import type { Clock } from '../../../clock/index.ts'
import type { CallOptions, KeyValueError } from '../types.ts'
import type { CallAttempt, CallFault } from './faults.ts'

function unavailable (operation: string, cause: string): KeyValueError {
  return createError('KeyValueUnavailable', { operation, cause })
}

/** Creates the error of a call without a response: a read changed nothing, a write may have taken effect. */
function noResponseError ({ operation }: CallAttempt, cause: string): KeyValueError {
  return isWrite(operation) ? createError('KeyValueAmbiguous', { operation, cause }) : unavailable(operation, cause)
}

// Skips a sleep of 0 ms, because a manual clock ends it only when the test advances the clock.
async function pause (clock: Clock, durationMs: number | undefined): Promise<void> {
  if (durationMs !== undefined && durationMs > 0) await clock.sleep(durationMs)
}

/** Runs one call. Unless the fault prevents it, `effect` is executed, even if the call's deadline passes before. */
export async function runCall<Value> (
  clock: Clock,
  attempt: CallAttempt,
  fault: CallFault,
  options: CallOptions,
  effect: () => Result<Value, KeyValueError>
): Promise<Result<Value, KeyValueError>> {
  const remainingMs = options.deadlineAtMs - clock.wallMs()
  if (remainingMs <= 0) return Result.err(unavailable(attempt.operation, 'the deadline passed before the request was sent'))
  if (fault.refused === true) return Result.err(unavailable(attempt.operation, 'the connection was refused'))
  if (fault.requestLost === true) return Result.err(noResponseError(attempt, 'the connection broke'))
  const work = executeWithDelays(clock, fault, effect)
  if (fault.answerLost === true) return Result.err(noResponseError(attempt, 'the connection broke'))
  if ((fault.requestDelayMs ?? 0) + (fault.answerDelayMs ?? 0) === 0) return await work
  const givenUp = new AbortController()
  const late = clock.sleep(remainingMs, givenUp.signal)
    .then(() => Result.err<Value, KeyValueError>(noResponseError(attempt, 'its deadline passed before a response')))
  const response = await Promise.race([work, late])
  givenUp.abort()
  return response
}

async function executeWithDelays<Value> (
  clock: Clock,
  fault: CallFault,
  effect: () => Result<Value, KeyValueError>
): Promise<Result<Value, KeyValueError>> {
  await pause(clock, fault.requestDelayMs)
  const result = effect()
  await pause(clock, fault.answerDelayMs)
  return result
}
