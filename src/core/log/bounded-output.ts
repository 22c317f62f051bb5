/**
 * A stream to a file descriptor that never blocks the process: lines wait in a
 * bounded buffer while one write is under way, and are dropped and counted
 * beyond it.
 */
import { write } from 'node:fs'
import { Writable } from 'node:stream'

/** Most bytes that wait; some seconds of a busy node's lines. */
const maxWaitingBytes = 256 * 1024

/** Creates the stream. */
export function createBoundedOutput (fileDescriptor: number, onDropped: (lines: number) => void): Writable {
  let waiting: Buffer[] = []
  let waitingBytes = 0
  let isWriting = false
  let dropped = 0

  function flush (): void {
    if (isWriting || waiting.length === 0) return
    const bytes = Buffer.concat(waiting)
    waiting = []
    waitingBytes = 0
    isWriting = true
    writeAll(bytes)
  }

  function writeAll (bytes: Buffer): void {
    write(fileDescriptor, bytes, 0, bytes.length, null, (error, written) => {
      const isBusy = error?.code === 'EAGAIN'
      if (error !== null && !isBusy) {
        // Nobody reads any more; there is nowhere left to tell it.
        isWriting = false
        return
      }
      const rest = isBusy ? bytes : bytes.subarray(written)
      if (rest.length > 0) {
        setTimeout(() => writeAll(rest), busyPauseMs)
        return
      }
      isWriting = false
      if (dropped > 0) {
        const lines = dropped
        dropped = 0
        onDropped(lines)
      }
      flush()
    })
  }

  return new Writable({
    decodeStrings: true,
    write: (chunk: Buffer, _encoding, done) => {
      if (waitingBytes + chunk.length > maxWaitingBytes) {
        dropped += 1
      } else {
        waiting.push(chunk)
        waitingBytes += chunk.length
        flush()
      }
      done()
    }
  })
}

/** Pause before a full pipe is tried again. */
const busyPauseMs = 20
