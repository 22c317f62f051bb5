/** Streams of backend servers that have neither a length nor chunks and end with their connection. */
import test from 'ava'
import { callRaw } from './call-raw.ts'
import { signed, startGateway } from './deployment.ts'
import type { Socket } from 'node:net'
import type { RawRequestHandler } from '../../src/stand-ins/raw-backend/index.ts'

function event (id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`
}

function headOf (request: string): string {
  return ['HTTP/1.1 200 OK', ...Object.entries(signed(request)).map(([name, value]) => `${name}: ${value}`), 'connection: close', '', ''].join('\r\n')
}

const endings: Record<string, (socket: Socket) => void> = {
  'a regular end': socket => { socket.end() },
  // The delay lets the caller's side read what was sent before the reset.
  'a reset': socket => { setTimeout(() => socket.resetAndDestroy(), 30) }
}

/** What the first server sends before its connection ends. */
const contents: Record<string, string> = {
  'between two events': event(1),
  'inside an event': `${event(1)}id: 2\nda`,
  'after its head': ''
}

/** Answers with the content and the ending at first, and with the rest of the stream afterwards. */
function failingOnce (content: string, end: (socket: Socket) => void): RawRequestHandler {
  let hasFailed = false
  return ({ headers }, socket) => {
    const id = headers['x-request'] ?? ''
    if (!hasFailed) {
      hasFailed = true
      socket.write(headOf(id) + content)
      end(socket)
      return
    }
    const rest = headers['last-event-id'] === '1' ? event(2) : event(1) + event(2)
    socket.end(headOf(id) + rest)
  }
}

for (const [ending, end] of Object.entries(endings)) {
  for (const [place, content] of Object.entries(contents)) {
    const isComplete = ending === 'a regular end' && place === 'between two events'

    test(`a stream that can't be resumed and has ${ending} ${place} reaches the caller as ${isComplete ? 'complete' : 'failed'}`, async t => {
      const handler = failingOnce(content, end)
      const { port } = await startGateway(t, [handler])
      const answer = await callRaw(port, '/once/', 'r-1')
      if (content === '') t.is(answer.status, 502)
      else t.deepEqual({ body: answer.body, broken: answer.broken }, { body: event(1), broken: !isComplete })
      t.like(await callRaw(port, '/once/', 'r-2'), { status: 200, body: event(1) + event(2) })
    })

    test(`a stream that can be resumed and has ${ending} ${place} reaches the caller whole`, async t => {
      const handler = failingOnce(content, end)
      const { port } = await startGateway(t, [handler, handler])
      const answer = await callRaw(port, '/resumable/', 'r-1')
      t.like(answer, { status: 200, body: isComplete ? event(1) : event(1) + event(2), broken: false })
    })
  }
}
