/**
 * One attempt: sends a request to one backend server and tells whether the
 * server responded completely, certainly did not run the request, or may have.
 */
import { createEventBuffer } from './event-stream.ts'
import { isSelfDelimited, lastFinalStatus } from '../connections/response-framing.ts'
import { canContinue, delimitWithoutLength, forwardedResponseHeaders } from './gateway-response.ts'
import type { ServerResponse } from 'node:http'
import type { BackendConnections, Exchange, OutgoingRequest } from './backend-connections.ts'
import type { EventBuffer } from './event-stream.ts'
import type { ResponseBuffers } from './response-buffers.ts'
import type { ResponseHead, HeaderCodec, RequestKind } from './types.ts'

type Headers = Record<string, string | string[] | undefined>

/** A completely received response of a backend server. */
export interface CompleteResponse {
  status: number
  headers: Headers
  body: Buffer
}

/** How an attempt ended. */
export type AttemptEnd =
  /** The response was forwarded completely. */
  | { kind: 'passed-on', status: number }
  /** The response is complete and not yet forwarded. */
  | { kind: 'complete', response: CompleteResponse }
  /** Certainly not run: nothing was sent, or the backend server stated that it did not run the request. */
  | { kind: 'not-run', cause: string, status?: number, retryAfter?: string, isMisdirected: boolean, isUnreachable: boolean }
  /** It may have run, and this attempt forwarded nothing. `isUntrusted` marks a response that is unsigned, out of order or not certainly to this request; `isGivenUp` one that the gateway didn't read to its end. */
  | { kind: 'may-have-run', cause: string, isUntrusted: boolean, isGivenUp: boolean }
  /** The response can't go on with the stream that earlier attempts have begun; it may have run. */
  | { kind: 'not-continued', status: number, cause: string }
  /** A stream broke after this attempt had forwarded events. */
  | { kind: 'broken', cause: string, isGivenUp: boolean }
  /** The gateway aborted it. */
  | { kind: 'aborted', mayHaveRun: boolean }

/** What has been forwarded of a stream so far, over all attempts. */
export interface StreamProgress {
  eventBuffer: EventBuffer
  /** Whether the status and headers were sent to the caller. */
  areHeadersSent: boolean
}

/** Creates the progress of a stream that has not begun. */
export function createStreamProgress (): StreamProgress {
  return { eventBuffer: createEventBuffer(), areHeadersSent: false }
}

/** Options of one attempt. */
export interface AttemptOptions {
  connections: BackendConnections
  request: OutgoingRequest
  requestId: string
  kind: RequestKind
  codec: HeaderCodec
  response: ServerResponse
  progress: StreamProgress
  buffers: ResponseBuffers
  /** Called for everything received from the backend server. */
  onActivity: () => void
  /** Called with the head of each response to this request. */
  onHead: (head: ResponseHead) => void
  /** Called when the backend server begins to respond: at a stream's first event, otherwise at the headers. */
  onFirstByte: () => void
  /** Called when complete events of a stream have been received, with their number in this attempt. */
  onEvents: (count: number) => void
}

/** How far the response to an attempt has come: nothing received, its head, or an event of its stream or a part of its body. */
export type AttemptPhase = 'waiting' | 'started' | 'answering'

/** An attempt in progress. */
export interface Attempt {
  phase: () => AttemptPhase
  /** Whether the backend server may have received a part of the request. */
  isSent: () => boolean
  ended: Promise<AttemptEnd>
  /** Closes the connection, which also ends the backend server's work. */
  abort: () => void
}

const minErrorStatus = 400
/** Longest wait for the rest of a response whose head states that the request was not run. */
const notRunBodyTimeoutMs = 250
const misdirectedStatus = 421

function firstValueOf (value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value
}

