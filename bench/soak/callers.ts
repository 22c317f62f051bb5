/** HTTP callers with keep-alive connections, which they reuse until the node's process exits. */
import { Agent, request as httpRequest } from 'node:http'
import { backendOf, isFromBackend, isLeaving, namesLimit, requestHeaders, routeTimeoutMs } from '../../test/platform-adapter/soak-deployment.ts'
import type { CallResult } from './checks.ts'
import type { NodeProcess } from './node-process.ts'

/** Time after the route's timeout within which a request must have a result; allows for a busy machine. */
const resultSlackMs = 3_000

/** A caller with its own connection pool. */
export interface Caller {
  call: (node: NodeProcess, path: string, id: string, options?: { method?: string, headers?: Record<string, string> }) => Promise<CallResult>
  close: () => void
}

export function createCaller (): Caller {
  const agent = new Agent({ keepAlive: true, maxSockets: 8 })

  function call (node: NodeProcess, path: string, id: string, { method = 'GET', headers = {} }: { method?: string, headers?: Record<string, string> } = {}): Promise<CallResult> {
    const startedAtMs = performance.now()
    return new Promise(resolve => {
      let receivedBytes = false
      const clientRequest = httpRequest({ agent, host: '127.0.0.1', port: node.callersPort, path, method, headers: { ...requestHeaders(id), ...headers } }, response => {
        receivedBytes = true
        let body = ''
        response.setEncoding('utf8')
        response.on('data', (text: string) => { body += text })
        response.on('end', () => resolve({ kind: 'answer', status: response.statusCode ?? 0, isFromBackend: isFromBackend(response.headers), leavingBackend: isLeaving(response.headers) ? backendOf(response.headers) : undefined, limitedBackend: namesLimit(response.headers) ? backendOf(response.headers) : undefined, body }))
        response.on('error', () => resolve({ kind: 'cut', elapsedMs: Math.round(performance.now() - startedAtMs), receivedBytes }))
      })
      clientRequest.setTimeout(routeTimeoutMs + resultSlackMs, () => {
        resolve({ kind: 'no-end' })
        clientRequest.destroy()
      })
      clientRequest.on('error', (error: NodeJS.ErrnoException) => {
        resolve(error.code === 'ECONNREFUSED' ? { kind: 'refused' } : { kind: 'cut', elapsedMs: Math.round(performance.now() - startedAtMs), receivedBytes })
      })
      clientRequest.end()
    })
  }

  return { call, close: () => agent.destroy() }
}
