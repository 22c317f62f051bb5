/**
 * One sending of a request to one backend server, and what it proves: that the
 * request did not run, that it may have, or a whole answer.
 */
import { createEventCutter } from './event-stream.ts'
import { endWithConnection, isFramed, passedOnHeaders } from './answer.ts'
import type { ServerResponse } from 'node:http'
import type { BackendConnections, Sending, SendingRequest } from './backend-connections.ts'
import type { EventCutter } from './event-stream.ts'
import type { AnswerHead, HeaderCodec, RequestKind } from './types.ts'

type Headers = Record<string, string | string[] | undefined>

/** An answer of a backend server that was read whole. */
export interface WholeAnswer {
  status: number
  headers: Headers
  body: Buffer
}

/** How a sending ended. */
export type AttemptEnd =
  /** The answer was passed on whole. */
  | { kind: 'passed-on', status: number }
  /** The answer is whole and wasn't passed on yet. */
  | { kind: 'whole', answer: WholeAnswer }
  /** Provably not run: nothing was sent, or the backend server says so. */
  | { kind: 'not-run', cause: string, status?: number, retryAfter?: string, isMistaken: boolean, isUnreached: boolean }
  /** It may have run, and no byte was passed on in this sending. */
  | { kind: 'may-have-run', cause: string, isForeign: boolean }
  /** A stream broke after events were passed on. */
  | { kind: 'broken', cause: string }
  /** It was given up here. */
  | { kind: 'aborted', mayHaveRun: boolean }

/** What a stream has passed on so far, over all its sendings. */
export interface StreamProgress {
  cutter: EventCutter
  /** Whether the head went out. */
  isBegun: boolean
}

/** Creates the progress of a stream. */
export function createStreamProgress (): StreamProgress {
  return { cutter: createEventCutter(), isBegun: false }
}

/** What one sending needs. */
export interface AttemptOptions {
  connections: BackendConnections
  request: SendingRequest
  requestId: string
  kind: RequestKind
  codec: HeaderCodec
  response: ServerResponse
  progress: StreamProgress
  closesConnection: () => boolean
  /** A byte came from the backend server. */
  onHeard: () => void
  /** The backend server began its answer: a stream's first event, or the head of another answer. */
  onFirst: () => void
}

/** A sending on its way. */
export interface Attempt {
  ended: Promise<AttemptEnd>
  /** Ends it, and with it the backend server's work. */
  abort: () => void
}

const firstErrorStatus = 400
const misdirectedStatus = 421

function textOf (value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value
}

/** Sends the request once. */
export function startAttempt (options: AttemptOptions): Attempt {
  const { codec, response, progress, kind } = options
  const chunks: Buffer[] = []
  let status = 0
  let headers: Headers = {}
  let head: AnswerHead | undefined
  let settle: (end: AttemptEnd) => void = () => {}
  let isSettled = false
  let passed = 0
  const ended = new Promise<AttemptEnd>(resolve => { settle = resolve })

  function end (result: AttemptEnd): void {
    if (isSettled) return
    isSettled = true
    settle(result)
  }

  function isStream (): boolean {
    return kind === 'stream' && status < 300
  }

  function onHead (newStatus: number, newHeaders: Headers): void {
    options.onHeard()
    status = newStatus
    headers = newHeaders
    head = codec.readAnswer(newStatus, newHeaders)
    const isForeign = head.request !== undefined && head.request !== options.requestId
    if (isForeign) {
      // The connection carries an answer to another request, so nothing on it can be trusted.
      sending.abort()
      return end({ kind: 'may-have-run', cause: 'an answer to another request came', isForeign: true })
    }
    if (!head.isNotRun && !head.isSealed && status < firstErrorStatus) {
      sending.abort()
      return end({ kind: 'may-have-run', cause: 'an answer without a signature came', isForeign: true })
    }
    if (!isStream() && !head.isNotRun) options.onFirst()
  }

  function begin (): void {
    if (progress.isBegun) return
    progress.isBegun = true
    options.onFirst()
    response.statusCode = status
    for (const [name, value] of Object.entries(passedOnHeaders(headers, false))) response.setHeader(name, value)
    if (!isFramed(status, headers)) endWithConnection(response)
    if (options.closesConnection()) response.setHeader('connection', 'close')
  }

  function onData (chunk: Buffer): boolean {
    if (isSettled) return true
    options.onHeard()
    if (!isStream()) {
      chunks.push(chunk)
      return true
    }
    const whole = progress.cutter.push(chunk)
    if (whole.length === 0) return true
    if (passed === 0 && progress.isBegun) options.onFirst()
    begin()
    passed += whole.length
    const hasRoom = response.write(whole)
    if (!hasRoom) response.once('drain', sending.resume)
    return hasRoom
  }

  function onEnd (): void {
    if (isSettled || head === undefined) return
    if (head.isNotRun) {
      const retryAfter = textOf(headers['retry-after'])
      return end({
        kind: 'not-run',
        cause: `the backend server did not run it (status ${status})`,
        status,
        ...(retryAfter === undefined ? {} : { retryAfter }),
        isMistaken: status === misdirectedStatus,
        isUnreached: false
      })
    }
    if (!isStream()) return end({ kind: 'whole', answer: { status, headers, body: Buffer.concat(chunks) } })
    if (progress.cutter.hasRest()) return onBroken('the stream ended within an event')
    begin()
    response.end()
    end({ kind: 'passed-on', status })
  }

  function onBroken (cause: string): void {
    progress.cutter.drop()
    if (passed > 0) end({ kind: 'broken', cause })
    else end({ kind: 'may-have-run', cause, isForeign: false })
  }

  const sending: Sending = options.connections.send(options.request, {
    onHead,
    onData,
    onEnd,
    onFailure: ({ mayHaveRun, cause }) => {
      if (mayHaveRun) onBroken(cause)
      else end({ kind: 'not-run', cause, isMistaken: false, isUnreached: true })
    }
  })

  return {
    ended,
    abort: () => {
      const mayHaveRun = sending.isSent()
      sending.abort()
      end({ kind: 'aborted', mayHaveRun })
    }
  }
}
