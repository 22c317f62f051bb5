/**
 * A writable stream to a file descriptor that never blocks the process. Lines
 * are buffered while a write is in progress; lines beyond the buffer's limit
 * are dropped and counted.
 */
import { write } from 'node:fs'
import { Writable } from 'node:stream'

/** Buffer limit; holds the longest burst of lines that the rate limit allows, such as when a stop ends all requests at once. */
const maxPendingBytes = 2 * 1024 * 1024

/** The stream, and the state of what was written to it. */
export interface BoundedOutput {
  stream: Writable
  /** Resolves once the file descriptor has taken all lines that are not dropped, or can't take any. */
  whenWritten: () => Promise<void>
}

/**
 * Creates the stream. Each chunk counts as one line. `onDropped` is called
 * with the number of lines dropped since its last call, once a write completes.
 */
export function createBoundedOutput (fileDescriptor: number, onDropped: (lines: number) => void): BoundedOutput {
  let pending: Buffer[] = []
  let pendingBytes = 0
  let isWriting = false
  let droppedLines = 0
  let waiting: Array<() => void> = []

  function notifyWritten (): void {
    for (const resolve of waiting) resolve()
    waiting = []
  }

  function flush (): void {
    if (isWriting || pending.length === 0) return
    const bytes = Buffer.concat(pending)
    pending = []
    pendingBytes = 0
    isWriting = true
    writeAll(bytes)
  }

  function writeAll (bytes: Buffer): void {
    write(fileDescriptor, bytes, 0, bytes.length, null, (error, written) => {
      const isPipeFull = error?.code === 'EAGAIN'
      if (error !== null && !isPipeFull) {
        // The reader is gone, so the error can't be reported anywhere either.
        isWriting = false
        return notifyWritten()
      }
      const rest = isPipeFull ? bytes : bytes.subarray(written)
      if (rest.length > 0) {
        setTimeout(() => writeAll(rest), retryDelayMs)
        return
      }
      isWriting = false
      if (droppedLines > 0) {
        const lines = droppedLines
        droppedLines = 0
        onDropped(lines)
      }
      flush()
      if (!isWriting) notifyWritten()
    })
  }

  const stream = new Writable({
    decodeStrings: true,
    write: (chunk: Buffer, _encoding, done) => {
      if (pendingBytes + chunk.length > maxPendingBytes) {
        droppedLines += 1
      } else {
        pending.push(chunk)
        pendingBytes += chunk.length
        flush()
      }
      done()
    }
  })

  return {
    stream,
    whenWritten: () => isWriting ? new Promise(resolve => { waiting.push(resolve) }) : Promise.resolve()
  }
}

/** Pause before the next write to a full pipe. */
const retryDelayMs = 20
