/** Streams of events from a stand-in of a model runner, and what a client received of one. */
import { answerHeaders, formatHead } from './runner.mjs'

const framings = { chunked: { 'Transfer-Encoding': 'chunked' }, unframed: { Connection: 'close' } }

function formatChunk (text) {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`
}

/**
 * Writes events at an interval until all are written or the connection closes, which ends the work. An `unframed`
 * answer has no length and ends with its connection. `onEnd` gets the number of events that were written.
 */
export function writeStream ({ runner, request, socket, framing, eventCount, eventIntervalMs, onEnd = () => {} }) {
  let written = 0
  const encode = framing === 'chunked' ? formatChunk : text => text
  socket.write(formatHead(200, { ...answerHeaders(runner, request), 'Content-Type': 'text/event-stream', ...framings[framing] }))
  const timer = setInterval(() => {
    written += 1
    socket.write(encode(`id: ${written}\ndata: ${request.id} ${written} of ${eventCount}\n\n`))
    if (written < eventCount) return
    clearInterval(timer)
    if (framing === 'chunked') socket.write('0\r\n\r\n')
    else socket.end()
    onEnd(written)
  }, eventIntervalMs)
  socket.once('close', () => {
    clearInterval(timer)
    if (written < eventCount) onEnd(written)
  })
}

/** Number of whole events in the body of an answer. */
export function countEvents (body) {
  return body.split('\n\n').length - 1
}
