/** The watch of the memory that a process uses. */
import test from 'ava'
import { parseSettings } from '../../platform/settings.ts'
import { createManualClock } from '../../src/core/clock/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { watchMemory } from '../../src/core/process-memory/index.ts'
import { renderSettings } from '../platform-adapter/render-settings.ts'

const megabyte = 1_000_000

test('each share of the machine\'s memory is logged once with what holds it, and again after the use has fallen', async t => {
  const clock = createManualClock()
  const lines: Array<Record<string, unknown>> = []
  let usedMb = 100
  const watch = watchMemory({
    clock,
    log: (event, fields) => { lines.push({ event, ...fields }) },
    metrics: createMetrics(),
    limitBytes: 350 * megabyte,
    readUsage: () => ({ residentBytes: usedMb * megabyte, heapBytes: 40 * megabyte, arrayBufferBytes: 20 * megabyte }),
    holders: () => ({ openRequests: 7 })
  })
  for (usedMb of [100, 180, 190, 170, 180, 320, 100, 180]) await clock.advance(250)
  watch.close()
  t.deepEqual(lines.map(line => line['usedMb']), [180, 320, 180])
  t.deepEqual(lines[0], { event: 'memoryHigh', usedMb: 180, limitMb: 350, heapMb: 40, arrayBuffersMb: 20, openRequests: 7 })
})

test('nothing is logged on a machine whose memory is unknown', async t => {
  const clock = createManualClock()
  const watch = watchMemory({
    clock, log: () => t.fail(), metrics: createMetrics(), limitBytes: Infinity, readUsage: () => ({ residentBytes: 9_000 * megabyte, heapBytes: 0, arrayBufferBytes: 0 }), holders: () => ({})
  })
  await clock.advance(1_000)
  watch.close()
  t.pass()
})

// Guards against a node that gives up every response because the platform states no memory.
test('a machine without a stated memory, or one of 0, has no limit', t => {
  const limitOf = (fields: Record<string, string>): number => parseSettings(renderSettings(fields), 'node.conf').memoryLimitBytes
  t.is(limitOf({ 'limits.memory_mb': '350' }), 350 * megabyte)
  t.is(limitOf({}), Infinity)
  t.is(limitOf({ 'limits.memory_mb': '0' }), Infinity)
})
