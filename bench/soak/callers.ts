/** Callers that keep their connections open and use them until the process is gone. */
import { Agent, request as httpRequest } from 'node:http'
import { isFromBackend, requestHeaders, routeTimeoutMs } from '../../test/platform-adapter/soak-deployment.ts'
import type { CallEnd } from './checks.ts'
import type { NodeProcess } from './node-process.ts'

/** Time beyond the route's in which a request has to have some end; a busy machine is slow. */
const endSlackMs = 3_000

/** A caller with its own connections. */
export interface Caller {
  call: (node: NodeProcess, path: string, id: string, method?: string) => Promise<CallEnd>
  close: () => void
}

/** Creates a caller. */
export function createCaller (): Caller {
  const agent = new Agent({ keepAlive: true, maxSockets: 8 })

  function call (node: NodeProcess, path: string, id: string, method = 'GET'): Promise<CallEnd> {
    const startedAtMs = performance.now()
    return new Promise(resolve => {
      let hadBytes = false
      const sent = httpRequest({ agent, host: '127.0.0.1', port: node.callersPort, path, method, headers: requestHeaders(id) }, response => {
        hadBytes = true
        let body = ''
        response.setEncoding('utf8')
        response.on('data', (text: string) => { body += text })
        response.on('end', () => resolve({ kind: 'answer', status: response.statusCode ?? 0, isFromBackend: isFromBackend(response.headers), body }))
        response.on('error', () => resolve({ kind: 'cut', afterMs: Math.round(performance.now() - startedAtMs), hadBytes }))
      })
      sent.setTimeout(routeTimeoutMs + endSlackMs, () => {
        resolve({ kind: 'no-end' })
        sent.destroy()
      })
      sent.on('error', (error: NodeJS.ErrnoException) => {
        resolve(error.code === 'ECONNREFUSED' ? { kind: 'refused' } : { kind: 'cut', afterMs: Math.round(performance.now() - startedAtMs), hadBytes })
      })
      sent.end()
    })
  }

  return { call, close: () => agent.destroy() }
}
