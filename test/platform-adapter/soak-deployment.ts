/** Configuration, backend server entries, headers and node settings of the soak run, in the platform's formats. */
import { formatChunk, formatResponse } from '../../src/stand-ins/raw-backend/index.ts'
import { renderSettings } from './render-settings.ts'
import type { Socket } from 'node:net'
import type { RawRequestHandler } from '../../src/stand-ins/raw-backend/index.ts'

export { startPlatform } from './platform-stand-in.ts'

const requestIdHeader = 'x-cyclamenshunt-attempt-id'
const signatureHeader = 'x-cyclamenshunt-response-seal'
const leavingHeader = 'server-leaving'
const limitHeader = 'server-limit'
const misdirectedStatus = 421
const service = 'registry'
const engineService = 'models'
const promptPartsHeader = 'x-cyclamenshunt-prompt-prefix'

/** Request timeout of all routes but those of streams and large answers. */
export const routeTimeoutMs = 2_000
/** Request timeout of the routes of streams and large answers. */
export const longTimeoutMs = 15_000
/** Time after SIGTERM within which a node's process has to end by itself. */
export const graceMs = 8_000
export const largeBodyBytes = 8 * 1024 * 1024
export const configurationKey = 'op/config'
export const readyPath = '/cyclamenshunt/ready'

function createRoute (name: string, path: string, kind: string, attempts: number, routeService = service, timeoutMs = routeTimeoutMs) {
  return { name, host: '127.0.0.1', path_prefix: path, kind, timeout_ms: timeoutMs, slo_ms: 1_000, service: routeService, max_attempts: attempts }
}

/** Creates the configuration with the given version: the routes of the load, and a probe route that only this version has. */
export function createConfiguration (version: number) {
  return {
    version,
    routes: [
      createRoute('stream', '/stream/', 'streaming', 1, engineService, longTimeoutMs),
      { ...createRoute('resumable', '/resumable/', 'streaming', 3, engineService, longTimeoutMs), stream_resume: true },
      createRoute('large', '/large/', 'safe', 3, service, longTimeoutMs),
      createRoute('look-up', '/look-up/', 'safe', 3),
      createRoute('register', '/register/', 'non_idempotent', 3),
      createRoute('probe', `/version-${version}/`, 'safe', 1),
      { ...createRoute('draft', '/draft/', 'streaming', 3, engineService), stream_resume: true, gap_slo_ms: 500 }
    ],
    services: [{ name: service, max_connections: 100 }, { name: engineService, max_connections: 100, engine: { slots: 16, kv_capacity: 100_000 } }],
    tenants: [{ name: 'agency', api_keys: ['key-1'], unit: 'token', uncached_tokens: 1, rate_per_s: 100_000, burst: 100_000 }]
  }
}

/** Keys of the operator's order to move the service to a version, and of the state of that move. */
export const moveOrderKey = `op/rollout/${service}`
export const moveStateKey = `status/rollout/${service}`

/** Creates the order to move the service to a version. */
export function createMoveOrder (version: string, durationMs: number) {
  return { service, target: version, duration_s: durationMs / 1_000 }
}

/** Settings of a node that moves services; `renewalMs` is the interval at which backend servers renew their registrations. */
export function moveSettings (renewalMs: number): Record<string, string> {
  return { heartbeat_ms: String(renewalMs), 'bounds.exposure_slack': '20' }
}

/** The result of a move, from the value of its state; undefined while it has none. */
export function moveResultOf (value: string | undefined): 'done' | 'taken-back' | undefined {
  const { state } = JSON.parse(value ?? '{}') as { state?: string }
  return state === 'completed' ? 'done' : state === 'rolled_back' ? 'taken-back' : undefined
}

export function backendEntryKey (backend: string): string {
  return `servers/${backend}`
}

export function createBackendEntry (port: number, state: 'ready' | 'draining', sequence: number, startedAtMs: number, isEngine = false, version = 'v1') {
  return { service: isEngine ? engineService : service, address: `127.0.0.1:${port}`, zone: 'a', version, slots: 16, state, sequence, born: startedAtMs }
}

export function requestHeaders (id: string): Record<string, string> {
  return { [requestIdHeader]: id, authorization: 'Bearer key-1' }
}

export function isFromBackend (headers: Record<string, unknown>): boolean {
  return headers[signatureHeader] !== undefined
}

/** Headers of a request with a prompt. The last part is its own. */
export function promptHeaders (id: string, sharedParts: readonly string[]): Record<string, string> {
  const parts = [...sharedParts.map(part => `${part}:100`), `${id}:50`]
  return { 'x-cyclamenshunt-token-count': `${sharedParts.length * 100 + 50},10`, [promptPartsHeader]: parts.join(',') }
}

