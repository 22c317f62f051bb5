/**
 * The wire form of peer messages: a length of four bytes, big endian, then one
 * CBOR value. All of the protocol's messages are arrays that start with a type.
 */
import { Encoder } from 'cbor-x'
import { createError } from '../errors/index.ts'

/** Types of the messages on an authenticated connection. */
export const messageType = { ping: 0, pong: 1, send: 2, request: 3, answer: 4, failure: 5 } as const

/** A message on an authenticated connection. `handled` tells whether the handler may have run. */
export type WireMessage =
  | [type: 0]
  | [type: 1]
  | [type: 2, kind: string, body: unknown]
  | [type: 3, id: number, kind: string, deadlineAtMs: number, body: unknown]
  | [type: 4, id: number, body: unknown]
  | [type: 5, id: number, cause: string, handled: boolean]

const lengthBytes = 4
const cbor = new Encoder({ useRecords: false, mapsAsObjects: true })

/** Encodes one value without its length. */
export function encodeValue (value: unknown): Buffer {
  return cbor.encode(value)
}

/** Decodes one value; throws on anything that isn't CBOR. */
export function decodeValue (bytes: Buffer): unknown {
  return cbor.decode(bytes)
}

/** Encodes one value with its length in front. */
export function encodeFrame (value: unknown): Buffer {
  const body = encodeValue(value)
  const frame = Buffer.allocUnsafe(lengthBytes + body.length)
  frame.writeUInt32BE(body.length, 0)
  body.copy(frame, lengthBytes)
  return frame
}

/** Cuts a stream of bytes into values. */
export interface FrameReader {
  /** Takes bytes as they came and returns the values that are now whole; throws on a frame over the bound. */
  push: (bytes: Buffer) => unknown[]
  /** Changes the bound, such as after the peer has proved who it is. */
  setMaxFrameBytes: (maxBytes: number) => void
}

/** A reader for one connection. `peer` is only named in errors. */
export function createFrameReader (peer: string, initialMaxFrameBytes: number): FrameReader {
  let maxFrameBytes = initialMaxFrameBytes
  let chunks: Buffer[] = []
  let heldBytes = 0
  let neededBytes = lengthBytes

  function joined (): Buffer {
    const bytes = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)
    chunks = [bytes]
    return bytes
  }

  function takeFrame (): Buffer | undefined {
    if (heldBytes < neededBytes) return undefined
    const bytes = joined()
    const bodyBytes = bytes.readUInt32BE(0)
    if (bodyBytes > maxFrameBytes) {
      throw createError('PeerRejected', { peer, cause: `a frame of ${bodyBytes} bytes is over the bound of ${maxFrameBytes}` })
    }
    neededBytes = lengthBytes + bodyBytes
    if (heldBytes < neededBytes) return undefined
    const frame = bytes.subarray(lengthBytes, neededBytes)
    const rest = bytes.subarray(neededBytes)
    chunks = rest.length === 0 ? [] : [rest]
    heldBytes = rest.length
    neededBytes = lengthBytes
    return frame
  }

  function push (bytes: Buffer): unknown[] {
    chunks.push(bytes)
    heldBytes += bytes.length
    const values: unknown[] = []
    for (let frame = takeFrame(); frame !== undefined; frame = takeFrame()) values.push(decodeValue(frame))
    return values
  }

  return { push, setMaxFrameBytes: maxBytes => { maxFrameBytes = maxBytes } }
}
