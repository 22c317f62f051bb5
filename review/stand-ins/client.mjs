/** Stand-in of a client: Node's own HTTP client with connections that are kept open. */
import { Agent, request as sendRequest } from 'node:http'

/** Creates a client of one node. */
export function createClient ({ host = '127.0.0.1', port, key }) {
  const agent = new Agent({ keepAlive: true, maxSockets: Infinity })

  /**
   * Sends a request. Resolves with the status and the body once the answer has ended: `isComplete` tells whether
   * its framing says that it is whole. `status` is undefined when the connection ended before an answer.
   */
  function send ({ id, method = 'POST', path, body = '', deadlineMs, headers = {}, agent: other = agent }) {
    return new Promise(resolve => {
      const request = sendRequest({
        host,
        port,
        method,
        path,
        agent: other,
        headers: { Host: 'desk.example', Authorization: `Bearer ${key}`, 'X-Cyclamenshunt-Attempt-Id': id, 'X-Cyclamenshunt-Deadline-Ms': deadlineMs, 'Content-Length': Buffer.byteLength(body), ...headers }
      })
      request.setTimeout(deadlineMs + 2_000, () => request.destroy(new Error('no answer in time')))
      request.on('error', error => resolve({ id, status: undefined, isComplete: false, body: '', cause: error.code ?? error.message }))
      request.on('response', response => {
        const answer = { id, status: response.statusCode, seal: response.headers['x-cyclamenshunt-response-seal'], body: '', cause: '' }
        response.setEncoding('utf8')
        response.on('data', text => { answer.body += text })
        response.on('error', error => { answer.cause = error.code ?? error.message })
        response.on('close', () => resolve({ ...answer, isComplete: response.complete }))
      })
      request.end(body)
    })
  }

  return { send, close: () => agent.destroy() }
}
