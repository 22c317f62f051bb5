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
  /** Adds a copy of a chunk; returns false, and drops all bytes, once there are more than the limit. */
  add: (chunk: Buffer) => boolean
  sizeBytes: () => number
  /** Memory that the bytes occupy, at most twice their number and never more than the limit. */
  allocatedBytes: () => number
  /** The last bytes, at most as many. */
  tail: (maxBytes: number) => Buffer
  bytes: () => Buffer
  /** Returns the bytes and begins anew. */
  take: () => Buffer
}

const noBytes: Buffer = Buffer.alloc(0)
/** Largest unit of memory beyond that of one chunk. */
const maxBlockBytes = 64 * 1024

/**
 * Creates an empty collector. Chunks are copied: a kept one is an object of its own,
 * and keeps alive the whole read of the socket that it lies in, up to 64 KiB for a byte.
 */
export function createByteCollector (maxBytes: number): ByteCollector {
  let fullBlocks: Buffer[] = []
  let fullBytes = 0
  let lastBlock = noBytes
  let lastBytes = 0
  let isOverLimit = false

  const sizeBytes = (): number => fullBytes + lastBytes

  function append (bytes: Buffer): void {
    const copiedBytes = bytes.copy(lastBlock, lastBytes)
    lastBytes += copiedBytes
    if (copiedBytes === bytes.length) return
    if (lastBytes > 0) fullBlocks.push(lastBlock)
    fullBytes += lastBytes
    const rest = bytes.subarray(copiedBytes)
    lastBlock = Buffer.allocUnsafeSlow(Math.max(rest.length, Math.min(fullBytes, maxBlockBytes, maxBytes - fullBytes)))
    lastBytes = rest.copy(lastBlock)
  }

  function drop (): void {
    fullBlocks = []
    fullBytes = 0
    lastBlock = noBytes
    lastBytes = 0
  }

  function bytes (): Buffer {
    const last = lastBlock.subarray(0, lastBytes)
    return fullBlocks.length === 0 ? last : Buffer.concat([...fullBlocks, last])
  }

  return {
    add: chunk => {
      isOverLimit ||= sizeBytes() + chunk.length > maxBytes
      if (isOverLimit) drop()
      else append(chunk)
      return !isOverLimit
    },
    sizeBytes,
    allocatedBytes: () => fullBytes + lastBlock.length,
    tail: tailBytes => {
      const last = lastBlock.subarray(Math.max(0, lastBytes - tailBytes), lastBytes)
      return last.length === tailBytes || fullBlocks.length === 0 ? last : Buffer.concat([...fullBlocks.slice(-tailBytes), last]).subarray(-tailBytes)
    },
    bytes,
    take: () => {
      const taken = bytes()
      drop()
      isOverLimit = false
      return taken
    }
  }
}

/** Reads a whole body. Throws a `BodyTooLargeError` and closes the body's connection when it is longer than the limit. */
export async function readBoundedBody (body: AsyncIterable<unknown>, maxBytes: number): Promise<Buffer> {
  const collector = createByteCollector(maxBytes)
  // Leaving the iteration early destroys the body, which closes its connection.
  for await (const chunk of body) if (!collector.add(chunk as Buffer)) throw new BodyTooLargeError(maxBytes)
  return collector.bytes()
}
