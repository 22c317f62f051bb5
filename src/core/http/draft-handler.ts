/**
 * Handles draft requests: admits them and responds with server-sent events or
 * with one JSON body. After a broken stream, the caller repeats the request with
 * its key and `Last-Event-ID` at any node.
 */
import type { Request, Response } from 'express'
import type { Result } from 'true-myth'
import { createId } from '../ids/index.ts'
import type { IdempotencyKey } from '../ids/index.ts'
import { createRequestId, parseEventId, streamDraft } from '../requests/index.ts'
import type { DraftRequest, LiveDraft } from '../requests/index.ts'
import type { RequestContext } from './request-context.ts'
import { requestContextOf } from './request-context.ts'
import type { DraftBody } from './draft-body.ts'
import { bodyOf, createDisconnectSignal, idempotencyKeyOf } from './request-parts.ts'
import { sendProblem } from './problem.ts'
import { refuseRequest } from './refuse.ts'
import { isAnswered, markAccepted } from './stop-answers.ts'
import type { CallerServerOptions } from './types.ts'

/** Half of the target for the time to the first token; the other half is for the backend server. */
const maxQueueMs = 475

/** The API format of draft requests: how the body is parsed and how the stream ends. */
export interface DraftFormat {
  readBody: (body: Buffer) => Result<DraftBody, string>
  /** Written after the end event; may be empty. */
  endMarker: string
}

/** Creates the Express handler of draft requests in one format; `createContextMiddleware` must run before it. */
export function createDraftHandler (
  options: CallerServerOptions,
  format: DraftFormat
): (request: Request, response: Response) => Promise<void> {
  return async (request, response) => {
    const context = requestContextOf(response)
    const body = format.readBody(bodyOf(request))
    if (body.isErr) return refuseRequest(response, 'bad-request', `The body is invalid: ${body.error}.`, options)
    const key = idempotencyKeyOf(request)
    if (key === 'invalid') return refuseRequest(response, 'bad-request', 'An Idempotency-Key must have 1 to 255 visible ASCII characters.', options)
    const requested = toDraftRequest(context, body.value, key, options)
    const disconnectSignal = createDisconnectSignal(response)
    const draft = await findOrSubmitDraft(request, response, requested, context, disconnectSignal, options)
    if (draft === undefined || isAnswered(response)) return
    markAccepted(response)
    await sendResponse(request, response, draft, body.value, format, disconnectSignal, options)
    if (draft.readers.size === 0) options.drafts.onReaderLeft(draft, key !== undefined)
  }
}

function toDraftRequest (
  context: RequestContext,
  body: DraftBody,
  key: IdempotencyKey | undefined,
  options: CallerServerOptions
): DraftRequest {
  const nowMs = options.clock.wallMs()
  return {
    request: createRequestId(options.node, nowMs),
    team: context.team.team,
    route: context.route.name,
    key: key ?? createId<IdempotencyKey>('key', nowMs),
    prompt: body.prompt,
    maxTokens: body.maxTokens,
    priority: context.route.priority,
    deadlineAtMs: context.deadlineAtMs
  }
}

/** Finds the draft that a reconnecting caller started, or admits a new one. Returns undefined after it refused the request. */
async function findOrSubmitDraft (
  request: Request,
  response: Response,
  requested: DraftRequest,
  context: RequestContext,
  disconnectSignal: AbortSignal,
  options: CallerServerOptions
): Promise<LiveDraft | undefined> {
  const lastEventId = request.header('last-event-id')
  if (lastEventId !== undefined) {
    const found = await options.drafts.find(requested.team, requested, parseEventId(lastEventId))
    if (found !== undefined && isSameDraft(found.request, requested)) return found
  }
  const existing = options.drafts.findLocal(requested.team, requested.key)
  if (existing !== undefined) {
    if (isSameDraft(existing.request, requested)) return existing
    refuseRequest(response, 'key-reused', 'This Idempotency-Key was used for another draft; use a new key.', options)
    return undefined
  }
  const permit = await options.admission.admit({
    team: requested.team,
    route: requested.route,
    priority: requested.priority,
    deadlineAtMs: requested.deadlineAtMs,
    ...startDeadlineOf(requested, options.clock.wallMs()),
    weight: context.team.weight,
    maxConcurrent: context.team.maxConcurrent,
    maxQueued: context.team.maxQueued,
    backendCapacity: options.capacityOf(requested.team),
    signal: disconnectSignal
  })
  if (isAnswered(response)) {
    if (permit.isOk) permit.value.release('abandoned')
    return undefined
  }
  if (permit.isErr) {
    sendProblem(response, permit.error, options.clock.wallMs())
    return undefined
  }
  const draft = options.drafts.submit(requested)
  releasePermitAtEnd(draft, permit.value.release)
  return draft
}

