/**
 * HTTP client of a model engine: chat completions as server-sent events, and the
 * engine's endpoints for resuming streams, caches, load and orders.
 */
import { Result } from 'true-myth'
import { createConnections, requestJson } from '../connections/index.ts'
import { createError } from '../errors/index.ts'
import { streamEngineEvents } from './engine-stream.ts'
import { createBackendOrders } from './orders.ts'
import { createIdleTimeoutMonitor } from './idle-timeout.ts'
import type { Clock } from '../clock/index.ts'
import type { CyclamenError } from '../errors/index.ts'
import type { AttemptId, BackendId } from '../ids/index.ts'
import type { Priority } from '../teams/types.ts'
import type { CacheEvent, EngineClient, GenerateEvent, GenerateRequest, LoadReport, OnNamedLimit } from './types.ts'

/** Options of a client of one engine. */
export interface EngineClientOptions {
  backend: BackendId
  /** Base address, such as `http://127.0.0.1:9000`. */
  url: string
  clock: Clock
  /** Longest time without a received byte on a stream; comments of the event stream count as bytes. */
  idleTimeoutMs?: number
  onNamedLimit?: OnNamedLimit
}

const defaultIdleTimeoutMs = 2_000
const cancelTimeoutMs = 2_000

/** Priorities as the engine's numbers; lower numbers run first. */
const priorityNumbers: Record<Priority, number> = { urgent: 0, normal: 1, batch: 2 }

/** Serializes a request as a chat completion. Text that was already generated becomes an unfinished assistant message. */
function toCompletionBody (request: GenerateRequest): string {
  const isContinuation = request.generatedText !== ''
  return JSON.stringify({
    model: request.model,
    messages: [
      { role: 'user', content: request.prompt },
      ...(isContinuation ? [{ role: 'assistant', content: request.generatedText }] : [])
    ],
    ...(isContinuation ? { continue_final_message: true, add_generation_prompt: false } : {}),
    max_tokens: request.maxTokens,
    priority: priorityNumbers[request.priority],
    stream: true,
    stream_options: { include_usage: true },
    ...(request.route === undefined ? {} : { metadata: { route: request.route } }),
    ...(request.cacheHandle === undefined ? {} : { kv_transfer_params: { cache_handle: request.cacheHandle } })
  })
}

/** Creates the client of one engine; connections are opened on demand. */
export function createEngineClient (options: EngineClientOptions): EngineClient {
  const { clock, backend } = options
  const idleTimeoutMs = options.idleTimeoutMs ?? defaultIdleTimeoutMs
  const connections = createConnections(options.url)
  const idleMonitor = createIdleTimeoutMonitor(clock, idleTimeoutMs)
  const { order, state } = createBackendOrders({ backend, connections, clock })

  function stream (
    attempt: AttemptId,
    firstEventIndex: number,
    signal: AbortSignal,
    request: { method: 'GET' | 'POST', path: string, headers: Record<string, string>, body: string | null },
    maxEvents?: number
  ): AsyncIterable<GenerateEvent> {
    const dispatcher = connections.currentPool()
    return streamEngineEvents({
      dispatcher, clock, idleMonitor, idleTimeoutMs, request, attempt, firstEventIndex, maxEvents, signal, onNamedLimit: options.onNamedLimit, onIdleTimeout: () => connections.replacePool(dispatcher)
    })
  }

  function generate (request: GenerateRequest, signal: AbortSignal): AsyncIterable<GenerateEvent> {
    const headers = {
      'content-type': 'application/json',
      accept: 'text/event-stream',
      'x-request-id': request.attempt,
      'x-deadline-at-ms': String(request.deadlineAtMs)
    }
    return stream(request.attempt, 0, signal, { method: 'POST', path: '/v1/chat/completions', headers, body: toCompletionBody(request) }, request.maxTokens)
  }

  function resume (attempt: AttemptId, fromEventIndex: number, signal: AbortSignal): AsyncIterable<GenerateEvent> {
    const path = `/v1/attempts/${encodeURIComponent(attempt)}/stream?from=${fromEventIndex}`
    return stream(attempt, fromEventIndex, signal, { method: 'GET', path, headers: { accept: 'text/event-stream' }, body: null })
  }

  /** Makes one HTTP request with a JSON response. */
  async function call<Value> (method: 'GET' | 'POST', path: string, body: unknown, deadlineAtMs: number): Promise<Result<Value, CyclamenError>> {
    try {
      const response = await requestJson(connections, clock, { method, path, body, deadlineAtMs })
      if (response.status === 200) return Result.ok(response.body as Value)
      return Result.err(createError('BackendFailed', { backend, cause: `${path} responded with status ${response.status}` }))
    } catch (error) {
      return Result.err(createError('BackendFailed', { backend, cause: (error as Error).message }))
    }
  }

  async function cancel (attempt: AttemptId): Promise<void> {
    // Ignores failures: an engine that can't be reached cancels an attempt without a reader by itself.
    await call('POST', `/v1/attempts/${encodeURIComponent(attempt)}/cancel`, {}, clock.wallMs() + cancelTimeoutMs)
  }

  async function exportCache (attempt: AttemptId, deadlineAtMs: number): Promise<Result<string, CyclamenError>> {
    const response = await call<{ handle: string }>('POST', `/v1/attempts/${encodeURIComponent(attempt)}/cache`, {}, deadlineAtMs)
    return response.map(({ handle }) => handle)
  }

  async function importCache (handle: string, deadlineAtMs: number): Promise<Result<void, CyclamenError>> {
    const response = await call('POST', '/v1/caches', { handle }, deadlineAtMs)
    return response.map(() => undefined)
  }

  async function load (deadlineAtMs: number): Promise<Result<LoadReport, CyclamenError>> {
    const response = await call<Omit<LoadReport, 'backend'>>('GET', '/v1/load', undefined, deadlineAtMs)
    return response.map(report => ({ ...report, backend }))
  }

  async function cacheEvents (afterSequence: number, deadlineAtMs: number): Promise<Result<CacheEvent[], CyclamenError>> {
    const response = await call<{ events: CacheEvent[] }>('GET', `/v1/cache-events?after=${afterSequence}`, undefined, deadlineAtMs)
    return response.map(({ events }) => events)
  }

  return { generate, resume, cancel, exportCache, importCache, load, cacheEvents, order, state, close: connections.close }
}
