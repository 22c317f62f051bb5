/** Answers that the gateway gives itself: counted, told in the log, with a time to come back. */
import { sendOwnAnswer } from './answer.ts'
import type { ServerResponse } from 'node:http'
import type { OwnAnswer } from './answer.ts'
import type { GatewayOptions } from './served.ts'

/** Return times are spread by this part, so that callers don't come back together. */
const returnSpread = 0.25

/** Refuses requests. */
export interface Refusals {
  refuse: (response: ServerResponse, answer: OwnAnswer, fields: Record<string, unknown>) => void
  /** A return time, spread. */
  later: (waitMs: number) => number
}

/** Creates the refusals of a gateway. */
export function createRefusals ({ metrics, log, isDraining, random }: Pick<GatewayOptions, 'metrics' | 'log' | 'isDraining' | 'random'>): Refusals {
  function refuse (response: ServerResponse, answer: OwnAnswer, fields: Record<string, unknown>): void {
    metrics.count('gateway_answers_total', { status: String(answer.status), reason: answer.reason })
    log('gatewayRefused', { ...fields, status: answer.status, reason: answer.reason, detail: answer.detail, retryInMs: answer.retryInMs })
    sendOwnAnswer(response, answer, isDraining())
  }

  function later (waitMs: number): number {
    return Math.ceil(waitMs * (1 + returnSpread * random()))
  }

  return { refuse, later }
}
