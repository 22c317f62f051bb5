/**
 * Buffers a stream of server-sent events up to event boundaries, so that the
 * caller never receives a partial event, and reads the id of the last event.
 * Comments before the first event are held back, because they are no sign of a
 * response: until an event is forwarded, another backend server may answer.
 */

const lineFeed = 10
const carriageReturn = 13
const colon = 58
const idField = Buffer.from('id:')
/** Longest end of an event that may begin in an earlier chunk: a line feed, and a carriage return. */
const maxSplitEndBytes = 2
/** Bytes without a complete event, comments included, from which a stream counts as broken. */
const maxBytesWithoutEvent = 256 * 1024
const noBytes: Buffer = Buffer.alloc(0)

/** Holds back the bytes of an unfinished event until the rest of it arrives. */
export interface EventBuffer {
  /** Adds a chunk; returns all bytes up to the end of the last complete event or comment that may be forwarded. */
  push: (chunk: Buffer) => Buffer
  /** Whether bytes of an unfinished event are held back. */
  hasPartialEvent: () => boolean
  /** Whether an event came whose id doesn't follow the one before; it and what came with it are not forwarded. */
  isOutOfOrder: () => boolean
  /** Whether the stream sends bytes without an event. */
  isOverLimit: () => boolean
  /** Number of complete events so far; comments don't count. */
  eventCount: () => number
  lastEventId: () => string | undefined
  /** Returns the comments of a stream that ended without an event. */
  takeComments: () => Buffer
  /** Discards what is held back, before the stream resumes at another backend server. */
  discardPartialEvent: () => void
}

/** Offset after the last blank line, or 0 when there is none. */
function endOfLastEvent (bytes: Buffer): number {
  for (let at = bytes.length - 1; at > 0; at -= 1) {
    if (bytes[at] !== lineFeed) continue
    const before = bytes[at - 1]
    if (before === lineFeed) return at + 1
    if (before === carriageReturn && bytes[at - 2] === lineFeed) return at + 1
  }
  return 0
}

const integerPattern = /^\d{1,15}$/

/** Whether an id may come after another one: numbers increase, and other ids at least differ. */
function mayFollow (id: string, previous: string | undefined): boolean {
  if (previous === undefined) return true
  const areNumbers = integerPattern.test(id) && integerPattern.test(previous)
  return areNumbers ? Number(id) > Number(previous) : id !== previous
}

/** Creates an empty buffer for one response. */
export function createEventBuffer (): EventBuffer {
  let partial: Buffer[] = []
  let partialBytes = 0
  /** The last bytes of `partial`. */
  let tail = noBytes
  let comments: Buffer[] = []
  let bytesWithoutEvent = 0
  let lastId: string | undefined
  let isOutOfOrder = false
  let count = 0

  /** Reads complete events; returns how many there are, and the id of the last one, or undefined if their ids are out of order. */
  function scanLines (bytes: Buffer): { events: number, lastId: string | undefined } | undefined {
    let atLineStart = 0
    let events = 0
    let hasField = false
    let previousId = lastId
    let id: string | undefined
    while (atLineStart < bytes.length) {
      const end = bytes.indexOf(lineFeed, atLineStart)
      const lineEnd = end === -1 ? bytes.length : end
      const isBlank = lineEnd === atLineStart || (lineEnd === atLineStart + 1 && bytes[atLineStart] === carriageReturn)
      if (isBlank) {
        if (hasField) events += 1
        if (id !== undefined && !mayFollow(id, previousId)) return undefined
        previousId = id ?? previousId
        id = undefined
        hasField = false
      } else if (bytes[atLineStart] !== colon) {
        hasField = true
        if (bytes.subarray(atLineStart, atLineStart + idField.length).equals(idField)) {
          id = bytes.subarray(atLineStart + idField.length, lineEnd).toString('utf8').trim()
        }
      }
      atLineStart = lineEnd + 1
    }
    return { events, lastId: previousId }
  }

  /** Offset in the chunk after the last event that ends there; 0 when none does. */
  function eventEndIn (chunk: Buffer): number {
    return Math.max(0, endOfLastEvent(tail.length === 0 ? chunk : Buffer.concat([tail, chunk])) - tail.length)
  }

  function hold (chunk: Buffer): void {
    if (chunk.length === 0) return
    partial.push(chunk)
    partialBytes += chunk.length
    tail = (chunk.length < maxSplitEndBytes ? Buffer.concat([tail, chunk]) : chunk).subarray(-maxSplitEndBytes)
  }

  function takePartial (): Buffer[] {
    const taken = partial
    partial = []
    partialBytes = 0
    tail = noBytes
    return taken
  }

  function takeComments (): Buffer {
    const taken = Buffer.concat(comments)
    comments = []
    return taken
  }

  return {
    push: chunk => {
      const end = eventEndIn(chunk)
      if (end === 0) {
        hold(chunk)
        return noBytes
      }
      const complete = Buffer.concat([...takePartial(), chunk.subarray(0, end)])
      hold(chunk.subarray(end))
      const scanned = scanLines(complete)
      if (scanned === undefined) {
        isOutOfOrder = true
        return noBytes
      }
      const { events } = scanned
      lastId = scanned.lastId
      count += events
      bytesWithoutEvent = events > 0 ? 0 : bytesWithoutEvent + complete.length
      if (count > 0) return comments.length === 0 ? complete : Buffer.concat([takeComments(), complete])
      comments.push(complete)
      return noBytes
    },
    hasPartialEvent: () => partialBytes > 0,
    isOutOfOrder: () => isOutOfOrder,
    isOverLimit: () => partialBytes + bytesWithoutEvent > maxBytesWithoutEvent,
    eventCount: () => count,
    lastEventId: () => lastId,
    takeComments,
    discardPartialEvent: () => {
      takePartial()
      takeComments()
      bytesWithoutEvent = 0
      isOutOfOrder = false
    }
  }
}
