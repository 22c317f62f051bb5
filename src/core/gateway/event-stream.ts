/**
 * Buffers a stream of server-sent events up to event boundaries, so that the
 * caller never receives a partial event, and reads the id of the last event.
 * Comments before the first event are held back, because they are no sign of a
 * response: until an event is forwarded, another backend server may answer.
 */
import { createByteCollector } from '../connections/bounded-bytes.ts'
import type { ByteCollector } from '../connections/bounded-bytes.ts'

const lineFeed = 10
const carriageReturn = 13
const colon = 58
const space = 32
const tab = 9
const idField = Buffer.from('id:')
/** Longest end of an event that may begin in an earlier chunk: a line feed, and a carriage return. */
const maxSplitEndBytes = 2
/** Bytes without a complete event, comments included, from which a stream counts as broken. */
const maxBytesWithoutEvent = 256 * 1024
/** Bytes that can be held back: up to that limit, and one read of a connection beyond it. */
const maxHeldBytes = 2 * maxBytesWithoutEvent
const noBytes: Buffer = Buffer.alloc(0)
/** Ids that fit into the headers of a request; far longer than those of engines. */
const sendableIdPattern = /^[\x20-\x7e\x80-\xff]{1,1024}$/

/** Holds back the bytes of an unfinished event until the rest of it arrives. */
export interface EventBuffer {
  /** Adds a chunk; returns all bytes up to the end of the last complete event or comment that may be forwarded. */
  push: (chunk: Buffer) => Buffer
  /** Whether bytes of an unfinished event are held back. */
  hasPartialEvent: () => boolean
  /** What is wrong with the stream, such as an event whose id doesn't follow the one before; `push` has returned what came before it. */
  fault: () => string | undefined
  /** Whether the stream sends bytes without an event. */
  isOverLimit: () => boolean
  /** Memory that is occupied by what is held back. */
  allocatedBytes: () => number
  /** Number of complete events so far; comments don't count. */
  eventCount: () => number
  lastEventId: () => string | undefined
  /** Whether another backend server can be told after which event to go on: no event was forwarded yet, or the last one has an id that a header can hold. */
  isResumable: () => boolean
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

/** Fields of an event stream. Events may have others, too, but something else than an event, such as an error or its head, has none of these. */
const eventFields = new Set(['data', 'event', 'id', 'retry'])
/** Bytes of a line that hold the longest of these names and a colon, after a byte order mark, which may begin a stream. */
const fieldNameBytes = 9
const byteOrderMark = '\ufeff'

/** Whether a line has a field of an event stream. */
function hasEventField (line: Buffer): boolean {
  const [name = ''] = line.subarray(0, fieldNameBytes).toString('utf8').split(':')
  return eventFields.has(name.replace(byteOrderMark, '').trimEnd())
}

function isBlank (byte: number | undefined): boolean {
  return byte === space || byte === tab || byte === carriageReturn
}

/** The text between two offsets without surrounding blanks, each byte as one character, as headers are sent. */
function trimmedText (bytes: Buffer, startOffset: number, endOffset: number): string {
  let start = startOffset
  let end = endOffset
  while (start < end && isBlank(bytes[start])) start += 1
  while (end > start && isBlank(bytes[end - 1])) end -= 1
  return bytes.toString('latin1', start, end)
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
  const partial = createByteCollector(maxHeldBytes)
  const comments = createByteCollector(maxHeldBytes)
  let bytesWithoutEvent = 0
  let isTooLong = false
  let lastId: string | undefined
  let fault: string | undefined
  let count = 0

  /** Counts complete events and stores the id of the last one, up to a fault; returns how many there are, and where they end. */
  function scanLines (bytes: Buffer): { events: number, end: number } {
    let atLineStart = 0
    let events = 0
    let eventsEnd = 0
    let hasLines = false
    let hasField = false
    let id: string | undefined
    while (atLineStart < bytes.length) {
      const end = bytes.indexOf(lineFeed, atLineStart)
      const lineEnd = end === -1 ? bytes.length : end
      const isBlank = lineEnd === atLineStart || (lineEnd === atLineStart + 1 && bytes[atLineStart] === carriageReturn)
      if (isBlank) {
        if (hasLines && !hasField) fault = 'it sent bytes that are no event'
        else if (id !== undefined && !mayFollow(id, lastId)) fault = 'its events have ids that are not in order'
        if (fault !== undefined) break
        if (hasField) events += 1
        lastId = id ?? lastId
        eventsEnd = lineEnd + 1
        id = undefined
        hasLines = false
        hasField = false
      } else if (bytes[atLineStart] !== colon) {
        hasLines = true
        hasField ||= hasEventField(bytes.subarray(atLineStart, lineEnd))
        if (bytes.subarray(atLineStart, atLineStart + idField.length).equals(idField)) id = trimmedText(bytes, atLineStart + idField.length, lineEnd)
      }
      atLineStart = lineEnd + 1
    }
    return { events, end: eventsEnd }
  }

  /** Offset in the chunk after the last event that ends there; 0 when none does. */
  function eventEndIn (chunk: Buffer): number {
    const tail = partial.tail(maxSplitEndBytes)
    return Math.max(0, endOfLastEvent(tail.length === 0 ? chunk : Buffer.concat([tail, chunk])) - tail.length)
  }

  function hold (collector: ByteCollector, bytes: Buffer): void {
    if (bytes.length > 0 && !collector.add(bytes)) isTooLong = true
  }

  return {
    push: chunk => {
      const end = eventEndIn(chunk)
      if (end === 0) {
        hold(partial, chunk)
        return noBytes
      }
      const complete = Buffer.concat([partial.take(), chunk.subarray(0, end)])
      hold(partial, chunk.subarray(end))
      const scanned = scanLines(complete)
      const sound = complete.subarray(0, scanned.end)
      count += scanned.events
      bytesWithoutEvent = scanned.events > 0 ? 0 : bytesWithoutEvent + sound.length
      if (count > 0) return comments.sizeBytes() === 0 ? sound : Buffer.concat([comments.take(), sound])
      hold(comments, sound)
      return noBytes
    },
    hasPartialEvent: () => partial.sizeBytes() > 0,
    fault: () => fault,
    isOverLimit: () => isTooLong || partial.sizeBytes() + bytesWithoutEvent > maxBytesWithoutEvent,
    allocatedBytes: () => partial.allocatedBytes() + comments.allocatedBytes(),
    eventCount: () => count,
    lastEventId: () => lastId,
    isResumable: () => count === 0 || (lastId !== undefined && sendableIdPattern.test(lastId)),
    takeComments: comments.take,
    discardPartialEvent: () => {
      partial.take()
      comments.take()
      isTooLong = false
      bytesWithoutEvent = 0
      fault = undefined
    }
  }
}
