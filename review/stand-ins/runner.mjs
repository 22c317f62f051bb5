/**
 * Stand-in of a runner on a plain TCP socket, so that a case decides about
 * every byte of its answers. It serves one request at a time on a connection.
 */
import { createServer } from 'node:net'

const headEnd = '\r\n\r\n'
const heartbeatMs = 1_200

/** Formats the head of an answer. */
export function formatHead (status, headers) {
  return [`HTTP/1.1 ${status} Status`, ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`), '', ''].join('\r\n')
}

/** Formats a whole answer with its length. */
export function formatAnswer (status, headers, body = '') {
  return formatHead(status, { ...headers, 'Content-Length': Buffer.byteLength(body) }) + body
}

/** Headers of a signed answer to a request. */
export function answerHeaders (runner, request) {
  return { 'X-Cyclamenshunt-Attempt-Id': request.id, 'X-Cyclamenshunt-Response-Seal': `${runner}.${request.id}` }
}

function parseHead (text) {
  const [requestLine, ...lines] = text.split('\r\n')
  const [method, target] = requestLine.split(' ')
  const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
  return { method, target, headers, id: headers['x-cyclamenshunt-attempt-id'] ?? '' }
}

/**
 * Starts a runner that writes its heartbeats to the store of `platform`. `handle(request, socket, connection)`
 * gets the requests that name this runner; `connection` keeps a case's data on the connection.
 */
export async function startRunner ({ id, service, slots, zone = 'zone-a', version = 'v1', platform, handle }) {
  const born = Date.now()
  const sockets = new Set()
  let sequence = 0
  let state = 'ready'
  let lastBeatAtMs

  const server = createServer(socket => {
    const connection = {}
    let pending = ''
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => sockets.delete(socket))
    socket.setEncoding('latin1')
    socket.on('data', text => {
      pending += text
      for (;;) {
        const end = pending.indexOf(headEnd)
        if (end === -1) return
        const request = parseHead(pending.slice(0, end))
        const length = Number(request.headers['content-length'] ?? 0)
        const bodyAt = end + headEnd.length
        if (pending.length < bodyAt + length) return
        request.body = pending.slice(bodyAt, bodyAt + length)
        pending = pending.slice(bodyAt + length)
        if (request.headers['x-cyclamenshunt-expect-instance'] === id) handle(request, socket, connection)
        else socket.write(formatAnswer(421, { 'X-Cyclamenshunt-Instance-Id': id }))
      }
    })
  })
  await new Promise(resolve => server.listen({ host: '127.0.0.1', port: 0 }, resolve))

  function beat (newState = state) {
    sequence += 1
    state = newState
    lastBeatAtMs = performance.now()
    platform.put(`servers/${id}`, { service, address: `127.0.0.1:${server.address().port}`, zone, version, slots, state, cold_remaining_ms: 0, sequence, born })
  }

  beat()
  const beating = setInterval(() => beat(), heartbeatMs)
  return {
    id,
    beat,
    lastBeatAtMs: () => lastBeatAtMs,
    close: () => {
      clearInterval(beating)
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}
