/**
 * Streams an attempt's tokens to one reader as server-sent events in vLLM's
 * format, starting at any token index.
 */
import { generatedToken } from './generated-text.ts'
import type { Response } from 'express'
import type { EngineFaults } from './faults.ts'

/** State of an attempt that its readers stream. */
export interface Attempt {
  id: string
  version: string
  /** Seed of the generated text. */
  seed: number
  /** Number of tokens that earlier attempts generated; this attempt continues after them. */
  earlierTokens: number
  promptTokens: number
  cachedTokens: number
  generatedTokens: number
  /** Set when the attempt completes. */
  finishReason: string | undefined
  /** Error message; set when the attempt fails or is cancelled. */
  failure: string | undefined
  readers: Set<AttemptReader>
}

/** One response that streams an attempt. */
export interface AttemptReader {
  /** Writes all tokens that are available, and the end of the stream once the attempt has ended. */
  flush: () => void
  /** Writes an SSE comment, which keeps the stream alive while there are no tokens. */
  sendComment: () => void
}

/** Attaches a response as a reader, starting at a token index. */
export function attachReader (attempt: Attempt, response: Response, fromIndex: number, faults: EngineFaults, onDisconnect: () => void): void {
  const head = `{"id":"chatcmpl-${attempt.id}","object":"chat.completion.chunk","model":${JSON.stringify(attempt.version)},"choices":[`
  let nextIndex = fromIndex
  let awaitingDrain = false
  let closed = false

  function writeToken (index: number): void {
    const text = generatedToken(attempt.seed, attempt.earlierTokens + index)
    const chunkHead = index === faults.crossAtToken ? head.replace(attempt.id, 'another') : head
    const frame = `id: ${index}\ndata: ${chunkHead}{"index":0,"delta":{"content":${JSON.stringify(text)}},"finish_reason":null}]}\n\n`
    if (response.write(frame)) return
    awaitingDrain = true
    response.once('drain', () => {
      awaitingDrain = false
      flush()
    })
  }

  function writeEnd (): void {
    closed = true
    if (attempt.failure !== undefined) {
      response.end(`data: {"error":{"message":${JSON.stringify(attempt.failure)}}}\n\n`)
      return
    }
    const usage = {
      prompt_tokens: attempt.promptTokens,
      completion_tokens: attempt.generatedTokens,
      total_tokens: attempt.promptTokens + attempt.generatedTokens,
      prompt_tokens_details: { cached_tokens: attempt.cachedTokens }
    }
    response.write(`data: ${head}{"index":0,"delta":{},"finish_reason":${JSON.stringify(attempt.finishReason)}}]}\n\n`)
    response.write(`data: ${head}],"usage":${JSON.stringify(usage)}}\n\n`)
    response.end('data: [DONE]\n\n')
  }

  function flush (): void {
    while (!awaitingDrain && !closed && nextIndex < attempt.generatedTokens) {
      if (nextIndex === faults.cutAtToken) {
        closed = true
        response.end()
        return
      }
      if (nextIndex !== faults.skipToken) writeToken(nextIndex)
      nextIndex += 1
    }
    const ended = attempt.finishReason !== undefined || attempt.failure !== undefined
    if (!awaitingDrain && !closed && ended && nextIndex >= attempt.generatedTokens) writeEnd()
  }

  const reader: AttemptReader = { flush, sendComment: () => { if (!closed && !awaitingDrain) response.write(': waiting\n\n') } }
  attempt.readers.add(reader)
  response.on('close', () => {
    closed = true
    attempt.readers.delete(reader)
    onDisconnect()
  })
  response.writeHead(200, { 'content-type': 'text/event-stream', 'x-request-id': attempt.id, 'cache-control': 'no-cache' })
  response.flushHeaders()
  flush()
}