/** The shared parts of a prompt, from its headers. */
function sharedPartsOf (headers: Record<string, string>): string[] {
  return (headers[promptPartsHeader] ?? '').split(',').slice(0, -1).map(part => part.split(':')[0] ?? '')
}

/** Whether a response says that its backend server is leaving. */
export function isLeaving (headers: Record<string, unknown>): boolean {
  return headers[leavingHeader] === '1'
}

/** Whether a response names a limit of its backend server. */
export function namesLimit (headers: Record<string, unknown>): boolean {
  return headers[limitHeader] !== undefined
}

/** The backend server that sent a response. */
export function backendOf (headers: Record<string, unknown>): string {
  return String(headers[signatureHeader] ?? '')
}

/** What a backend server says beside its responses. */
export interface BackendMode {
  isLeaving: boolean
  /** Pause in seconds that it asks for instead of running requests; undefined if it runs them. */
  pauseSeconds: number | undefined
  /** Requests a second that it names as its limit, and since when; undefined without one. */
  limit: { perSecond: number, sinceMs: number } | undefined
}

/** Called for each request that reaches a backend server, with what the server says at that time. */
export type OnArrival = (id: string, said: Pick<BackendMode, 'pauseSeconds' | 'limit'>) => void

/** How a backend server crashes. */
export interface BackendCrash {
  /** Whether a request with this path crashes the server that runs it. */
  crashesOn: (path: string) => boolean
  /** Ends the server's connections and refuses new ones. */
  crash: () => void
}

/** Called when a backend server begins to run a request, and when its work is done, which it isn't if the connection closes before. */
export interface RunObserver {
  onRun: (id: string) => void
  onRunEnd: (id: string) => void
}

/** The body of a large answer. */
export function formatLargeBody (id: string): string {
  const line = `${id}\n`
  return line.repeat(Math.ceil(largeBodyBytes / line.length))
}

/** Events of a stream, up to the last one. */
export function formatEvents (id: string, lastEvent: number): string {
  return Array.from({ length: lastEvent }, (_, index) => formatEvent(id, index + 1)).join('')
}

function formatEvent (id: string, number: number): string {
  return `id: ${number}\ndata: ${id}\n\n`
}

/** Path of a stream. One without a length ends with the engine's connection. */
export function streamPath ({ isResumable, events, intervalMs, hasLength }: { isResumable: boolean, events: number, intervalMs: number, hasLength: boolean }): string {
  return `/${isResumable ? 'resumable' : 'stream'}/a?events=${events}&interval=${intervalMs}&length=${hasLength ? 1 : 0}`
}

/**
 * Creates the handler of a backend server that reports each request that it runs and responds after `workMs` with its
 * id, or with a large body.
 */
export function createBackendHandler (backend: string, mode: BackendMode, onArrival: OnArrival, { onRun, onRunEnd }: RunObserver, workMs: () => number, { crashesOn, crash }: BackendCrash): RawRequestHandler {
  return ({ target, headers }, socket) => {
    const id = headers[requestIdHeader] ?? ''
    const answerHeaders = { [requestIdHeader]: id, [signatureHeader]: backend, ...(mode.isLeaving ? { [leavingHeader]: '1' } : {}), ...(mode.limit === undefined ? {} : { [limitHeader]: String(mode.limit.perSecond) }) }
    if (headers['x-cyclamenshunt-expect-instance'] !== backend) {
      socket.write(formatResponse(misdirectedStatus, answerHeaders, ''))
      return
    }
    onArrival(id, { pauseSeconds: mode.pauseSeconds, limit: mode.limit })
    if (mode.pauseSeconds !== undefined) {
      socket.write(formatResponse(503, { ...answerHeaders, 'x-cyclamenshunt-not-executed': '1', 'retry-after': String(mode.pauseSeconds) }, ''))
      return
    }
    onRun(id)
    if (crashesOn(target)) {
      setTimeout(() => { if (socket.writable) crash() }, crashAfterMs)
      return
    }
    setTimeout(() => {
      if (!socket.writable) return
      socket.write(formatResponse(200, answerHeaders, target.startsWith('/large/') ? formatLargeBody(id) : id))
      onRunEnd(id)
    }, workMs())
  }
}

/** Creates the handler of a backend server that answers after `workMs`, with 500 if `fails` says so. */
export function createVersionHandler (backend: string, fails: () => boolean, workMs: () => number): RawRequestHandler {
  return ({ headers }, socket) => {
    const id = headers[requestIdHeader] ?? ''
    const answerHeaders = { [requestIdHeader]: id, [signatureHeader]: backend }
    const isMisdirected = headers['x-cyclamenshunt-expect-instance'] !== backend
    setTimeout(() => {
      if (socket.writable) socket.write(formatResponse(isMisdirected ? misdirectedStatus : fails() ? 500 : 200, answerHeaders, id))
    }, isMisdirected ? 0 : workMs())
  }
}

