/**
 * Identifiers of the events of an answer: `<request>:<attempt>:<index>`. The
 * attempt tells whether the event a caller saw last is one that this node
 * knows, so that parts of two answers are never joined.
 */
import { toId } from '../ids/index.ts'
import type { AttemptId, RequestId } from '../ids/index.ts'
import { attemptOf } from './draft.ts'
import type { Draft } from './types.ts'

/** The place a caller has reached in an answer. */
export interface EventPlace {
  request: RequestId
  attempt: AttemptId
  index: number
}

/** Stands for the attempt where a caller has no event of the answer. */
const noAttempt = 'start'

/**
 * The id of the place before the first event. A restart carries it, so that a
 * connection that breaks right after isn't resumed in the void answer, and a
 * hand-over before the first event, so that the caller asks for its draft.
 */
export function startEventId (request: RequestId): string {
  return `${request}:${noAttempt}:0`
}

/** Reads the id of an event as a caller sent it back; undefined when it isn't one. */
export function parseEventId (text: string): EventPlace | undefined {
  const match = /^([\w-]+):([\w-]+):(\d{1,9})$/.exec(text)
  if (match === null) return undefined
  return { request: toId(match[1] ?? ''), attempt: toId(match[2] ?? ''), index: Number(match[3]) }
}

/** The index a reader goes on from; undefined when it has to begin anew. */
export function resumeIndex (draft: Draft, place: EventPlace): number | undefined {
  if (place.attempt === noAttempt) return 0
  if (place.request !== draft.request.request) return undefined
  return attemptOf(draft, place.index) === place.attempt ? place.index + 1 : undefined
}