/** Interactive drafts must start early enough for the first token or are refused; batch drafts may wait until their deadline. */
function startDeadlineOf ({ priority }: DraftRequest, arrivedAtMs: number): { startDeadlineAtMs?: number } {
  return priority === 'batch' ? {} : { startDeadlineAtMs: arrivedAtMs + maxQueueMs }
}

function isSameDraft (existing: DraftRequest, requested: DraftRequest): boolean {
  return existing.prompt === requested.prompt && existing.maxTokens === requested.maxTokens && existing.route === requested.route
}

/** Holds the permit until the draft's task ends, even if all readers have disconnected. */
function releasePermitAtEnd (draft: LiveDraft, release: (outcome: 'done' | 'failed' | 'abandoned') => void): void {
  draft.onEnded = ({ end }) => {
    if (end === undefined) release('abandoned')
    else release(end.kind === 'finished' ? 'done' : 'failed')
  }
}

async function sendResponse (
  request: Request,
  response: Response,
  draft: LiveDraft,
  body: DraftBody,
  format: DraftFormat,
  disconnectSignal: AbortSignal,
  options: CallerServerOptions
): Promise<void> {
  const { drafts, clock } = options
  const lastEventId = request.header('last-event-id')
  const reader = drafts.createReader(draft, lastEventId)
  draft.readers.add(reader)
  try {
    await waitForStatus(draft, body.stream, disconnectSignal)
    if (disconnectSignal.aborted || isAnswered(response)) return
    response.set({ 'Idempotency-Key': draft.request.key, 'Cyclamenshunt-Node': options.node })
    const refusal = draft.end?.kind === 'failed' ? draft.end.refusal : undefined
    if (refusal !== undefined && (draft.raws.length === 0 || !body.stream)) return sendProblem(response, refusal, clock.wallMs())
    if (!body.stream) return sendJsonResponse(response, draft, options)
    response.set({ 'Content-Type': 'text/event-stream', 'Cache-Control': 'no-store', 'X-Accel-Buffering': 'no' })
    response.flushHeaders()
    const result = await streamDraft(draft, reader, response, disconnectSignal)
    response.end(result === 'ended' && draft.end?.kind === 'finished' ? format.endMarker : '')
  } finally {
    draft.readers.delete(reader)
  }
}

/** Waits until the response status is known. */
async function waitForStatus (draft: LiveDraft, stream: boolean, disconnectSignal: AbortSignal): Promise<void> {
  disconnectSignal.addEventListener('abort', draft.notifyChange, { once: true })
  while (!disconnectSignal.aborted && draft.end === undefined && draft.handedOverTo === undefined) {
    if (stream && draft.raws.length > 0) break
    await draft.nextChange()
  }
  disconnectSignal.removeEventListener('abort', draft.notifyChange)
}

function sendJsonResponse (response: Response, draft: LiveDraft, options: CallerServerOptions): void {
  if (draft.end?.kind !== 'finished') {
    const retryAtMs = options.clock.wallMs()
    const detail = 'The draft was handed over to another node; repeat the request with the same key and "Last-Event-ID: any".'
    return sendProblem(response, { reason: 'draining', run: 'unknown', detail, retryAtMs }, retryAtMs)
  }
  const { finishReason, promptTokens, cachedTokens } = draft.end
  response.json({
    text: draft.texts.join(''),
    finishReason,
    promptTokens,
    cachedTokens,
    events: draft.raws.length,
    version: draft.version
  })
}