/** What an engine does with prompts. */
export interface EngineOptions {
  /** Whether a prompt with these shared parts crashes the engine when its answer begins. */
  crashesOn: (sharedParts: readonly string[]) => boolean
  /** Ends the engine's connections and refuses new ones. */
  crash: () => void
  onArrival: (id: string, sharedParts: readonly string[]) => void
  /** Observes the requests of the routes of streams. */
  observer: RunObserver
  workMs: () => number
}

/** Writes the events of a stream at its interval, until the connection closes. */
function writeStream (target: string, headers: Record<string, string>, answerHeaders: Record<string, string>, id: string, { onRun, onRunEnd }: RunObserver, socket: Socket): void {
  const query = new URLSearchParams(target.split('?')[1])
  const [events, intervalMs] = [Number(query.get('events')), Number(query.get('interval'))]
  const hasLength = query.get('length') === '1'
  let written = Number(headers['last-event-id'] ?? 0)
  onRun(id)
  socket.write(formatHead({ ...answerHeaders, 'content-type': 'text/event-stream', ...(hasLength ? { 'transfer-encoding': 'chunked' } : { connection: 'close' }) }))
  const timer = setInterval(() => {
    if (!socket.writable) return clearInterval(timer)
    written += 1
    const event = formatEvent(id, written)
    socket.write(hasLength ? formatChunk(event) : event)
    if (written < events) return
    clearInterval(timer)
    if (hasLength) socket.write('0\r\n\r\n')
    else socket.end()
    onRunEnd(id)
  }, intervalMs)
}

function formatHead (headers: Record<string, string>): string {
  return ['HTTP/1.1 200 OK', ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`), '', ''].join('\r\n')
}

/** Creates the handler of an engine that streams the request's id in two events, or in as many as a stream's path says. */
export function createEngineHandler (engine: string, { crashesOn, crash, onArrival, observer, workMs }: EngineOptions): RawRequestHandler {
  return ({ target, headers }, socket) => {
    const id = headers[requestIdHeader] ?? ''
    const answerHeaders = { [requestIdHeader]: id, [signatureHeader]: engine }
    if (headers['x-cyclamenshunt-expect-instance'] !== engine) {
      socket.write(formatResponse(misdirectedStatus, answerHeaders, ''))
      return
    }
    if (!target.startsWith('/draft/')) return writeStream(target, headers, answerHeaders, id, observer, socket)
    const parts = sharedPartsOf(headers)
    onArrival(id, parts)
    setTimeout(() => {
      if (!socket.writable) return
      socket.write(formatHead({ ...answerHeaders, 'content-type': 'text/event-stream', 'transfer-encoding': 'chunked' }))
      setTimeout(() => {
        if (crashesOn(parts)) return crash()
        const first = Number(headers['last-event-id'] ?? 0) + 1
        const events = [1, 2].filter(number => number >= first).map(number => formatChunk(formatEvent(id, number)))
        if (socket.writable) socket.write(`${events.join('')}0\r\n\r\n`)
      }, engineStartMs)
    }, workMs())
  }
}

/** Time from the begin of a request until the crash that it causes. */
const crashAfterMs = 20
/** Time from the head of an engine's answer to its first event. */
const engineStartMs = 40

/** Ports of one node: ten consecutive ports from the first. */
export function createNodePorts (firstPort: number) {
  return { callers: firstPort, readiness: firstPort + 1, control: firstPort + 2, firstPeer: firstPort + 3, lastPeer: firstPort + 9 }
}

/** Renders the settings file of one node. */
export function nodeSettings (node: string, firstPort: number, storePort: number, seeds: number[], isFirstStart: boolean, overrides: Record<string, string> = {}): string {
  const ports = createNodePorts(firstPort)
  return renderSettings({
    node_name: node,
    'platform.address': `127.0.0.1:${storePort}`,
    'cloud.address': `127.0.0.1:${storePort}`,
    'listen.front': `127.0.0.1:${ports.callers}`,
    'listen.readiness': `127.0.0.1:${ports.readiness}`,
    'listen.control': `127.0.0.1:${ports.control}`,
    internal_ports: `${ports.firstPeer},${ports.lastPeer}`,
    seeds: seeds.map(port => `127.0.0.1:${port}`).join(','),
    bootstrap: String(isFirstStart),
    'bounds.report_window_s': '2',
    'bounds.grace_s': String(graceMs / 1_000),
    ...overrides
  })
}
