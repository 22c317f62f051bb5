/**
 * Parser of server-sent events. Bytes are decoded once per chunk, and the data of
 * an event is passed on unmodified.
 */
import { createByteCollector } from '../connections/index.ts'

/** Receives one event; `id` is undefined when the event has none. */
export type SseListener = (data: string, id: string | undefined) => void

const carriageReturn = 13
const newline = 10
const frameEnd = '\n\n'
const idField = 'id: '
const dataField = 'data: '

/** Parses one event with its fields in any order; comments and unknown fields are ignored. */
function parseFrame (frame: string, listener: SseListener): void {
  let id: string | undefined
  let data: string | undefined
  for (const line of frame.split('\n')) {
    const [name = '', ...rest] = line.split(':')
    const value = rest.join(':').replace(/^ /, '')
    if (name === 'id') id = value
    if (name === 'data') data = data === undefined ? value : `${data}\n${value}`
  }
  if (data !== undefined) listener(data, id)
}

/** Parses one event, with a fast path for the usual form: an id line followed by a data line. */
function parseUsualFrame (text: string, startOffset: number, endOffset: number, listener: SseListener): void {
  const lineEnd = text.indexOf('\n', startOffset)
  const hasId = text.startsWith(idField, startOffset) && text.startsWith(dataField, lineEnd + 1)
  const dataOffset = lineEnd + 1 + dataField.length
  if (hasId && text.indexOf('\n', dataOffset) === endOffset) {
    listener(text.slice(dataOffset, endOffset), text.slice(startOffset + idField.length, lineEnd))
  } else {
    parseFrame(text.slice(startOffset, endOffset), listener)
  }
}

/** Creates the parser of one stream; it must be called with the chunks in order. Whoever calls it limits the bytes without an event. */
export function createSseParser (listener: SseListener): (chunk: Buffer) => void {
  const pending = createByteCollector(Infinity)

  /** Number of received bytes up to the end of the last complete event, which may begin in an earlier chunk; 0 if none is complete. */
  function completeBytesOf (received: Buffer): number {
    const lastFrameEndOffset = received.lastIndexOf(frameEnd)
    if (lastFrameEndOffset !== -1) return lastFrameEndOffset + frameEnd.length
    return received[0] === newline && pending.tail(1)[0] === newline ? 1 : 0
  }

  return chunk => {
    // Removes carriage returns. They occur only at line ends, because JSON escapes them in data.
    const received = chunk.includes(carriageReturn) ? Buffer.from(chunk.filter(byte => byte !== carriageReturn)) : chunk
    const completeBytes = completeBytesOf(received)
    const complete = received.subarray(0, completeBytes)
    if (completeBytes > 0) parseFrames(pending.sizeBytes() === 0 ? complete.toString() : Buffer.concat([pending.take(), complete]).toString())
    if (completeBytes < received.length) pending.add(received.subarray(completeBytes))
  }

  function parseFrames (text: string): void {
    let startOffset = 0
    for (let endOffset = text.indexOf(frameEnd); endOffset !== -1; endOffset = text.indexOf(frameEnd, startOffset)) {
      parseUsualFrame(text, startOffset, endOffset, listener)
      startOffset = endOffset + frameEnd.length
    }
  }
}
