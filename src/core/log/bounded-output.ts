/**
 * An output to a file descriptor that never blocks the process. Lines that arrive while
 * a write is in progress are written together, to a pipe also those of one turn of the
 * event loop; lines beyond the buffer's limit are dropped and counted.
 */
import { constants, fstatSync, openSync, write, writeSync } from 'node:fs'

/** Buffer limit; holds the longest burst of lines that the rate limit allows, such as when a stop ends all requests at once. */
const maxPendingBytes = 2 * 1024 * 1024

/** The output, and the state of what was written to it. */
export interface BoundedOutput {
  /** Writes a line, which ends with a line feed. */
  write: (line: string) => void
  /** Resolves once the file descriptor has taken all lines that are not dropped, or can't take any. */
  whenWritten: () => Promise<void>
  /** Writes at once what fits into a pipe, for a process that exits in this turn of the event loop. */
  flushNow: () => void
}

/**
 * Opens the pipe of a file descriptor anew, for writes that don't block; undefined if
 * it is not a pipe. Other processes that share the descriptor can't make its writes
 * block, and don't notice.
 */
function openNonBlocking (fileDescriptor: number): number | undefined {
  try {
    if (!fstatSync(fileDescriptor).isFIFO()) return undefined
    return openSync(`/proc/self/fd/${fileDescriptor}`, constants.O_WRONLY | constants.O_NONBLOCK)
  } catch {
    return undefined
  }
}

/** Creates the output. `onDropped` is called with the number of lines dropped since its last call, once a write completes. */
export function createBoundedOutput (fileDescriptor: number, onDropped: (lines: number) => void): BoundedOutput {
  /** Opened with the first write. A write to it takes one system call, one by the thread pool several and two switches of threads. */
  let pipe: number | undefined
  let isOpened = false
  let pending: string[] = []
  let pendingBytes = 0
  let isFlushScheduled = false
  let isWriting = false
  let droppedLines = 0
  let waiting: Array<() => void> = []
  /** What waits for room in the pipe. */
  let unwritten: Buffer | undefined

  function notifyWritten (): void {
    for (const resolve of waiting) resolve()
    waiting = []
  }

  function scheduleFlush (): void {
    if (!isOpened) pipe = openNonBlocking(fileDescriptor)
    isOpened = true
    if (isFlushScheduled || isWriting) return
    if (pipe === undefined) return flush()
    isFlushScheduled = true
    setImmediate(() => {
      isFlushScheduled = false
      flush()
    })
  }

  function takePending (): Buffer {
    const bytes = Buffer.from(pending.join(''))
    pending = []
    pendingBytes = 0
    return bytes
  }

  function flush (): void {
    if (isWriting) return
    if (pending.length === 0) return notifyWritten()
    isWriting = true
    writeAll(takePending())
  }

  function writeAll (bytes: Buffer): void {
    if (pipe === undefined) write(fileDescriptor, bytes, 0, bytes.length, null, (error, written) => onResult(bytes, error, written))
    else writeToPipe(pipe, bytes)
  }

  function writeToPipe (openPipe: number, bytes: Buffer): void {
    let written = 0
    try {
      written = writeSync(openPipe, bytes)
    } catch (error) {
      return onResult(bytes, error as NodeJS.ErrnoException, 0)
    }
    onResult(bytes, null, written)
  }

  function onResult (bytes: Buffer, error: NodeJS.ErrnoException | null, written: number): void {
    const isPipeFull = error?.code === 'EAGAIN'
    if (error !== null && !isPipeFull) {
      // The reader is gone, so the error can't be reported anywhere either.
      isWriting = false
      return notifyWritten()
    }
    const rest = isPipeFull ? bytes : bytes.subarray(written)
    if (rest.length > 0) {
      unwritten = rest
      setTimeout(() => {
        unwritten = undefined
        writeAll(rest)
      }, retryDelayMs)
      return
    }
    isWriting = false
    if (droppedLines > 0) {
      const lines = droppedLines
      droppedLines = 0
      onDropped(lines)
    }
    flush()
  }

  return {
    write: line => {
      const sizeBytes = Buffer.byteLength(line)
      if (pendingBytes + sizeBytes > maxPendingBytes) {
        droppedLines += 1
        return
      }
      pending.push(line)
      pendingBytes += sizeBytes
      scheduleFlush()
    },
    whenWritten: () => isWriting || pending.length > 0 ? new Promise(resolve => { waiting.push(resolve) }) : Promise.resolve(),
    flushNow: () => {
      if (pipe === undefined) return
      const bytes = Buffer.concat([unwritten ?? Buffer.alloc(0), takePending()])
      try {
        writeSync(pipe, bytes)
      } catch {
        // Nothing reads the output, or its pipe is full.
      }
    }
  }
}

/** Pause before the next write to a full pipe. */
const retryDelayMs = 20
