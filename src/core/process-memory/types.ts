/** Memory of a process, in bytes. */
export interface MemoryUsage {
  /** Memory of the machine that the process occupies. */
  residentBytes: number
  /** Objects of JavaScript. */
  heapBytes: number
  /** Buffers outside the heap, such as bytes that were received. */
  arrayBufferBytes: number
}
