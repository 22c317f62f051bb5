/** A client: sends requests over kept connections, each with its own attempt id and deadline, and records the answers. */
import { Agent, request as sendHttp } from 'node:http'

let lastAttempt = 0

export function createClient ({ record, host = 'case.example' }) {
  const agents = new Map()

  function agentOf ({ name }) {
    if (!agents.has(name)) agents.set(name, new Agent({ keepAlive: true, maxSockets: 64 }))
    return agents.get(name)
  }

  return {
    /** Sends one request to a node; resolves with its status, or 0 if the connection ended without an answer. */
    send: (node, { method = 'GET', path, key, deadlineMs = 1_500, body }) => new Promise(resolve => {
      lastAttempt += 1
      const attempt = `a${lastAttempt.toString().padStart(8, '0')}`
      const sentAtMs = Date.now()
      record(`${attempt} sent to ${node.name} ${method} ${path}`)
      const headers = { host, 'x-cyclamenshunt-attempt-id': attempt, 'x-cyclamenshunt-deadline-ms': deadlineMs, ...(key === undefined ? {} : { authorization: `Bearer ${key}` }), ...(body === undefined ? {} : { 'content-length': body.length }) }
      const outgoing = sendHttp({ host: node.host, port: node.port, method, path, headers, agent: agentOf(node) })
      function finish (status, text = '') {
        clearTimeout(timer)
        record(`${attempt} answered ${status} ${text.slice(0, 120)}`)
        resolve({ attempt, sentAtMs, status, text })
      }
      const timer = setTimeout(() => outgoing.destroy(new Error('the deadline passed')), deadlineMs)
      outgoing.on('response', answer => {
        let text = ''
        answer.on('data', chunk => { text += chunk })
        answer.on('end', () => finish(answer.statusCode, text))
        answer.on('error', error => finish(0, error.message))
      })
      outgoing.on('error', error => finish(0, error.message))
      outgoing.end(body)
    }),
    close: () => { for (const agent of agents.values()) agent.destroy() }
  }
}
