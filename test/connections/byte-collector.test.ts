/** The memory of bytes that are collected from chunks. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import test from 'ava'
import { createByteCollector } from '../../src/core/connections/index.ts'
import { createRandom } from '../../src/core/random/index.ts'

const mebibyte = 1_024 * 1_024

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

/** Memory that is in use after `collect`, beyond that before. */
function measureBytes (collect: () => unknown): number {
  const used = (): number => {
    // The second run waits for the first one's freeing of buffers, which is concurrent.
    for (let runs = 0; runs < 2; runs += 1) collectGarbage()
    const { heapUsed, arrayBuffers } = process.memoryUsage()
    return heapUsed + arrayBuffers
  }
  const before = used()
  const collected = collect()
  const after = used()
  // Keeps it alive until here.
  return collected === undefined ? 0 : after - before
}

// Guards against a limit on bytes that holds while their chunks take a hundred times the memory.
test('collected bytes take twice their size at most, however small their chunks are', t => {
  const collector = createByteCollector(2 * mebibyte)
  const usedBytes = measureBytes(() => {
    const read = Buffer.alloc(64 * 1_024, 'x')
    for (let count = 0; count < mebibyte; count += 1) collector.add(read.subarray(count % read.length, count % read.length + 1))
    return collector
  })
  t.is(collector.sizeBytes(), mebibyte)
  t.true(collector.allocatedBytes() <= 2 * mebibyte)
  t.true(usedBytes <= 3 * mebibyte, `${usedBytes} bytes`)
})

// Guards against a byte that keeps alive the whole read of the socket that it lies in.
test('collected bytes keep none of the reads alive that they came in', t => {
  const collector = createByteCollector(mebibyte)
  const usedBytes = measureBytes(() => {
    for (let count = 0; count < 2_000; count += 1) collector.add(Buffer.alloc(64 * 1_024).subarray(7, 8))
    return collector
  })
  t.is(collector.sizeBytes(), 2_000)
  t.true(usedBytes <= mebibyte, `${usedBytes} bytes`)
})

test('bytes are the same in whatever chunks they come, and dropped beyond the limit', t => {
  const random = createRandom(53)
  for (let round = 0; round < 200; round += 1) {
    const collector = createByteCollector(300_000)
    const expected = Buffer.from(Array.from({ length: Math.floor(random() * 200_000) }, () => Math.floor(random() * 256)))
    for (let at = 0; at < expected.length;) {
      const length = Math.ceil(random() ** 4 * 70_000)
      t.true(collector.add(expected.subarray(at, at + length)))
      at += length
      if (round < 20) t.deepEqual(collector.tail(2), expected.subarray(0, Math.min(at, expected.length)).subarray(-2))
    }
    t.deepEqual(collector.bytes(), expected)
    t.true(collector.allocatedBytes() <= 2 * expected.length)
    t.deepEqual(collector.take(), expected)
    t.is(collector.sizeBytes(), 0)
  }
  const collector = createByteCollector(4)
  t.true(collector.add(Buffer.from('1234')))
  t.false(collector.add(Buffer.from('5')))
  t.is(collector.allocatedBytes(), 0)
  t.false(collector.add(Buffer.from('6')))
})
