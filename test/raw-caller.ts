/** A caller on a plain TCP socket, so that tests decide when it sends and reads. */
import { connect } from 'node:net'
import { once } from 'node:events'
import type { Socket } from 'node:net'

/** A response as far as it was received. */
export interface RawResponse {
  status: number
  /** In lower case. */
  head: string
  /** Body without its framing. */
  body: string
  /** Whether its framing says that it is complete. */
  isComplete: boolean
}

/** A connection of a caller. */
export interface RawCaller {
  socket: Socket
  write: (text: string) => void
  /** Resolves with the next response, or with what there is of it once the connection ended. */
  nextResponse: () => Promise<RawResponse>
}

const headEnd = '\r\n\r\n'

/** Decodes chunks; `length` is the number of characters up to the last chunk, undefined if that is missing. */
function decodeChunks (text: string): { body: string, length: number | undefined } {
  let body = ''
  let at = 0
  for (;;) {
    const lineEnd = text.indexOf('\r\n', at)
    if (lineEnd === -1) return { body, length: undefined }
    const sizeBytes = parseInt(text.slice(at, lineEnd), 16)
    const dataAt = lineEnd + 2
    body += text.slice(dataAt, dataAt + sizeBytes)
    at = dataAt + sizeBytes + 2
    if (text.length < at) return { body, length: undefined }
    if (sizeBytes === 0) return { body, length: at }
  }
}

/** Length of a response whose head has a Content-Length; 0 if it has none. */
function declaredLength (text: string): number {
  const headLength = text.indexOf(headEnd) + headEnd.length
  const declared = /content-length: (\d+)/i.exec(text.slice(0, headLength))?.[1]
  return declared === undefined ? 0 : headLength + Number(declared)
}

function parseResponse (text: string, hasEnded: boolean): { response: RawResponse, length: number | undefined } {
  const headLength = text.indexOf(headEnd) + headEnd.length
  if (headLength < headEnd.length) return { response: { status: 0, head: '', body: '', isComplete: false }, length: undefined }
  const head = text.slice(0, headLength).toLowerCase()
  const status = Number(head.split(' ')[1])
  const rest = text.slice(headLength)
  const declared = /content-length: (\d+)/.exec(head)?.[1]
  let { body, length } = head.includes('transfer-encoding: chunked') ? decodeChunks(rest) : { body: rest, length: hasEnded ? rest.length : undefined }
  if (declared !== undefined) {
    body = rest.slice(0, Number(declared))
    length = body.length === Number(declared) ? body.length : undefined
  }
  return { response: { status, head, body, isComplete: length !== undefined }, length: length === undefined ? undefined : headLength + length }
}

/** Opens a connection to the port. */
export async function connectCaller (port: number): Promise<RawCaller> {
  const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true })
  const chunks: string[] = []
  let pendingLength = 0
  /** Length of the current response, once its head names it. */
  let wantedLength = 0
  let text = ''
  let hasEnded = false
  let onChange = (): void => {}
  socket.setEncoding('latin1').on('data', (chunk: string) => {
    chunks.push(chunk)
    pendingLength += chunk.length
    onChange()
  })
  for (const event of ['end', 'error', 'close']) {
    socket.on(event, () => {
      hasEnded = true
      onChange()
    })
  }
  await once(socket, 'connect')
  return {
    socket,
    write: content => { socket.write(content) },
    nextResponse: () => new Promise(resolve => {
      onChange = () => {
        if (pendingLength < wantedLength && !hasEnded) return
        text += chunks.splice(0).join('')
        wantedLength = declaredLength(text)
        const { response, length } = parseResponse(text, hasEnded)
        if (length === undefined && !hasEnded) return
        text = text.slice(length ?? text.length)
        pendingLength = text.length
        wantedLength = 0
        onChange = () => {}
        resolve(response)
      }
      onChange()
    })
  }
}
