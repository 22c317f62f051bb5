/** Handles calls to plain services, such as registrations, grants and look-ups. */
import type { Request, Response } from 'express'
import { requestContextOf } from './request-context.ts'
import { sendProblem } from './problem.ts'
import { refuseRequest } from './refuse.ts'
import { isAnswered, markAccepted } from './stop-answers.ts'
import { bodyOf, createDisconnectSignal, idempotencyKeyOf } from './request-parts.ts'
import type { CallerServerOptions } from './types.ts'

/** Creates the Express handler of calls; `createContextMiddleware` must run before it. */
export function createCallHandler (options: CallerServerOptions): (request: Request, response: Response) => Promise<void> {
  return async (request, response) => {
    const { team, route, deadlineAtMs } = requestContextOf(response)
    const key = idempotencyKeyOf(request)
    if (key === 'invalid') return refuseRequest(response, 'bad-request', 'An Idempotency-Key must have 1 to 255 visible ASCII characters.', options)
    if (key === undefined && !route.repeatable) {
      return refuseRequest(response, 'key-missing', 'Send an Idempotency-Key; calls of this route run at most once per key.', options)
    }
    const body = bodyOf(request)
    if (body.length === 0 && !route.repeatable) {
      return refuseRequest(response, 'body-missing', 'Send the content of the call as the request body.', options)
    }
    const disconnectSignal = createDisconnectSignal(response)
    const permit = await options.admission.admit({
      team: team.team,
      route: route.name,
      priority: route.priority,
      deadlineAtMs,
      weight: team.weight,
      maxConcurrent: team.maxConcurrent,
      maxQueued: team.maxQueued,
      backendCapacity: options.capacityOf(team.team),
      signal: disconnectSignal
    })
    if (isAnswered(response)) {
      if (permit.isOk) permit.value.release('abandoned')
      return
    }
    if (permit.isErr) return sendProblem(response, permit.error, options.clock.wallMs())
    markAccepted(response)
    const contentType = request.header('content-type') ?? 'application/octet-stream'
    const result = await options.runCall({ team, route, key, contentType, body, deadlineAtMs }, disconnectSignal)
    permit.value.release(result.isOk ? 'done' : 'failed')
    if (isAnswered(response)) return
    if (result.isErr) return sendProblem(response, result.error, options.clock.wallMs())
    response.set({ 'Content-Type': result.value.contentType, 'Cyclamenshunt-Run': 'done', 'Cyclamenshunt-Node': options.node })
    response.status(result.value.status).send(result.value.body)
  }
}
