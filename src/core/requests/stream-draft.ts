/**
 * Streams a draft to one caller as server-sent events, with back pressure from the
 * caller's connection.
 */
import type { Writable } from 'node:stream'
import { once } from 'node:events'
import { attemptOf } from './draft.ts'
import type { LiveDraft, Reader } from './draft.ts'
import { startEventId } from './event-id.ts'
import type { DraftEnd } from './types.ts'

/** Largest number of events in one write to a caller's connection. */
const maxEventsPerWrite = 256

/** Why the streaming to a caller ended; `left` means that the caller disconnected. */
export type StreamResult = 'ended' | 'handed-over' | 'left'

/**
 * Writes all events from the reader's position on, until the answer ends, the draft is
 * handed over, or `disconnectSignal` aborts because the caller has disconnected.
 */
export async function streamDraft (
  draft: LiveDraft,
  reader: Reader,
  sink: Writable,
  disconnectSignal: AbortSignal
): Promise<StreamResult> {
  draft.readers.add(reader)
  // One listener for the whole stream: a listener for each wait would accumulate on the signal.
  disconnectSignal.addEventListener('abort', draft.notifyChange, { once: true })
  try {
    while (!disconnectSignal.aborted) {
      const text = renderNextEvents(draft, reader)
      if (text !== '') {
        await write(sink, text, disconnectSignal)
        draft.notifyChange()
      } else if (draft.end !== undefined) {
        sink.write(renderEndEvent(draft, draft.end))
        return 'ended'
      } else if (draft.handedOverTo !== undefined) {
        sink.write(renderHandOverEvent(draft, reader))
        return 'handed-over'
      } else {
        await draft.nextChange()
      }
    }
    return 'left'
  } finally {
    disconnectSignal.removeEventListener('abort', draft.notifyChange)
    draft.readers.delete(reader)
  }
}

/** Renders the reader's next events and advances its position; empty when there are none yet. */
function renderNextEvents (draft: LiveDraft, reader: Reader): string {
  let text = ''
  if (reader.mustRestart) {
    reader.mustRestart = false
    text += `id: ${startEventId(draft.request.request)}\nevent: restart\ndata: {}\n\n`
  }
  const endIndex = Math.min(draft.raws.length, reader.nextIndex + maxEventsPerWrite)
  const { request } = draft.request
  for (let index = reader.nextIndex; index < endIndex; index++) {
    text += `id: ${request}:${attemptOf(draft, index) ?? ''}:${index}\ndata: ${draft.raws[index] ?? ''}\n\n`
  }
  reader.nextIndex = Math.max(reader.nextIndex, endIndex)
  return text
}

function renderHandOverEvent (draft: LiveDraft, reader: Reader): string {
  const id = reader.nextIndex === 0 ? `id: ${startEventId(draft.request.request)}\n` : ''
  return `${id}event: handover\nretry: 0\ndata: {}\n\n`
}

function renderEndEvent (draft: LiveDraft, end: DraftEnd): string {
  if (end.kind === 'failed') return `event: error\ndata: ${JSON.stringify(end.refusal)}\n\n`
  const body = {
    finishReason: end.finishReason,
    events: draft.raws.length,
    promptTokens: end.promptTokens,
    cachedTokens: end.cachedTokens,
    version: draft.version
  }
  return `event: end\ndata: ${JSON.stringify(body)}\n\n`
}

async function write (sink: Writable, text: string, disconnectSignal: AbortSignal): Promise<void> {
  if (sink.write(text)) return
  try {
    await once(sink, 'drain', { signal: disconnectSignal })
  } catch {
    // The caller disconnected while its connection was full; the loop checks the signal.
  }
}
