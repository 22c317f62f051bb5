/** Reads a draft's event stream to its end. */
import { err, ok } from 'true-myth/result'
import type { Result } from 'true-myth'
import type { CallerError, DraftEvent, DraftSummary } from '../../core/client/index.ts'

/** A draft's complete answer. */
export interface CompleteAnswer {
  text: string
  /** How often the answer restarted and its earlier text was discarded. */
  restarts: number
  summary: DraftSummary
}

/** Callbacks that are invoked while the answer is read. */
export interface AnswerListener {
  onText: (text: string) => void
  onRestart: () => void
}

/** Reads events to the end. Returns the complete text or the error that ended the draft, never a partial text. */
export async function readAnswer (events: AsyncIterable<DraftEvent>, listener: AnswerListener): Promise<Result<CompleteAnswer, CallerError>> {
  let text = ''
  let restarts = 0
  for await (const event of events) {
    switch (event.kind) {
      case 'token':
        text += event.text
        listener.onText(event.text)
        break
      case 'restart':
        text = ''
        restarts += 1
        listener.onRestart()
        break
      case 'failed':
        return err(event.error)
      case 'end':
        return ok({ text, restarts, summary: event.summary })
    }
  }
  throw new Error('the event stream of a draft ended without an "end" or "failed" event')
}
