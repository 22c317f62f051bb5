/**
 * The wire format of peer messages: a length of four bytes, big endian, then one CBOR
 * value. On an authenticated connection, each value is an array that starts with a
 * message type.
 */
import { Encoder } from 'cbor-x'
import { createError } from '../errors/index.ts'

/** Types of the messages on an authenticated connection. */
export const messageType = { ping: 0, pong: 1, send: 2, request: 3, answer: 4, failure: 5 } as const

/** A message on an authenticated connection. `handled`: whether the handler may have run. */
export type WireMessage =
  | [type: 0]
  | [type: 1]
  | [type: 2, kind: string, body: unknown]
  | [type: 3, id: number, kind: string, deadlineAtMs: number, body: unknown]
  | [type: 4, id: number, body: unknown]
  | [type: 5, id: number, cause: string, handled: boolean]

const lengthBytes = 4
const cbor = new Encoder({ useRecords: false, mapsAsObjects: true })

/** Encodes one value without a length prefix. */
export function encodeValue (value: unknown): Buffer {
  return cbor.encode(value)
}

/** Decodes one value; throws if the bytes aren't valid CBOR. */
export function decodeValue (bytes: Buffer): unknown {
  return cbor.decode(bytes)
}

/** Encodes one value with a length prefix. */
export function encodeFrame (value: unknown): Buffer {
  const body = encodeValue(value)
  const frame = Buffer.allocUnsafe(lengthBytes + body.length)
  frame.writeUInt32BE(body.length, 0)
  body.copy(frame, lengthBytes)
  return frame
}

/** Splits a stream of bytes into values. */
export interface FrameReader {
  /** Appends received bytes and returns the values that are now complete; throws `PeerRejected` for a frame over the limit. */
  push: (bytes: Buffer) => unknown[]
  /** Changes the limit, for example after the peer has authenticated. */
  setMaxFrameBytes: (maxBytes: number) => void
}

/** Creates a reader for one connection. `peer` is only used in error messages. */
export function createFrameReader (peer: string, initialMaxFrameBytes: number): FrameReader {
  let maxFrameBytes = initialMaxFrameBytes
  let chunks: Buffer[] = []
  let bufferedBytes = 0
  let neededBytes = lengthBytes

  function joinChunks (): Buffer {
    const bytes = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)
    chunks = [bytes]
    return bytes
  }

  function takeFrame (): Buffer | undefined {
    if (bufferedBytes < neededBytes) return undefined
    const bytes = joinChunks()
    const bodyBytes = bytes.readUInt32BE(0)
    if (bodyBytes > maxFrameBytes) {
      throw createError('PeerRejected', { peer, cause: `a frame of ${bodyBytes} bytes exceeds the limit of ${maxFrameBytes}` })
    }
    neededBytes = lengthBytes + bodyBytes
    if (bufferedBytes < neededBytes) return undefined
    const frame = bytes.subarray(lengthBytes, neededBytes)
    const rest = bytes.subarray(neededBytes)
    chunks = rest.length === 0 ? [] : [rest]
    bufferedBytes = rest.length
    neededBytes = lengthBytes
    return frame
  }

  function push (bytes: Buffer): unknown[] {
    chunks.push(bytes)
    bufferedBytes += bytes.length
    const values: unknown[] = []
    for (let frame = takeFrame(); frame !== undefined; frame = takeFrame()) values.push(decodeValue(frame))
    return values
  }

  return { push, setMaxFrameBytes: maxBytes => { maxFrameBytes = maxBytes } }
}
