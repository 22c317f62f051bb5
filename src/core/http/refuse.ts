/** Refuses requests with problem details, and logs and counts the reason. */
import type { Response } from 'express'
import type { Refusal, RefusalReason } from '../outcomes/index.ts'
import type { CallerServerOptions } from './types.ts'
import { sendProblem } from './problem.ts'

/** Refuses a request of which nothing was executed. */
export function refuseRequest (
  response: Response,
  reason: RefusalReason,
  detail: string,
  options: Pick<CallerServerOptions, 'metrics' | 'clock' | 'log'>,
  retryAtMs?: number
): void {
  options.metrics.countRefusal(reason)
  options.log('requestRefused', { reason, run: 'not-run' })
  const refusal: Refusal = { reason, run: 'not-run', detail, ...(retryAtMs === undefined ? {} : { retryAtMs }) }
  sendProblem(response, refusal, options.clock.wallMs())
  options.metrics.observe('refusal_ms', options.clock.monotonicMs() - Number(response.locals.arrivedAtMs))
}
