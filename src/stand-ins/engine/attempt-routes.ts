/**
 * The routes of a stand-in engine that start, resume and cancel attempts.
 */
import { requestLimitHeader } from '../../core/backend-limits/index.ts'
import { charsPerGeneratedToken } from './generated-text.ts'
import { isEffectActive } from './faults.ts'
import type { Express, Request, Response } from 'express'
import type { OrderState } from '../orders.ts'
import type { EngineAttemptRequest, Attempts } from './attempts.ts'
import type { EngineFaults, VersionBehaviour } from './faults.ts'
import type { Scheduler } from './scheduler.ts'

export interface AttemptRoutesOptions {
  app: Express
  attempts: Attempts
  orders: OrderState
  scheduler: Scheduler
  faults: EngineFaults
  behaviours: Map<string, VersionBehaviour>
  /** Wall-clock time. */
  nowMs: () => number
}

/** The fields of a chat completion request that the stand-in reads. */
interface CompletionBody {
  model?: string
  messages?: Array<{ role: string, content: string }>
  max_tokens?: number
  priority?: number
  stream?: boolean
  metadata?: { route?: string }
}

const defaultMaxTokens = 256
const defaultSlowFactor = 4
/** Number, from 1, of the token at which a version with the effect `break` fails. The token isn't sent. */
const breakingTokenNumber = 5

/** Adds the routes; returns the request counts by version and the number of refusals, for the engine's stats. */
export function addAttemptRoutes (options: AttemptRoutesOptions): { requests: Map<string, number>, refused: () => number } {
  const { app, attempts, orders, scheduler, faults, behaviours } = options
  const requests = new Map<string, number>()
  let refusedCount = 0

  function refuse (response: Response, status: number, code: string, message: string): void {
    refusedCount += 1
    if (status === 503 || status === 429) response.setHeader('retry-after', '1')
    response.status(status).json({ error: { message, code } })
  }

  /** Refuses the request if the engine takes none at all; `false` when the request can go on. */
  function refuseIfUnavailable (response: Response): boolean {
    const isLeaving = faults.goneAtMs !== undefined || orders.state().role === 'drain'
    if (isLeaving) refuse(response, 503, 'leaving', 'the instance is leaving')
    else if (faults.refuse === 'overloaded') refuse(response, 429, 'overloaded', 'too many requests')
    else if (faults.refuse === 'failing') refuse(response, 500, 'failing', 'the engine failed')
    return isLeaving || faults.refuse !== undefined
  }

  function activeBehaviour (version: string, route: string | undefined): VersionBehaviour | undefined {
    const behaviour = behaviours.get(version)
    if (behaviour === undefined) return undefined
    const context = { requests: requests.get(version) ?? 0, running: scheduler.running(), route }
    return isEffectActive(behaviour, context) ? behaviour : undefined
  }

  function complete (request: Request, response: Response): void {
    const id = request.get('x-request-id') ?? ''
    const body = request.body as CompletionBody
    const version = body.model ?? ''
    const prompt = (body.messages ?? []).filter(message => message.role !== 'assistant').map(message => message.content).join('\n')
    const generatedText = body.messages?.find(message => message.role === 'assistant')?.content ?? ''
    if (refuseIfUnavailable(response)) return
    if (id === '' || body.stream !== true || prompt === '') return refuse(response, 400, 'bad-request', 'the request needs an id, a prompt and "stream": true')
    if (attempts.has(id)) return refuse(response, 409, 'duplicate', 'an attempt with this id exists')
    if (!orders.servesVersion(version)) return refuse(response, 404, 'model-unknown', `the version ${version} is not served`)
    if (generatedText.length % charsPerGeneratedToken !== 0) return refuse(response, 400, 'bad-request', 'the generated text ends in the middle of a token')
    requests.set(version, (requests.get(version) ?? 0) + 1)
    const effect = activeBehaviour(version, body.metadata?.route)
    if (effect?.effect === 'fail') return refuse(response, 500, 'failing', 'the version failed')
    const attempt: EngineAttemptRequest = {
      id,
      version,
      prompt,
      generatedText,
      maxTokens: body.max_tokens ?? defaultMaxTokens,
      priority: body.priority ?? 1,
      slowFactor: effect?.effect === 'slow' ? effect.slowFactor ?? defaultSlowFactor : 1,
      breakAtToken: effect?.effect === 'break' ? breakingTokenNumber : undefined
    }
    attempts.start(attempt, response)
  }

  app.use((_request, response, next) => {
    if (faults.requestLimitPerSecond !== undefined) response.setHeader(requestLimitHeader, faults.requestLimitPerSecond)
    next()
  })
  app.post('/v1/chat/completions', complete)
  app.get('/v1/attempts/:id/stream', (request: Request, response: Response) => {
    const resumed = attempts.resume(String(request.params['id']), Number(request.query['from'] ?? 0), response)
    if (!resumed) refuse(response, 404, 'attempt-unknown', 'no such attempt')
  })
  app.post('/v1/attempts/:id/cancel', (request: Request, response: Response) => {
    attempts.cancel(String(request.params['id']))
    response.json({})
  })

  return { requests, refused: () => refusedCount }
}
