/**
 * Converts the data of an engine's server-sent events into generate events. Checks that
 * the indexes have no gap, that every event belongs to the attempt, and that the answer
 * has a finish reason when its end marker (`[DONE]`) arrives.
 */
import { AttemptError } from './types.ts'
import type { AttemptId } from '../ids/index.ts'
import type { RetryReason } from '../outcomes/index.ts'
import type { GenerateEvent } from './types.ts'

const contentField = '"content":"'
const finishField = '"finish_reason":"'
const endMarker = '[DONE]'

/** Fields of an engine's event that the client uses. */
interface EngineChunk {
  error?: { message?: string }
  choices?: Array<{ delta?: { content?: string }, finish_reason?: string | null }>
  usage?: { prompt_tokens: number, completion_tokens: number, prompt_tokens_details?: { cached_tokens?: number } | null }
}

/** Creates the error of an attempt that may have run, because its request was sent. */
export function attemptError (reason: RetryReason, detail: string): AttemptError {
  return new AttemptError({ reason, detail, mayHaveRun: true })
}

/** Returns the offset of the closing quote of a JSON string whose text starts at `startOffset`; -1 when there is none. */
function findStringEndOffset (raw: string, startOffset: number): number {
  let endOffset = raw.indexOf('"', startOffset)
  while (endOffset > startOffset && countBackslashesBefore(raw, endOffset) % 2 === 1) endOffset = raw.indexOf('"', endOffset + 1)
  return endOffset
}

function countBackslashesBefore (raw: string, offset: number): number {
  let count = 0
  while (raw[offset - 1 - count] === '\\') count += 1
  return count
}

/** Extracts the text of an event without parsing the whole JSON; undefined when it has no text or a finish reason. */
function extractContent (raw: string): string | undefined {
  const fieldOffset = raw.indexOf(contentField)
  if (fieldOffset === -1) return undefined
  const startOffset = fieldOffset + contentField.length
  const endOffset = findStringEndOffset(raw, startOffset)
  if (endOffset === -1 || raw.includes(finishField, endOffset) || raw.lastIndexOf(finishField, fieldOffset) !== -1) return undefined
  const text = raw.slice(startOffset, endOffset)
  return text.includes('\\') ? JSON.parse(`"${text}"`) as string : text
}

/**
 * Creates the converter of one stream. It must be called with each event's data and id in order,
 * emits generate events, and throws an `AttemptError` when the answer is incomplete, has more than `maxEvents` tokens, or the engine failed.
 */
export function createEventReader (
  attempt: AttemptId,
  firstIndex: number,
  emit: (event: GenerateEvent) => void,
  maxEvents = Infinity
): (data: string, id: string | undefined) => void {
  let nextIndex = firstIndex
  let finishReason: string | undefined
  let usage: EngineChunk['usage']

  function emitToken (text: string, raw: string, id: string | undefined): void {
    const index = id === undefined ? nextIndex : Number(id)
    if (index !== nextIndex) throw attemptError('answer-incomplete', `expected event ${nextIndex}, received event ${index}`)
    if (index >= firstIndex + maxEvents) throw attemptError('answer-incomplete', `received more events than the ${maxEvents} tokens that were asked for`)
    nextIndex += 1
    emit({ kind: 'token', index, text, raw })
  }

  function emitEnd (): void {
    if (finishReason === undefined) throw attemptError('answer-incomplete', 'the stream ended without a finish reason')
    emit({
      kind: 'end',
      finishReason,
      promptTokens: usage?.prompt_tokens ?? 0,
      cachedTokens: usage?.prompt_tokens_details?.cached_tokens ?? 0,
      generatedTokens: usage?.completion_tokens ?? nextIndex
    })
  }

  function readChunk (raw: string, id: string | undefined): void {
    const chunk = JSON.parse(raw) as EngineChunk
    if (chunk.error !== undefined) throw attemptError('backend-failed', chunk.error.message ?? 'the engine failed')
    const choice = chunk.choices?.[0]
    const text = choice?.delta?.content ?? ''
    if (text !== '') emitToken(text, raw, id)
    finishReason = choice?.finish_reason ?? finishReason
    usage = chunk.usage ?? usage
  }

  return (data, id) => {
    if (data === endMarker) return emitEnd()
    // The id in each event contains the attempt's id, so an event of another attempt is detected.
    if (!data.includes(attempt) && !data.includes('"error"')) throw attemptError('answer-incomplete', 'received an event of another attempt')
    const text = extractContent(data)
    if (text !== undefined && text !== '') emitToken(text, data, id)
    else readChunk(data, id)
  }
}
