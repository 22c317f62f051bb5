/** A sound client: one request at a time on a kept connection, or on a new one. */
import { Agent, request as sendRequest } from 'node:http'
import { randomBytes } from 'node:crypto'

/** Creates a client of one node, with one kept connection. */
export function createClient (address) {
  const [host, port] = address.split(':')
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })

  /** Sends a request; resolves with what came of it. */
  function send ({ method = 'GET', path, hostName, key, deadlineMs, body, headers = {}, attempt = randomBytes(8).toString('hex') }) {
    return new Promise(resolve => {
      const sentAtMs = Date.now()
      const finish = result => resolve({ attempt, sentAtMs, tookMs: Date.now() - sentAtMs, ...result })
      const request = sendRequest({
        host,
        port,
        agent,
        method,
        path,
        headers: {
          host: hostName,
          'x-cyclamenshunt-attempt-id': attempt,
          'x-cyclamenshunt-deadline-ms': String(deadlineMs),
          ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
          ...(body === undefined ? {} : { 'content-length': body.length }),
          ...headers
        }
      }, response => {
        const chunks = []
        response.on('data', chunk => chunks.push(chunk))
        response.on('end', () => finish({ status: response.statusCode, seal: response.headers['x-cyclamenshunt-response-seal'], isWhole: response.complete, bytes: Buffer.concat(chunks).length, text: Buffer.concat(chunks).toString('latin1').slice(0, 300) }))
        response.on('error', error => finish({ status: response.statusCode, isWhole: false, error: error.code }))
        response.on('aborted', () => finish({ status: response.statusCode, isWhole: false, error: 'aborted' }))
      })
      request.on('error', error => finish({ error: error.code ?? error.message }))
      const timer = setTimeout(() => request.destroy(Object.assign(new Error('late'), { code: 'DEADLINE' })), deadlineMs + 500)
      request.on('close', () => clearTimeout(timer))
      request.end(body)
    })
  }

  return { send, close: () => agent.destroy() }
}
