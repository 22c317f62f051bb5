/**
 * Server-sent events from buffers: bytes are decoded once per chunk, and the
 * data of an event is handed on as the server wrote it.
 */

/** Hears one event; `id` is undefined when the event has none. */
export type SseListener = (data: string, id: string | undefined) => void

const carriageReturn = 13
const newline = 10
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

function endsWithFrame (bytes: Buffer): boolean {
  return bytes[bytes.length - 1] === newline && bytes[bytes.length - 2] === newline
}

/** Creates a parser of one stream; give it the chunks in order. */
export function createSseParser (listener: SseListener): (chunk: Buffer) => void {
  let pending: Buffer | undefined

  /** Takes the whole events out of what came; the rest waits for the next chunk. */
  function takeWhole (bytes: Buffer): string {
    // A chunk that ends with an event is the usual case, and needs no search.
    if (endsWithFrame(bytes)) return bytes.toString()
    const wholeEnd = bytes.lastIndexOf(frameEnd)
    const length = wholeEnd === -1 ? 0 : wholeEnd + frameEnd.length
    pending = bytes.subarray(length)
    return bytes.toString('utf8', 0, length)
  }

  return chunk => {
    const bytes = pending === undefined ? chunk : Buffer.concat([pending, chunk])
    pending = undefined
    // A carriage return only ever ends a line here, because JSON escapes it.
    const text = takeWhole(bytes.includes(carriageReturn) ? Buffer.from(bytes.filter(byte => byte !== carriageReturn)) : bytes)
    let startOffset = 0
    for (let endOffset = text.indexOf(frameEnd); endOffset !== -1; endOffset = text.indexOf(frameEnd, startOffset)) {
      readUsualFrame(text, startOffset, endOffset, listener)
      startOffset = endOffset + frameEnd.length
    }
  }
}
