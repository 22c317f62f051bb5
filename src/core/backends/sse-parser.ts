/**
 * Server-sent events from buffers: bytes are decoded once per chunk, and the
 * data of an event is handed on as the server wrote it.
 */

/** Hears one event; `id` is undefined when the event has none. */
export type SseListener = (data: string, id: string | undefined) => void

const carriageReturn = 13
const frameEnd = '\n\n'
const idField = 'id: '
const dataField = 'data: '

/** Reads one event whose lines are in any order; comments are skipped. */
function readFrame (frame: string, listener: SseListener): void {
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

/** Reads one event, at little cost when it has the usual form of an id line and a data line. */
function readUsualFrame (text: string, startOffset: number, endOffset: number, listener: SseListener): void {
  const lineEnd = text.indexOf('\n', startOffset)
  const hasId = text.startsWith(idField, startOffset) && text.startsWith(dataField, lineEnd + 1)
  const dataOffset = lineEnd + 1 + dataField.length
  if (hasId && text.indexOf('\n', dataOffset) === endOffset) {
    listener(text.slice(dataOffset, endOffset), text.slice(startOffset + idField.length, lineEnd))
  } else {
    readFrame(text.slice(startOffset, endOffset), listener)
  }
}

/** Creates a parser of one stream; give it the chunks in order. */
export function createSseParser (listener: SseListener): (chunk: Buffer) => void {
  let pending: Buffer | undefined
  return chunk => {
    // A carriage return only ever ends a line here, because JSON escapes it.
    const clean = chunk.includes(carriageReturn) ? Buffer.from(chunk.filter(byte => byte !== carriageReturn)) : chunk
    const bytes = pending === undefined ? clean : Buffer.concat([pending, clean])
    const wholeEnd = bytes.lastIndexOf(frameEnd)
    pending = undefined
    if (wholeEnd === -1) {
      pending = bytes
      return
    }
    if (wholeEnd + frameEnd.length < bytes.length) pending = bytes.subarray(wholeEnd + frameEnd.length)
    const text = bytes.toString('utf8', 0, wholeEnd + frameEnd.length)
    let startOffset = 0
    for (let endOffset = text.indexOf(frameEnd); endOffset !== -1; endOffset = text.indexOf(frameEnd, startOffset)) {
      readUsualFrame(text, startOffset, endOffset, listener)
      startOffset = endOffset + frameEnd.length
    }
  }
}
