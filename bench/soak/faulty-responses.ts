/** Backend servers whose responses are faulty: bytes without end or that are no response, in a head or in a body, cut off, reset or stalled at any point. */
import { formatChunk } from '../../src/stand-ins/raw-backend/index.ts'
import { expectedBackendHeader, notRunHeader, requestIdHeader, signatureHeader } from '../../test/platform-adapter/soak-deployment.ts'
import type { Socket } from 'node:net'
import type { RawRequestHandler } from '../../src/stand-ins/raw-backend/index.ts'

/** A response that begins with some bytes and then repeats others. */
interface FaultyResponse {
  begin: string
  repeated: string
  /** Whether the end of the connection would make it a whole response. */
  endsWithConnection: boolean
  /** Whether it says truly that the request was not run. */
  isRefusal: boolean
}

export interface FaultyResponsesOptions {
  backend: string
  random: () => number
  /** Share of the responses that are faulty, now. */
  faultyRatio: () => number
  onRun: (id: string) => void
}

const kibibyte = 1_024
const writeBytes = 64 * kibibyte
/** Leaves other connections of the stand-ins their turn. */
const writeIntervalMs = 1
/** More than a node reads of any response. */
const maxSentBytes = 48 * kibibyte * kibibyte
const maxCutBytes = 4 * writeBytes
/** Share of faulty responses that go on without end; the others end, are reset or stall. */
const endlessRatio = 0.5
const eventStream = { 'content-type': 'text/event-stream' }

function pick<Value> (values: readonly Value[], random: () => number): Value {
  return values[Math.floor(random() * values.length)]!
}

function createGarbage (random: () => number): string {
  return Array.from({ length: 512 }, () => String.fromCharCode(random() * 256)).join('')
}

function drawResponse (id: string, backend: string, random: () => number): FaultyResponse {
  const head = (status: number, headers: Record<string, string>): string => {
    const fields = Object.entries({ [requestIdHeader]: id, [signatureHeader]: backend, ...headers }).map(([name, value]) => `${name}: ${value}`)
    return [`HTTP/1.1 ${status} Status`, ...fields, '', ''].join('\r\n')
  }
  const chunkedHead = (status: number, headers = {}): string => head(status, { 'transfer-encoding': 'chunked', ...headers })
  const filler = 'x'.repeat(pick([1, 16 * kibibyte], random))
  const response = (begin: string, repeated: string, changes: Partial<FaultyResponse> = {}): FaultyResponse => ({ begin, repeated, endsWithConnection: false, isRefusal: false, ...changes })
  return pick([
    () => response('', createGarbage(random)),
    () => response('', '\r\n'),
    () => response('HTTP/1.1 200 ', filler),
    () => response('HTTP/1.1 200 OK\r\nx-filler: ', filler),
    () => response('HTTP/1.1 200 OK\r\n', 'a:\r\n'),
    () => response('', `HTTP/1.1 102 Processing\r\nx-filler: ${filler.slice(0, kibibyte)}\r\n\r\n`),
    () => response(chunkedHead(pick([200, 404, 500], random)), formatChunk(filler)),
    () => response(`${chunkedHead(200)}1;`, filler),
    () => response(`${chunkedHead(500)}0\r\n`, 'a:\r\n'),
    () => response(head(200, {}), filler, { endsWithConnection: true }),
    () => response(head(200, { 'content-length': '9000000000000' }), filler),
    () => response(chunkedHead(503, { [notRunHeader]: '1' }), formatChunk(filler), { isRefusal: true }),
    () => response(chunkedHead(200, eventStream), formatChunk(filler)),
    () => response(chunkedHead(200, eventStream), formatChunk(':\n\n')),
    () => response(chunkedHead(200, eventStream), formatChunk(':') + formatChunk('\n') + formatChunk('\n')),
    () => response(`${chunkedHead(200, eventStream)}${formatChunk(`id: 1\ndata: ${id}\n\n`)}`, formatChunk(filler))
  ], random)()
}

/** Writes the response without end, or up to a random point at which it ends, is reset or stalls. */
function write (socket: Socket, { begin, repeated, endsWithConnection }: FaultyResponse, random: () => number): void {
  const bytes = Buffer.from(repeated.repeat(Math.ceil(writeBytes / repeated.length)), 'latin1')
  const isEndless = random() < endlessRatio
  const sentLimit = isEndless ? maxSentBytes : Math.floor(random() ** 4 * maxCutBytes)
  const stall = (): void => {}
  // The proxies pass about half of the resets on as a regular end, which would make such a response whole.
  const finish = endsWithConnection ? stall : pick([stall, () => socket.resetAndDestroy(), () => socket.end()], random)
  let sentBytes = 0
  function writeNext (): void {
    if (!socket.writable) return
    if (sentBytes >= sentLimit) return finish()
    const part = bytes.subarray(0, sentLimit - sentBytes)
    sentBytes += part.length
    const goOn = (): void => { setTimeout(writeNext, writeIntervalMs) }
    if (socket.write(part)) goOn()
    else socket.once('drain', goOn)
  }
  socket.write(begin, 'latin1')
  writeNext()
}

/** Makes a share of the responses of a handler faulty. */
export function withFaultyResponses (handler: RawRequestHandler, { backend, random, faultyRatio, onRun }: FaultyResponsesOptions): RawRequestHandler {
  return (request, socket) => {
    const { headers } = request
    const isMisdirected = headers[expectedBackendHeader] !== backend
    if (isMisdirected || random() >= faultyRatio()) return handler(request, socket)
    const id = headers[requestIdHeader] ?? ''
    const response = drawResponse(id, backend, random)
    if (!response.isRefusal) onRun(id)
    write(socket, response, random)
  }
}
