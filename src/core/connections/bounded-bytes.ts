/** Limits on the bytes of responses, because a server in trouble may send bytes without end. */

/** Thrown when a body is longer than its limit. */
export class BodyTooLargeError extends Error {
  constructor (maxBytes: number) {
    super(`the body is longer than ${maxBytes} bytes`)
    this.name = 'BodyTooLargeError'
  }
}

/** Bytes that are collected up to a limit. */
export interface ByteCollector {
  /** Adds a chunk; returns false, and drops all bytes, once there are more than the limit. */
  add: (chunk: Buffer) => boolean
  sizeBytes: () => number
  bytes: () => Buffer
}

/** Creates an empty collector. */
export function createByteCollector (maxBytes: number): ByteCollector {
  let chunks: Buffer[] = []
  let sizeBytes = 0

  return {
    add: chunk => {
      sizeBytes += chunk.length
      if (sizeBytes <= maxBytes) chunks.push(chunk)
      else chunks = []
      return sizeBytes <= maxBytes
    },
    sizeBytes: () => sizeBytes,
    bytes: () => Buffer.concat(chunks)
  }
}

/** Reads a whole body. Throws a `BodyTooLargeError` and closes the body's connection when it is longer than the limit. */
export async function readBoundedBody (body: AsyncIterable<unknown>, maxBytes: number): Promise<Buffer> {
  const collector = createByteCollector(maxBytes)
  // Leaving the iteration early destroys the body, which closes its connection.
  for await (const chunk of body) if (!collector.add(chunk as Buffer)) throw new BodyTooLargeError(maxBytes)
  return collector.bytes()
}
