/**
 * Streams one draft and reconnects as often as needed. Each event is yielded
 * once and in order, and a stream without its end event is never reported as
 * complete.
 */
import { request } from 'undici'
import type { Dispatcher } from 'undici'
import { createError } from '../errors/index.ts'
import { createClientAttempts, isRetryable, wasNeverSent } from './attempts.ts'
import { eventIndex, parseSummary, parseTokenText } from './draft-events.ts'
import { createAnswerRefusedError, parseProblemDetails } from './problem-details.ts'
import { readServerSentEvents } from './server-sent-events.ts'
import type { ServerSentEvent } from './server-sent-events.ts'
import type { CallerClientOptions, DraftEvent, ClientDraftRequest, ProblemDetails } from './types.ts'

/** Sent as the last event id when an earlier request may have started the draft but no event was received. */
const anyPosition = 'any'

/** Progress of a stream over all connections. */
interface StreamProgress {
  lastEventId: string | undefined
  /** Index of the next token event, which is the number of token events yielded so far. */
  nextIndex: number
}

/** How a connection ended: with the last event of the stream, or with a cause to reconnect. */
type ConnectionEnd =
  | { kind: 'ended' }
  | { kind: 'broken', cause: string, notBeforeMs?: number, mayHaveStarted?: boolean }

/** Returns the message of an error. */
function errorMessage (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}

async function openStream (
  url: string,
  draft: ClientDraftRequest,
  progress: StreamProgress,
  client: CallerClientOptions,
  dispatcher: Dispatcher,
  signal: AbortSignal | undefined
): Promise<Dispatcher.ResponseData> {
  const path = `/v1/teams/${encodeURIComponent(draft.team)}/drafts/${encodeURIComponent(draft.route)}`
  return await request(url + path, {
    method: 'POST',
    dispatcher,
    // Each attempt uses a new connection, because a pooled one may have stopped responding.
    reset: true,
    headers: {
      authorization: `Bearer ${client.token}`,
      'content-type': 'application/json',
      accept: 'text/event-stream',
      'idempotency-key': draft.key,
      'deadline-at-ms': String(draft.deadlineAtMs),
      ...(progress.lastEventId === undefined ? {} : { 'last-event-id': progress.lastEventId })
    },
    body: JSON.stringify({ prompt: draft.prompt, maxTokens: draft.maxTokens, stream: true }),
    ...(signal === undefined ? {} : { signal })
  })
}

/** Yields one event of the stream; returns how the connection ends if the event ends it. */
function * handleEvent (event: ServerSentEvent, progress: StreamProgress): Generator<DraftEvent, ConnectionEnd | undefined> {
  switch (event.event) {
    case 'restart':
      progress.lastEventId = anyPosition
      progress.nextIndex = 0
      yield { kind: 'restart' }
      return undefined
    case 'handover':
      return { kind: 'broken', cause: 'the node handed the draft over to another node' }
    case 'error':
      yield { kind: 'failed', error: createAnswerRefusedError(parseProblemDetails(200, event.data)) }
      return { kind: 'ended' }
    case 'end': {
      const summary = parseSummary(event.data)
      if (summary.events !== progress.nextIndex) {
        return { kind: 'broken', cause: `the stream has ${summary.events} events, but ${progress.nextIndex} were received` }
      }
      yield { kind: 'end', summary }
      return { kind: 'ended' }
    }
    default:
      return yield * handleToken(event, progress)
  }
}

/** Yields a token event once: drops a duplicate, and reconnects after a gap. */
function * handleToken (event: ServerSentEvent, progress: StreamProgress): Generator<DraftEvent, ConnectionEnd | undefined> {
  const index = event.id === undefined ? undefined : eventIndex(event.id)
  if (event.id === undefined || index === undefined) return { kind: 'broken', cause: 'an event has no valid id' }
  if (index < progress.nextIndex) return undefined
  if (index > progress.nextIndex) return { kind: 'broken', cause: `event ${progress.nextIndex} is missing` }
  const text = parseTokenText(event.data)
  progress.nextIndex = index + 1
  progress.lastEventId = event.id
  yield { kind: 'token', id: event.id, text }
  return undefined
}

/** Reconnects after a refusal. The draft wasn't started, so there is nothing to resume. */
function retryAfterRefusal ({ reason, retryAtMs }: ProblemDetails): ConnectionEnd {
  return { kind: 'broken', cause: reason, notBeforeMs: retryAtMs ?? 0, mayHaveStarted: false }
}

/** Reads one response until its end or until it breaks. */
async function * readConnection (response: Dispatcher.ResponseData, progress: StreamProgress): AsyncGenerator<DraftEvent, ConnectionEnd> {
  if (response.statusCode !== 200) {
    const problem = parseProblemDetails(response.statusCode, await response.body.text())
    if (isRetryable(problem)) return retryAfterRefusal(problem)
    if (problem.reason === 'unexpected-answer' && problem.status >= 500) return { kind: 'broken', cause: problem.title }
    yield { kind: 'failed', error: createAnswerRefusedError(problem) }
    return { kind: 'ended' }
  }
  for await (const event of readServerSentEvents(response.body)) {
    const end = yield * handleEvent(event, progress)
    if (end !== undefined) return end
  }
  return { kind: 'broken', cause: 'the stream ended without its end event' }
}

/** Returns the progress to start from: the first event, or the one after `afterEventId`. */
function initialProgress (draft: ClientDraftRequest): StreamProgress {
  const { afterEventId } = draft
  const index = afterEventId === undefined ? undefined : eventIndex(afterEventId)
  return { lastEventId: afterEventId, nextIndex: index === undefined ? 0 : index + 1 }
}

/** Streams the events of a draft and reconnects as often as needed. The last event is `end` or `failed`. */
export async function * streamDraft (
  client: CallerClientOptions,
  dispatcher: Dispatcher,
  firstUrlIndex: number,
  draft: ClientDraftRequest,
  signal?: AbortSignal
): AsyncGenerator<DraftEvent> {
  const attempts = createClientAttempts(client, firstUrlIndex, draft.deadlineAtMs, signal)
  const progress = initialProgress(draft)
  for (;;) {
    let end: ConnectionEnd
    const indexBefore = progress.nextIndex
    try {
      const response = await openStream(attempts.url(), draft, progress, client, dispatcher, signal)
      end = yield * readConnection(response, progress)
    } catch (error) {
      end = { kind: 'broken', cause: errorMessage(error), mayHaveStarted: !wasNeverSent(error) }
    }
    if (end.kind === 'ended') return
    if (progress.nextIndex > indexBefore) attempts.recordProgress()
    if (await attempts.waitForNext(end.cause, end.notBeforeMs)) {
      if (end.mayHaveStarted !== false) progress.lastEventId ??= anyPosition
      continue
    }
    yield { kind: 'failed', error: createError('NodesUnreachable', { urls: client.urls, cause: end.cause, run: 'unknown' }) }
    return
  }
}
