/**
 * The events of an engine's answer: told in order of index, each for this
 * attempt, and ended only by the end mark.
 */
import { AttemptError } from './types.ts'
import type { AttemptId } from '../ids/index.ts'
import type { RetryReason } from '../outcomes/index.ts'
import type { GenerateEvent } from './types.ts'

const contentField = '"content":"'
const finishField = '"finish_reason":"'
const endMark = '[DONE]'

/** The fields of an engine's event that are read. */
interface EngineChunk {
  error?: { message?: string }
  choices?: Array<{ delta?: { content?: string }, finish_reason?: string | null }>
  usage?: { prompt_tokens: number, completion_tokens: number, prompt_tokens_details?: { cached_tokens?: number } | null }
}

/** Makes the error of an attempt that reached its engine. */
export function attemptError (reason: RetryReason, detail: string): AttemptError {
  return new AttemptError({ reason, detail, mayHaveRun: true })
}

/** The offset of the quote that ends a JSON string, given where its text starts. */
function findStringEnd (raw: string, startOffset: number): number {
  let endOffset = raw.indexOf('"', startOffset)
  while (endOffset > startOffset && countBackslashesBefore(raw, endOffset) % 2 === 1) endOffset = raw.indexOf('"', endOffset + 1)
  return endOffset
}

function countBackslashesBefore (raw: string, offset: number): number {
  let count = 0
  while (raw[offset - 1 - count] === '\\') count += 1
  return count
}

/** Takes the text out of an event without parsing the whole of it; undefined when it has none or ends the answer. */
function sliceContent (raw: string): string | undefined {
  const field = raw.indexOf(contentField)
  if (field === -1) return undefined
  const startOffset = field + contentField.length
  const endOffset = findStringEnd(raw, startOffset)
  if (endOffset === -1 || raw.includes(finishField, endOffset) || raw.lastIndexOf(finishField, field) !== -1) return undefined
  const text = raw.slice(startOffset, endOffset)
  return text.includes('\\') ? JSON.parse(`"${text}"`) as string : text
}

/** Turns the data of server-sent events into events; throws an `AttemptError` when the answer is not whole. */
export function createEventReader (
  attempt: AttemptId,
  firstIndex: number,
  emit: (event: GenerateEvent) => void
): (data: string, id: string | undefined) => void {
  let nextIndex = firstIndex
  let finishReason: string | undefined
  let usage: EngineChunk['usage']

  function emitToken (text: string, raw: string, id: string | undefined): void {
    const index = id === undefined ? nextIndex : Number(id)
    if (index !== nextIndex) throw attemptError('answer-incomplete', `event ${nextIndex} was expected, ${index} came`)
    nextIndex += 1
    emit({ kind: 'token', index, text, raw })
  }

  function emitEnd (): void {
    if (finishReason === undefined) throw attemptError('answer-incomplete', 'the end mark came without a finish reason')
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
    if (data === endMark) return emitEnd()
    // The id of every event holds the attempt's, so an event of another one is told.
    if (!data.includes(attempt) && !data.includes('"error"')) throw attemptError('answer-incomplete', 'an event of another attempt came')
    const text = sliceContent(data)
    if (text !== undefined && text !== '') emitToken(text, data, id)
    else readChunk(data, id)
  }
}
