/**
 * Memory for the responses that are collected before they are forwarded, and for
 * the unfinished events of streams. Each response has a limit, and so have all of
 * them together; beyond that the largest one is given up.
 */
import { createByteCollector } from '../connections/bounded-bytes.ts'

/** Limits of the buffers. */
export interface ResponseBuffersOptions {
  maxResponseBytes: number
  maxTotalBytes: number
}

const mebibyte = 1_024 * 1_024
/** Far above the responses of the services. */
const defaultLimits: ResponseBuffersOptions = { maxResponseBytes: 16 * mebibyte, maxTotalBytes: 64 * mebibyte }
/** Part of a machine's memory for all responses. */
const memoryRatio = 1 / 8

/** Limits for a machine with this memory. */
export function responseLimitsFor (memoryBytes: number): ResponseBuffersOptions {
  const maxTotalBytes = Math.min(defaultLimits.maxTotalBytes, memoryBytes * memoryRatio)
  return { maxTotalBytes, maxResponseBytes: Math.min(defaultLimits.maxResponseBytes, maxTotalBytes) }
}

/** The buffer of one response. */
export interface ResponseBuffer {
  /** Adds a chunk; may call `onOverflow` of this buffer or of another one. */
  add: (chunk: Buffer) => void
  /** Sets the memory that the response occupies elsewhere, such as a stream with an unfinished event; may call `onOverflow` as well. */
  hold: (heldBytes: number) => void
  bytes: () => Buffer
  /** Releases the memory. */
  close: () => void
}

/** The buffers of a node. */
export interface ResponseBuffers {
  readonly maxResponseBytes: number
  /** Opens a buffer; `onOverflow` is called once, after its bytes were dropped. */
  open: (onOverflow: (cause: string) => void) => ResponseBuffer
  sizeBytes: () => number
}

interface OpenBuffer { sizeBytes: number, overflow: (cause: string) => void }

/** Creates the buffers of a node. */
export function createResponseBuffers ({ maxResponseBytes, maxTotalBytes } = defaultLimits): ResponseBuffers {
  const opened = new Set<OpenBuffer>()
  let totalBytes = 0

  function release (buffer: OpenBuffer): void {
    if (!opened.delete(buffer)) return
    totalBytes -= buffer.sizeBytes
  }

  function resize (buffer: OpenBuffer, sizeBytes: number): void {
    totalBytes += sizeBytes - buffer.sizeBytes
    buffer.sizeBytes = sizeBytes
    if (totalBytes > maxTotalBytes) overflowLargest()
  }

  function overflowLargest (): void {
    const largest = [...opened].reduce((a, b) => b.sizeBytes > a.sizeBytes ? b : a)
    largest.overflow(`all responses under way have more than ${maxTotalBytes} bytes, and this one has the most`)
  }

  function open (onOverflow: (cause: string) => void): ResponseBuffer {
    let collector = createByteCollector(maxResponseBytes)
    const buffer: OpenBuffer = {
      sizeBytes: 0,
      overflow: cause => {
        collector = createByteCollector(0)
        release(buffer)
        onOverflow(cause)
      }
    }
    opened.add(buffer)
    return {
      add: chunk => {
        if (!opened.has(buffer)) return
        if (!collector.add(chunk)) return buffer.overflow(`its response has more than ${maxResponseBytes} bytes`)
        resize(buffer, collector.allocatedBytes())
      },
      hold: heldBytes => {
        if (opened.has(buffer)) resize(buffer, heldBytes)
      },
      bytes: () => collector.bytes(),
      close: () => release(buffer)
    }
  }

  return { maxResponseBytes, open, sizeBytes: () => totalBytes }
}
