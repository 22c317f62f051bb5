/** Processor time and memory of a piece of work in this process. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

/** Heap in use after garbage collection, in bytes. */
export function heapBytes (): number {
  collectGarbage()
  collectGarbage()
  return process.memoryUsage().heapUsed
}

/** Bytes that the result of `make` keeps alive. */
export function retainedBytes (make: () => unknown): number {
  const before = heapBytes()
  const kept = make()
  const bytes = heapBytes() - before
  // The result has to be alive until the heap was read.
  if (kept === heapBytes) throw new Error('unreachable')
  return bytes
}

/** Processor time of one run of `work`, in microseconds, over many runs after some to warm up. */
export function cpuMicroseconds (runs: number, work: (run: number) => void): number {
  for (let run = 0; run < runs / 10; run += 1) work(run)
  const before = process.cpuUsage()
  for (let run = 0; run < runs; run += 1) work(run)
  const { user, system } = process.cpuUsage(before)
  return (user + system) / runs
}
