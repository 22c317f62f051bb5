/**
 * Makes one call, with the same key and body each time it has to be repeated,
 * so that the nodes run it at most once.
 */
import { err, ok } from 'true-myth/result'
import type { Result } from 'true-myth'
import { request } from 'undici'
import type { Dispatcher } from 'undici'
import { createError } from '../errors/index.ts'
import type { RunState } from '../outcomes/index.ts'
import { attemptsFor, invitesRepeat, neverLeft } from './attempts.ts'
import { answerRefused, parseProblem } from './problem-details.ts'
import type { CallAnswer, CallOrder, CallerClientOptions, CallerError, ProblemDetails } from './types.ts'

/** What one attempt came to. */
type CallAttempt =
  | { kind: 'answered', answer: CallAnswer }
  | { kind: 'refused', problem: ProblemDetails }
  | { kind: 'broken', cause: string, run: RunState }

const problemType = 'application/problem+json'

/** Reasons for which the same call is tried again although the node doesn't know whether it ran. */
const waitingReasons: ReadonlySet<string> = new Set(['running-elsewhere', 'owner-unreachable'])

async function attempt (
  url: string,
  order: CallOrder,
  client: CallerClientOptions,
  dispatcher: Dispatcher,
  signal: AbortSignal | undefined
): Promise<CallAttempt> {
  const path = `/v1/teams/${encodeURIComponent(order.team)}/calls/${encodeURIComponent(order.route)}`
  try {
    const response = await request(url + path, {
      method: 'POST',
      dispatcher,
      reset: true,
      headers: {
        authorization: `Bearer ${client.token}`,
        'content-type': order.contentType,
        'idempotency-key': order.key,
        'deadline-at-ms': String(order.deadlineAtMs)
      },
      body: order.body,
      ...(signal === undefined ? {} : { signal })
    })
    const body = Buffer.from(await response.body.arrayBuffer())
    const contentType = String(response.headers['content-type'] ?? 'application/octet-stream')
    const status = response.statusCode
    if (contentType.startsWith(problemType)) return { kind: 'refused', problem: parseProblem(status, body.toString('utf8')) }
    return { kind: 'answered', answer: { status, contentType, body } }
  } catch (error) {
    return { kind: 'broken', cause: (error as Error).message, run: neverLeft(error) ? 'not-run' : 'unknown' }
  }
}

/** Makes a call under one key, repeated until it has an answer or the deadline is near. */
export async function makeCall (
  client: CallerClientOptions,
  dispatcher: Dispatcher,
  start: number,
  order: CallOrder,
  signal?: AbortSignal
): Promise<Result<CallAnswer, CallerError>> {
  const attempts = attemptsFor(client, start, order.deadlineAtMs, signal)
  // What is known over all attempts: one that may have run makes "not run" untrue.
  let run: RunState = 'not-run'
  for (;;) {
    const outcome = await attempt(attempts.url(), order, client, dispatcher, signal)
    if (outcome.kind === 'answered') return ok(outcome.answer)
    if (outcome.kind === 'broken') {
      if (outcome.run === 'unknown') run = 'unknown'
      if (await attempts.next(outcome.cause)) continue
      return err(createError('NodesUnreachable', { urls: client.urls, cause: outcome.cause, run }))
    }
    const { problem } = outcome
    const repeatable = invitesRepeat(problem) || waitingReasons.has(problem.reason)
    if (repeatable && await attempts.next(problem.reason, problem.retryAtMs)) continue
    return err(answerRefused({ ...problem, run: problem.run === 'not-run' ? run : problem.run }))
  }
}
