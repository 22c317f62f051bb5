/** One attempt at a backend server; errors that it throws become failure values. */
import { Result } from 'true-myth'
import type { AttemptFailure, ServiceResponse } from '../backends/types.ts'
import type { Clock } from '../clock/index.ts'
import type { TeamId } from '../ids/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { RetryReason } from '../outcomes/index.ts'
import type { CallLimits, AttemptRequest, LookUp, SendAttempt } from './types.ts'

/** Dependencies of attempts. */
export interface AttemptOptions {
  send: SendAttempt
  lookUp: LookUp | undefined
  mayRetry: (team: TeamId, reason: RetryReason) => boolean
  clock: Clock
  limits: CallLimits
  metrics: Metrics
  log: Log
  /** Aborted when the node closes. */
  signal: AbortSignal
}

/** Makes one attempt. After a thrown error the call may have run. */
export async function attemptOnce (options: AttemptOptions, request: AttemptRequest): Promise<Result<ServiceResponse, AttemptFailure>> {
  try {
    return await options.send(request, options.signal)
  } catch (error) {
    return Result.err({ reason: 'stream-broken', mayHaveRun: true, detail: String(error) })
  }
}

/** Asks the service for its response to an earlier attempt; undefined if the service has none or can't be asked. */
export async function lookUpOnce (options: AttemptOptions, request: AttemptRequest): Promise<ServiceResponse | undefined> {
  if (options.lookUp === undefined) return undefined
  try {
    const found = await options.lookUp(request, options.signal)
    return found.isOk ? found.value : undefined
  } catch {
    return undefined
  }
}
