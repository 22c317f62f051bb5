/**
 * Answers to requests that are still without one when a node stops: each says
 * whether the request may have run, and how to ask for its outcome.
 */
import { sendProblem } from './problem.ts'
import type { NextFunction, Request, Response } from 'express'
import type { Refusal } from '../outcomes/index.ts'
import type { CallerServerOptions } from './types.ts'

/** The requests of a server that have no answer yet. */
export interface StopAnswers {
  /** Middleware that adds each request until its response is closed. */
  add: (request: Request, response: Response, next: NextFunction) => void
  /** Answers all requests whose response has not begun. */
  answerAll: () => void
}

/** Records that a request was accepted, so that it may run from now on. */
export function markAccepted (response: Response): void {
  response.locals.isAccepted = true
}

/** Whether a request has its answer, or none can be sent any more. */
export function isAnswered (response: Response): boolean {
  return response.headersSent || response.destroyed
}

/** Creates the answers of a server. */
export function createStopAnswers ({ clock, log, metrics }: Pick<CallerServerOptions, 'clock' | 'log' | 'metrics'>): StopAnswers {
  const open = new Set<Response>()

  function refusalOf (response: Response): Refusal {
    const retryAtMs = clock.wallMs()
    if (response.locals.isAccepted !== true) return { reason: 'draining', run: 'not-run', detail: 'This node is stopping; send the request again.', retryAtMs }
    const detail = 'The node stopped before the request had ended, and it may have run. Ask for its outcome by sending it again with the same Idempotency-Key; a draft also needs "Last-Event-ID: any".'
    return { reason: 'draining', run: 'unknown', detail, retryAtMs }
  }

  function answer (response: Response): void {
    const refusal = refusalOf(response)
    metrics.countRefusal(refusal.reason)
    log('requestRefused', { reason: refusal.reason, run: refusal.run, path: response.req.path })
    sendProblem(response, refusal, clock.wallMs())
  }

  return {
    add: (_request, response, next) => {
      open.add(response)
      response.once('close', () => { open.delete(response) })
      next()
    },
    answerAll: () => {
      for (const response of open) if (!isAnswered(response)) answer(response)
    }
  }
}
