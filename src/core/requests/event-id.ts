/**
 * Ids of the server-sent events of an answer: `<request>:<attempt>:<index>`. The
 * attempt identifies whose event the caller received last; if it isn't the attempt
 * that this node has at that index, the answer restarts instead of mixing two answers.
 */
import { toId } from '../ids/index.ts'
import type { AttemptId, RequestId } from '../ids/index.ts'
import { attemptOf } from './draft.ts'
import type { Draft } from './types.ts'

/** A caller's position in an answer: the last event that it received. */
export interface EventPosition {
  request: RequestId
  attempt: AttemptId
  index: number
}

/** Replaces the attempt in the id of the position before the first event. */
const noAttemptId = 'start'

/**
 * Returns the id of the position before the first event. It is sent with a
 * `restart` event, so that a caller whose connection breaks right after it doesn't
 * resume in the discarded answer, and with a `handover` event before the first event, so that
 * the caller's reconnect carries an id with which the draft can be found.
 */
export function startEventId (request: RequestId): string {
  return `${request}:${noAttemptId}:0`
}

/** Parses an event id that a caller sent back; undefined when it is malformed. */
export function parseEventId (text: string): EventPosition | undefined {
  const match = /^([\w-]+):([\w-]+):(\d{1,9})$/.exec(text)
  if (match === null) return undefined
  return { request: toId(match[1] ?? ''), attempt: toId(match[2] ?? ''), index: Number(match[3]) }
}

/** Returns the index of the next event for a reader; undefined when the answer must restart. */
export function resumeIndex (draft: Draft, position: EventPosition): number | undefined {
  if (position.attempt === noAttemptId) return 0
  if (position.request !== draft.request.request) return undefined
  return attemptOf(draft, position.index) === position.attempt ? position.index + 1 : undefined
}