/** Starts one attempt. */
export function startAttempt (options: AttemptOptions): Attempt {
  const { codec, response, progress, kind } = options
  const buffer = options.buffers.open(cause => failWithBytes(cause))
  const eventsBefore = progress.eventBuffer.eventCount()
  let status = 0
  let headers: Headers = {}
  let head: ResponseHead | undefined
  let settle: (end: AttemptEnd) => void = () => {}
  let isSettled = false
  let notRunTimer: NodeJS.Timeout | undefined
  let forwardedBytes = 0
  let hasContent = false
  const ended = new Promise<AttemptEnd>(resolve => { settle = resolve })

  function end (result: AttemptEnd): void {
    if (isSettled) return
    isSettled = true
    clearTimeout(notRunTimer)
    buffer.close()
    settle(result)
  }

  /** Gives up a response that has too many bytes, and its connection. */
  function failWithBytes (cause: string): void {
    exchange.abort()
    if (head?.isNotRun === true) endAsNotRun()
    else onBroken(cause, { isGivenUp: true })
  }

  function endAsNotRun (): void {
    const retryAfter = firstValueOf(headers['retry-after'])
    end({
      kind: 'not-run',
      cause: `the backend server did not run it (status ${status})`,
      status,
      ...(retryAfter === undefined ? {} : { retryAfter }),
      isMisdirected: status === misdirectedStatus,
      isUnreachable: false
    })
  }

  function isStream (): boolean {
    return kind === 'stream' && status < 300
  }

  /** Why a response doesn't belong to the request for certain; an earlier one may have been written again, or come late. */
  function foreignCause ({ request }: ResponseHead, isFirst: boolean): string | undefined {
    if (request === undefined) return isFirst ? undefined : 'received a response that names no request on a connection that was used before'
    return request === options.requestId ? undefined : 'received a response to another request'
  }

  /** Returns whether the connection may carry another request: only if its responses name their requests. */
  function onHead (newStatus: number, newHeaders: Headers, isFirst: boolean): boolean {
    options.onActivity()
    status = newStatus
    headers = newHeaders
    head = codec.readResponse(newStatus, newHeaders)
    const cause = status <= lastFinalStatus ? foreignCause(head, isFirst) : `received a response with the invalid status ${status}`
    if (cause !== undefined) {
      // Nothing on the connection can be trusted.
      exchange.abort()
      end({ kind: 'may-have-run', cause, isUntrusted: true, isGivenUp: true })
    } else {
      beginResponse(head)
    }
    return head.request !== undefined
  }

  function beginResponse (head: ResponseHead): void {
    options.onHead(head)
    if (!head.isNotRun && !head.isSigned && status < minErrorStatus) {
      exchange.abort()
      return end({ kind: 'may-have-run', cause: 'received a response without a signature', isUntrusted: true, isGivenUp: true })
    }
    if (progress.areHeadersSent && !head.isNotRun && !canContinue(response, status, headers)) {
      exchange.abort()
      return end({ kind: 'not-continued', status, cause: `a response with status ${status} and type ${firstValueOf(headers['content-type'])} can't continue the stream` })
    }
    const declaredBytes = Number(firstValueOf(headers['content-length']) ?? 0)
    const hasBody = options.request.method !== 'HEAD'
    if (hasBody && !isStream() && declaredBytes > options.buffers.maxResponseBytes) return failWithBytes(`its response has ${declaredBytes} bytes`)
    if (head.isNotRun) notRunTimer = setTimeout(() => failWithBytes('the rest of the response is missing'), notRunBodyTimeoutMs)
    else if (!isStream()) options.onFirstByte()
  }

  function sendHeaders (): void {
    if (progress.areHeadersSent) return
    options.onFirstByte()
    response.statusCode = status
    for (const [name, value] of Object.entries(forwardedResponseHeaders(headers, false))) response.setHeader(name, value)
    if (!isSelfDelimited(status, headers)) delimitWithoutLength(response)
    progress.areHeadersSent = true
  }

  function onData (chunk: Buffer): boolean {
    if (isSettled) return true
    options.onActivity()
    if (!isStream()) {
      hasContent = true
      buffer.add(chunk)
      return true
    }
    const events = progress.eventBuffer.push(chunk)
    const hasRoom = events.length === 0 || forwardEvents(events)
    buffer.hold(progress.eventBuffer.allocatedBytes())
    // Given up for the memory of all responses together.
    if (isSettled) return true
    const fault = progress.eventBuffer.fault()
    if (fault !== undefined) {
      exchange.abort()
      onBroken(fault, { isGivenUp: true, isUntrusted: true })
    } else if (progress.eventBuffer.isOverLimit()) {
      failWithBytes('its stream has too many bytes without an event')
    } else if (!hasRoom) {
      response.once('drain', exchange.resume)
    }
    return hasRoom
  }

  /** Returns false if the caller has to read before more is written. */
  function forwardEvents (events: Buffer): boolean {
    if (forwardedBytes === 0 && progress.areHeadersSent) options.onFirstByte()
    sendHeaders()
    forwardedBytes += events.length
    hasContent = true
    options.onEvents(progress.eventBuffer.eventCount() - eventsBefore)
    return response.write(events)
  }

  function onEnd (): void {
    if (isSettled || head === undefined) return
    if (head.isNotRun) return endAsNotRun()
    if (!isStream()) return end({ kind: 'complete', response: { status, headers, body: buffer.bytes() } })
    if (progress.eventBuffer.hasPartialEvent()) return onBroken('the stream ended in the middle of an event')
    // Without a length, a crash right after the head looks like the regular end of a stream.
    const hasEvents = progress.eventBuffer.eventCount() > eventsBefore
    if (!hasEvents && !isSelfDelimited(status, headers)) return onBroken('the stream ended without an event')
    sendHeaders()
    response.end(progress.eventBuffer.takeComments())
    end({ kind: 'passed-on', status })
  }

  function onBroken (cause: string, { isGivenUp = false, isUntrusted = false } = {}): void {
    progress.eventBuffer.discardPartialEvent()
    if (forwardedBytes > 0) end({ kind: 'broken', cause, isGivenUp })
    else end({ kind: 'may-have-run', cause, isUntrusted, isGivenUp })
  }

  const exchange: Exchange = options.connections.send(options.request, {
    onHead,
    onData,
    onEnd,
    onFailure: ({ mayHaveRun, cause, isGivenUp }) => {
      if (mayHaveRun) onBroken(cause, { isGivenUp })
      else end({ kind: 'not-run', cause, isMisdirected: false, isUnreachable: true })
    }
  })

  return {
    phase: () => head === undefined ? 'waiting' : hasContent ? 'answering' : 'started',
    isSent: exchange.isSent,
    ended,
    abort: () => {
      const mayHaveRun = exchange.isSent()
      exchange.abort()
      end({ kind: 'aborted', mayHaveRun })
    }
  }
}
