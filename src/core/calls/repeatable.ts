/** Repeatable calls, such as look-ups. They need no claim and are attempted again after any failure. */
import { Result } from 'true-myth'
import { createId } from '../ids/index.ts'
import { attemptOnce } from './attempt.ts'
import type { AttemptFailure } from '../backends/types.ts'
import type { AttemptId } from '../ids/index.ts'
import type { Refusal, RefusalReason } from '../outcomes/index.ts'
import type { AttemptOptions } from './attempt.ts'
import type { Call, CallResponse } from './types.ts'

const defaultRetryDelayMs = 1_000

/** The reason not to make another attempt; undefined if one is allowed. */
function giveUpReason (options: AttemptOptions, call: Call, failure: AttemptFailure, attempt: number): RefusalReason | undefined {
  if (failure.refusal !== undefined) return failure.refusal
  if (options.signal.aborted) return 'draining'
  if (options.clock.wallMs() >= call.deadlineAtMs) return 'deadline-past'
  if (attempt >= options.limits.maxAttempts) return 'attempts-exhausted'
  return options.mayRetry(call.team, failure.reason) ? undefined : 'retry-budget'
}

/** Runs a repeatable call. A refusal has the run state `unknown` if any attempt may have run, else `not-run`. */
export async function runRepeatable (options: AttemptOptions, call: Call): Promise<Result<CallResponse, Refusal>> {
  const { clock, limits, metrics } = options
  const { team, route, key, contentType, body, deadlineAtMs } = call
  let mayHaveRun = false
  for (let attempt = 1; ; attempt += 1) {
    const request = { team, route, contentType, body, deadlineAtMs, idempotencyKey: key, attempt: createId<AttemptId>('att', clock.wallMs()) }
    const sent = await attemptOnce(options, request)
    if (sent.isOk) return Result.ok({ ...sent.value, run: 'done', repeated: false })
    mayHaveRun ||= sent.error.mayHaveRun
    const reason = giveUpReason(options, call, sent.error, attempt)
    if (reason !== undefined) {
      const retryAtMs = sent.error.retryAtMs ?? clock.wallMs() + defaultRetryDelayMs
      return Result.err({ reason, run: mayHaveRun ? 'unknown' : 'not-run', retryAtMs, detail: sent.error.detail })
    }
    metrics.countRetry(sent.error.reason)
    await clock.sleep(limits.retryPauseMs * attempt, options.signal)
  }
}
