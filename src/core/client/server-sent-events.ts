/** Parses server-sent events from the chunks of a response body. */

/** One event; `event` is `message` if the stream doesn't specify a type. */
export interface ServerSentEvent {
  id: string | undefined
  event: string
  data: string
}

/** Largest accepted event, in characters. */
const maxEventLength = 8 * 1024 * 1024
const eventEndPattern = /\r\n\r\n|\n\n|\r\r/
/** Characters of the end of an event that earlier chunks may hold. */
const splitEndLength = 3

function parseEvent (block: string): ServerSentEvent | undefined {
  let id: string | undefined
  let event = 'message'
  const data: string[] = []
  for (const line of block.split(/\r\n|\n|\r/)) {
    const colon = line.indexOf(':')
    if (colon <= 0) continue
    const field = line.slice(0, colon)
    const value = line.slice(line[colon + 1] === ' ' ? colon + 2 : colon + 1)
    if (field === 'id') id = value
    if (field === 'event') event = value
    if (field === 'data') data.push(value)
  }
  return data.length === 0 ? undefined : { id, event, data: data.join('\n') }
}

/** Yields complete events. A last event without its terminating empty line is dropped, as the standard requires. */
export async function * readServerSentEvents (body: AsyncIterable<Uint8Array>): AsyncGenerator<ServerSentEvent> {
  const decoder = new TextDecoder()
  /** Parts of an event that isn't complete; joined only once its end may have arrived, because each join takes time for the whole event. */
  let parts: string[] = []
  let partsLength = 0
  let lastChars = ''
  for await (const chunk of body) {
    const text = decoder.decode(chunk, { stream: true })
    parts.push(text)
    partsLength += text.length
    lastChars += text
    const mayHaveEnd = eventEndPattern.test(lastChars)
    lastChars = lastChars.slice(-splitEndLength)
    if (partsLength > maxEventLength && !mayHaveEnd) throw new Error(`an event is longer than ${maxEventLength} characters`)
    if (!mayHaveEnd) continue
    const pending = parts.join('')
    // A carriage return at the end of the chunk may be the first half of a CRLF.
    const held = pending.endsWith('\r') ? '\r' : ''
    const blocks = pending.slice(0, pending.length - held.length).split(eventEndPattern)
    const rest = (blocks.pop() ?? '') + held
    parts = [rest]
    partsLength = rest.length
    lastChars = rest.slice(-splitEndLength)
    if (rest.length > maxEventLength) throw new Error(`an event is longer than ${maxEventLength} characters`)
    for (const block of blocks) {
      const event = parseEvent(block)
      if (event !== undefined) yield event
    }
  }
}
