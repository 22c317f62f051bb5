/** The engines of the soak run: streams at the engine's pace, and prompts that may crash it. */
import { formatChunk, formatResponse } from '../../src/stand-ins/raw-backend/index.ts'
import { expectedBackendHeader, misdirectedStatus, requestIdHeader, sharedPartsOf, signatureHeader } from './soak-deployment.ts'
import type { Socket } from 'node:net'
import type { RawRequestHandler } from '../../src/stand-ins/raw-backend/index.ts'
import type { BackendWork, RunObserver } from './soak-deployment.ts'

/** Time from the head of an engine's answer to its first event. */
const engineStartMs = 40

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

/** What an engine does with prompts. */
export interface EngineOptions extends BackendWork {
  /** Whether a prompt with these shared parts crashes the engine when its answer begins. */
  crashesOn: (sharedParts: readonly string[]) => boolean
  /** Ends the engine's connections and refuses new ones. */
  crash: () => void
  onArrival: (id: string, sharedParts: readonly string[]) => void
  /** Observes the requests of the routes of streams. */
  observer: RunObserver
}

/** Writes the events of a stream at its interval and the engine's pace, until the connection closes. */
async function writeStream (target: string, headers: Record<string, string>, answerHeaders: Record<string, string>, id: string, { observer: { onRun, onRunEnd }, work }: Pick<EngineOptions, 'observer' | 'work'>, socket: Socket): Promise<void> {
  const query = new URLSearchParams(target.split('?')[1])
  const [events, intervalMs] = [Number(query.get('events')), Number(query.get('interval'))]
  const hasLength = query.get('length') === '1'
  let written = Number(headers['last-event-id'] ?? 0)
  onRun(id)
  // Without a duration, but an engine that stalls doesn't begin an answer.
  await work(0)
  if (socket.writable) socket.write(formatHead({ ...answerHeaders, 'content-type': 'text/event-stream', ...(hasLength ? { 'transfer-encoding': 'chunked' } : { connection: 'close' }) }))
  while (written < events) {
    await work(intervalMs)
    if (!socket.writable) return
    written += 1
    const event = formatEvent(id, written)
    socket.write(hasLength ? formatChunk(event) : event)
  }
  if (hasLength) socket.write('0\r\n\r\n')
  else socket.end()
  onRunEnd(id)
}

function formatHead (headers: Record<string, string>): string {
  return ['HTTP/1.1 200 OK', ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`), '', ''].join('\r\n')
}

/** Creates the handler of an engine that streams the request's id in two events, or in as many as a stream's path says. */
export function createEngineHandler (engine: string, { crashesOn, crash, onArrival, observer, workMs, work }: EngineOptions): RawRequestHandler {
  return ({ target, headers }, socket) => {
    const id = headers[requestIdHeader] ?? ''
    const answerHeaders = { [requestIdHeader]: id, [signatureHeader]: engine }
    if (headers[expectedBackendHeader] !== engine) {
      socket.write(formatResponse(misdirectedStatus, answerHeaders, ''))
      return
    }
    if (!target.startsWith('/draft/')) return writeStream(target, headers, answerHeaders, id, { observer, work }, socket)
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
