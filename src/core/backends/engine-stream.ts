/** One stream of an engine's answer, from its request to its end event. */
import { parseNamedLimit, requestLimitHeader } from '../backend-limits/index.ts'
import { createByteCollector, describeError, isConnectError } from '../connections/index.ts'
import { lastFinalStatus } from '../connections/response-framing.ts'
import { attemptError, createEventReader } from './engine-events.ts'
import { createSseParser } from './sse-parser.ts'
import { toRefusalError } from './refusal.ts'
import { AttemptError } from './types.ts'
import type { Dispatcher } from 'undici'
import type { Clock } from '../clock/index.ts'
import type { AttemptId } from '../ids/index.ts'
import type { IdleTimeoutMonitor, WatchedStream } from './idle-timeout.ts'
import type { GenerateEvent, OnNamedLimit } from './types.ts'

/** Options of one stream. */
export interface EngineStreamOptions {
  dispatcher: Dispatcher
  clock: Clock
  idleMonitor: IdleTimeoutMonitor
  /** Longest time without a received byte. */
  idleTimeoutMs: number
  request: { method: 'GET' | 'POST', path: string, headers: Record<string, string>, body: string | null }
  attempt: AttemptId
  firstEventIndex: number
  /** Largest number of token events; unlimited if undefined. */
  maxEvents?: number | undefined
  signal: AbortSignal
  onNamedLimit?: OnNamedLimit | undefined
  /** Called when no byte arrived within the idle timeout. */
  onIdleTimeout: () => void
}

/** Bytes without an event, comments included, from which a stream counts as broken. */
const maxBytesWithoutEvent = 256 * 1024
/** Bytes that are read of a refusal. */
const maxRefusalBytes = 64 * 1024
/** Number of unread events above which the connection is paused. */
const maxUnreadEvents = 256

interface StreamState {
  events: GenerateEvent[]
  failure: unknown
  controller: Dispatcher.DispatchController | undefined
  sent: boolean
  paused: boolean
  wake: () => void
}

/** Streams the events of an answer. The request is sent on the first read; leaving the iteration early closes the connection. */
export async function * streamEngineEvents (options: EngineStreamOptions): AsyncGenerator<GenerateEvent> {
  const { signal } = options
  signal.throwIfAborted()
  const state: StreamState = { events: [], failure: undefined, controller: undefined, sent: false, paused: false, wake: () => {} }
  const watchedStream: WatchedStream = {
    lastByteAtMs: options.clock.monotonicMs(),
    timeoutMs: options.idleTimeoutMs,
    onIdleTimeout: () => {
      if (state.paused) return
      options.onIdleTimeout()
      // Records the failure before closing, because closing reports another error and only the first is kept.
      fail(state, attemptError('stream-silent', `no data received for ${options.idleTimeoutMs} ms`))
      abortConnection(state)
    }
  }
  const onAbort = (): void => fail(state, signal.reason)
  signal.addEventListener('abort', onAbort, { once: true })
  options.idleMonitor.add(watchedStream)
  dispatch(options, state, watchedStream)
  let ended = false
  try {
    for (;;) {
      const batch = state.events
      state.events = []
      for (const event of batch) {
        ended = event.kind === 'end'
        yield event
        if (ended) return
      }
      if (state.events.length > 0) continue
      if (state.failure !== undefined) throw state.failure
      if (state.paused) resumeConnection(state, watchedStream, options.clock)
      await new Promise<void>(resolve => { state.wake = resolve })
    }
  } finally {
    signal.removeEventListener('abort', onAbort)
    // After the end event only the end of the HTTP message follows; reading it lets the connection be reused.
    if (!ended) {
      options.idleMonitor.remove(watchedStream)
      state.failure ??= new Error('the stream is no longer read')
      abortConnection(state)
    }
  }
}

function abortConnection (state: StreamState): void {
  state.controller?.abort(new Error('the stream is no longer read'))
}

function fail (state: StreamState, failure: unknown): void {
  state.failure ??= failure
  state.wake()
}

function resumeConnection (state: StreamState, watchedStream: WatchedStream, clock: Clock): void {
  state.paused = false
  watchedStream.lastByteAtMs = clock.monotonicMs()
  state.controller?.resume()
}

/** Converts a connection error into the error of the attempt. */
function toAttemptError (error: unknown, sent: boolean): AttemptError {
  if (error instanceof AttemptError) return error
  if (!sent || isConnectError(error)) {
    return new AttemptError({ reason: 'connect-failed', detail: describeError(error), mayHaveRun: false })
  }
  return attemptError('stream-broken', describeError(error))
}

function dispatch (options: EngineStreamOptions, state: StreamState, watchedStream: WatchedStream): void {
  const { clock, attempt } = options
  const readEvent = createEventReader(attempt, options.firstEventIndex, event => { state.events.push(event) }, options.maxEvents)
  const parse = createSseParser(readEvent)
  let status = 0
  let retryAfter: string | undefined
  const refusal = createByteCollector(maxRefusalBytes)
  let bytesWithoutEvent = 0
  let sentAtMs = clock.monotonicMs()

  function onChunk (chunk: Buffer): void {
    watchedStream.lastByteAtMs = clock.monotonicMs()
    if (status !== 200) {
      if (!refusal.add(chunk)) endAsRefused()
      return
    }
    const eventsBefore = state.events.length
    parse(chunk)
    bytesWithoutEvent = state.events.length > eventsBefore ? 0 : bytesWithoutEvent + chunk.length
    if (bytesWithoutEvent > maxBytesWithoutEvent) throw attemptError('answer-incomplete', `received ${bytesWithoutEvent} bytes without an event`)
    if (state.events.length > maxUnreadEvents && !state.paused) {
      state.paused = true
      state.controller?.pause()
    }
    state.wake()
  }

  /** The refusal is known from its status; the rest of a body without end is not read. */
  function endAsRefused (): void {
    fail(state, toRefusalError(status, retryAfter, refusal.bytes().toString(), clock.wallMs()))
    abortConnection(state)
  }

  function onEnd (): void {
    options.idleMonitor.remove(watchedStream)
    if (status !== 200) {
      fail(state, toRefusalError(status, retryAfter, refusal.bytes().toString(), clock.wallMs()))
    } else if (state.events.at(-1)?.kind !== 'end') {
      fail(state, attemptError('answer-incomplete', 'the stream ended without its end marker'))
    }
    state.wake()
  }

  options.dispatcher.dispatch(options.request, {
    onRequestStart: controller => {
      state.controller = controller
      // If the reader left before the connection was established, nothing is sent.
      if (state.failure !== undefined) return abortConnection(state)
      state.sent = true
      sentAtMs = clock.monotonicMs()
    },
    onResponseStart: (_controller, statusCode, headers) => {
      watchedStream.lastByteAtMs = clock.monotonicMs()
      if (statusCode > lastFinalStatus) throw attemptError('answer-incomplete', `received a response with the invalid status ${statusCode}`)
      status = statusCode
      retryAfter = headers['retry-after']?.toString()
      const responseAttempt = headers['x-request-id']
      if (responseAttempt !== undefined && responseAttempt !== attempt) throw attemptError('answer-incomplete', 'received a response for another attempt')
      options.onNamedLimit?.(parseNamedLimit(headers[requestLimitHeader]), sentAtMs)
    },
    onResponseData: (_controller, chunk) => onChunk(chunk),
    onResponseEnd: onEnd,
    onResponseError: (_controller, error) => {
      options.idleMonitor.remove(watchedStream)
      fail(state, toAttemptError(error, state.sent))
    }
  })
}
