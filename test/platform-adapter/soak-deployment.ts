/** Configuration, backend server entries, headers and node settings of the soak run, in the platform's formats. */
import { formatResponse } from '../../src/stand-ins/raw-backend/index.ts'
import { renderSettings } from './render-settings.ts'
import type { RawRequestHandler } from '../../src/stand-ins/raw-backend/index.ts'

export { startPlatform } from './platform-stand-in.ts'

export const requestIdHeader = 'x-cyclamenshunt-attempt-id'
export const signatureHeader = 'x-cyclamenshunt-response-seal'
export const notRunHeader = 'x-cyclamenshunt-not-executed'
export const expectedBackendHeader = 'x-cyclamenshunt-expect-instance'
const leavingHeader = 'server-leaving'
const limitHeader = 'server-limit'
export const misdirectedStatus = 421
const service = 'registry'
const engineService = 'models'
const deadlineHeader = 'x-cyclamenshunt-deadline-ms'
const tokenCountHeader = 'x-cyclamenshunt-token-count'
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

/** For how long engines are cold after a restart, and how many requests a second they take meanwhile. */
export interface ColdEngines {
  startMs: number
  perSecond: number
}

/** Creates the configuration with the given version: the routes of the load, and a probe route that only this version has. */
export function createConfiguration (version: number, cold: ColdEngines = { startMs: 0, perSecond: 0 }) {
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
    services: [{ name: service, max_connections: 100 }, { name: engineService, max_connections: 100, engine: { slots: 16, kv_capacity: 100_000 }, cold_start_s: cold.startMs / 1_000, cold_per_s: cold.perSecond }],
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

/** Key by which the operator evacuates a failure domain. */
export function evacuationKey (zone: string): string {
  return `op/evacuate/${zone}`
}

export function backendEntryKey (backend: string): string {
  return `servers/${backend}`
}

export function createBackendEntry (port: number, state: 'ready' | 'draining', sequence: number, startedAtMs: number, isEngine = false, version = 'v1', zone = 'a', coldMs = 0) {
  return { service: isEngine ? engineService : service, address: `127.0.0.1:${port}`, zone, version, slots: 16, state, sequence, born: startedAtMs, cold_remaining_ms: coldMs }
}

/** `timeoutMs` is how long the caller waits; undefined if the request doesn't say. */
export function requestHeaders (id: string, timeoutMs?: number): Record<string, string> {
  return { [requestIdHeader]: id, authorization: 'Bearer key-1', ...(timeoutMs === undefined ? {} : { [deadlineHeader]: String(timeoutMs) }) }
}

export function isFromBackend (headers: Record<string, unknown>): boolean {
  return headers[signatureHeader] !== undefined
}

/** Time after which a refused request may be sent again. */
export function retryAfterMs (headers: Record<string, string>): number {
  return Number(headers['retry-after'] ?? 0) * 1_000
}

/** Headers of a request that names the tokens of its answer. */
export function tokenHeaders (answerTokens: number): Record<string, string> {
  return { [tokenCountHeader]: `50,${answerTokens}` }
}

/** Headers of a request with a prompt. The last part is its own. */
export function promptHeaders (id: string, sharedParts: readonly string[]): Record<string, string> {
  const parts = [...sharedParts.map(part => `${part}:100`), `${id}:50`]
  return { [tokenCountHeader]: `${sharedParts.length * 100 + 50},10`, [promptPartsHeader]: parts.join(',') }
}

/** The shared parts of a prompt, from its headers. */
export function sharedPartsOf (headers: Record<string, string>): string[] {
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

/** How long a backend server works. */
export interface BackendWork {
  /** Time of a request at the normal pace. */
  workMs: () => number
  /** Waits for work that takes this time at the normal pace. */
  work: (workMs: number) => Promise<void>
}

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

/**
 * Creates the handler of a backend server that reports each request that it runs and responds after its work with its
 * id, or with a large body.
 */
export function createBackendHandler (backend: string, mode: BackendMode, onArrival: OnArrival, { onRun, onRunEnd }: RunObserver, { workMs, work }: BackendWork, { crashesOn, crash }: BackendCrash): RawRequestHandler {
  return async ({ target, headers }, socket) => {
    const id = headers[requestIdHeader] ?? ''
    const answerHeaders = { [requestIdHeader]: id, [signatureHeader]: backend, ...(mode.isLeaving ? { [leavingHeader]: '1' } : {}), ...(mode.limit === undefined ? {} : { [limitHeader]: String(mode.limit.perSecond) }) }
    if (headers[expectedBackendHeader] !== backend) {
      socket.write(formatResponse(misdirectedStatus, answerHeaders, ''))
      return
    }
    onArrival(id, { pauseSeconds: mode.pauseSeconds, limit: mode.limit })
    if (mode.pauseSeconds !== undefined) {
      socket.write(formatResponse(503, { ...answerHeaders, [notRunHeader]: '1', 'retry-after': String(mode.pauseSeconds) }, ''))
      return
    }
    onRun(id)
    if (crashesOn(target)) {
      setTimeout(() => { if (socket.writable) crash() }, crashAfterMs)
      return
    }
    await work(workMs())
    if (!socket.writable) return
    socket.write(formatResponse(200, answerHeaders, target.startsWith('/large/') ? formatLargeBody(id) : id))
    onRunEnd(id)
  }
}

/** Creates the handler of a backend server that answers after `workMs`, with 500 if `fails` says so. */
export function createVersionHandler (backend: string, fails: () => boolean, workMs: () => number): RawRequestHandler {
  return ({ headers }, socket) => {
    const id = headers[requestIdHeader] ?? ''
    const answerHeaders = { [requestIdHeader]: id, [signatureHeader]: backend }
    const isMisdirected = headers[expectedBackendHeader] !== backend
    setTimeout(() => {
      if (socket.writable) socket.write(formatResponse(isMisdirected ? misdirectedStatus : fails() ? 500 : 200, answerHeaders, id))
    }, isMisdirected ? 0 : workMs())
  }
}

/** Time from the begin of a request until the crash that it causes. */
const crashAfterMs = 20
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
