/** A node in the test's process that is stopped while callers' connections are open, and what its backend servers answer. */
import { parseSettings } from '../../platform/settings.ts'
import { startNode } from '../../platform/node.ts'
import { createSystemClock } from '../../src/core/clock/index.ts'
import { formatChunk, formatResponse, startRawBackend } from '../../src/stand-ins/raw-backend/index.ts'
import { findFreePorts } from '../free-ports.ts'
import { startPlatform } from './platform-stand-in.ts'
import { renderSettings } from './render-settings.ts'
import type { ExecutionContext } from 'ava'
import type { RawRequest, RawRequestHandler } from '../../src/stand-ins/raw-backend/index.ts'

const clock = createSystemClock()
/** Grace period by default: the node stops listening two seconds after the signal at the earliest, and ends its last connections before this time is over. */
export const graceMs = 4_000
/** Headers of a backend server's response to the request. */
export function signed ({ headers }: RawRequest): Record<string, string> {
  return { 'x-cyclamenshunt-attempt-id': headers['x-cyclamenshunt-attempt-id'] ?? '', 'x-cyclamenshunt-response-seal': 's' }
}

/** Streams events until `isLast` holds or the connection closes, with a pause after each. */
export function streamUntil (isLast: (eventCount: number) => boolean, pauseMs: () => number = () => 20): RawRequestHandler {
  return async (request, socket) => {
    const headers = Object.entries({ ...signed(request), 'content-type': 'text/event-stream', 'transfer-encoding': 'chunked' })
    socket.write(['HTTP/1.1 200 Status', ...headers.map(([name, value]) => `${name}: ${value}`), '', ''].join('\r\n'))
    for (let count = 1; socket.writable; count += 1) {
      socket.write(formatChunk(`id: ${count}\ndata: piece\n\n`))
      if (isLast(count)) {
        socket.write('0\r\n\r\n')
        return
      }
      await clock.sleep(pauseMs())
    }
  }
}

export const respondOk: RawRequestHandler = (request, socket) => { socket.write(formatResponse(200, signed(request), 'whole')) }

/** Longest time of an at-most-once call, which has to fit into the rest of a stop. */
const defaultCallTimeoutMs = 1_000
const defaultTimeoutMs = 15_000

function createRoute (name: string, kind: string, timeoutMs: number) {
  return { name, host: '127.0.0.1', path_prefix: `/${name}/`, kind, timeout_ms: timeoutMs, slo_ms: 1_000, service: name, max_attempts: 1 }
}

interface StoppableNodeOptions {
  /** Timeout of the route of the service `calls`. */
  callTimeoutMs?: number
  stopGraceMs?: number
}

/** Starts a node before one backend server for each service. */
export async function startStoppableNode (t: ExecutionContext, handlers: Record<string, RawRequestHandler>, { callTimeoutMs = defaultCallTimeoutMs, stopGraceMs = graceMs }: StoppableNodeOptions = {}) {
  const platform = await startPlatform()
  const services = Object.keys(handlers)
  const backends = new Map(await Promise.all(services.map(async service => [service, await startRawBackend(handlers[service]!)] as const)))
  for (const [service, { port }] of backends) await platform.put(`servers/i-${service}`, { service, address: `127.0.0.1:${port}`, zone: 'a', version: 'v1', slots: 16, state: 'ready', sequence: 1 })
  await platform.put('op/config', {
    version: 1,
    routes: services.map(name => createRoute(name, name === 'stream' ? 'streaming' : 'non_idempotent', name === 'calls' ? callTimeoutMs : defaultTimeoutMs)),
    services: services.map(name => ({ name, max_connections: 100 })),
    limits: { header_timeout_ms: 10_000 }
  })
  const port = await findFreePorts(10)
  const settings = parseSettings(renderSettings({
    'platform.address': platform.address,
    'cloud.address': platform.address,
    'listen.front': `127.0.0.1:${port}`,
    'listen.readiness': `127.0.0.1:${port + 1}`,
    'listen.control': `127.0.0.1:${port + 2}`,
    internal_ports: `${port + 3},${port + 9}`,
    'bounds.grace_s': String(stopGraceMs / 1_000)
  }), 'node.conf')
  const lines: Array<Record<string, unknown>> = []
  const node = await startNode(settings, { log: (event, fields) => { lines.push({ event, ...fields }) } })
  let stopping: Promise<void> | undefined
  const stop = (): Promise<void> => {
    stopping ??= node.stop()
    return stopping
  }
  t.teardown(async () => {
    await stop()
    for (const backend of backends.values()) await backend.close()
    await platform.close()
  })
  while ((await fetch(`http://127.0.0.1:${port + 1}/cyclamenshunt/ready`)).status !== 200) await clock.sleep(20)
  return { port, stop, lines, requestsOf: (service: string) => backends.get(service)!.requests }
}

/** The head of a request to a service. */
export function requestHead (service: string, id: string, framing: string, method = 'POST'): string {
  return `${method} /${service}/ HTTP/1.1\r\nhost: 127.0.0.1\r\nx-cyclamenshunt-attempt-id: ${id}\r\n${framing}\r\n\r\n`
}

/** A request to a service with a short body. */
export function post (service: string, id: string): string {
  return `${requestHead(service, id, 'content-length: 4')}body`
}
