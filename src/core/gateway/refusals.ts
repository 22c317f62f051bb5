/** Responses to requests that the gateway refuses itself; each is counted and logged. */
import { cutAnswer } from '../caller-connections/index.ts'
import { sendGatewayResponse } from './gateway-response.ts'
import type { ServerResponse } from 'node:http'
import type { GatewayResponse } from './gateway-response.ts'
import type { RequestHandlerOptions } from './active-request.ts'

/** Largest share by which a retry time is extended at random, so that callers don't retry simultaneously. */
const retryJitterRatio = 0.25

/** Refuses requests and computes their retry times. */
export interface Refusals {
  refuse: (response: ServerResponse, refusal: GatewayResponse, fields: Record<string, unknown>) => void
  /** Cuts or refuses a response that would stay open after its request was handled, such as after an unexpected error. */
  endUnfinished: (response: ServerResponse, fields: Record<string, unknown>) => void
  /** Extends a retry time in ms by a random part of it. */
  withJitter: (waitMs: number) => number
}

/** Creates the refusal functions. */
export function createRefusals ({ metrics, log, random }: Pick<RequestHandlerOptions, 'metrics' | 'log' | 'random'>): Refusals {
  function refuse (response: ServerResponse, refusal: GatewayResponse, fields: Record<string, unknown>): void {
    metrics.count('gateway_answers_total', { status: String(refusal.status), reason: refusal.reason })
    log('gatewayRefused', { ...fields, status: refusal.status, reason: refusal.reason, detail: refusal.detail, retryInMs: refusal.retryInMs })
    sendGatewayResponse(response, refusal)
  }

  function endUnfinished (response: ServerResponse, fields: Record<string, unknown>): void {
    if (response.writableEnded || response.destroyed || response.req.socket.destroyed) return
    const reason = 'unfinished'
    const detail = 'The request was handled without an end of its response.'
    if (!response.headersSent) return refuse(response, { status: 502, reason, detail }, fields)
    metrics.count('gateway_answers_total', { status: 'cut', reason })
    log('gatewayCut', { ...fields, reason, detail })
    cutAnswer(response)
  }

  function withJitter (waitMs: number): number {
    return Math.ceil(waitMs * (1 + retryJitterRatio * random()))
  }

  return { refuse, withJitter, endUnfinished }
}
