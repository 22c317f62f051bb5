/**
 * A process that logs as many lines as it is told; it says on standard error
 * when it is through. Run by the tests beside it.
 *
 *     busy-writer.ts <lines in each tick> <ticks> <ms between ticks>
 */
import { createSystemClock } from '../../src/core/clock/index.ts'
import { createBoundedLog } from '../../src/core/log/index.ts'

const [lines = 1, ticks = 1, everyMs = 10] = process.argv.slice(2).map(Number)
/** Time after which the log has room for a line again. */
const restMs = 1_100
const clock = createSystemClock()
const log = createBoundedLog({ level: 'info', fields: { node: 'front-a-1' } }, clock)
for (let tick = 0; tick < ticks; tick += 1) {
  for (let line = 0; line < lines; line += 1) log('gatewayAnswered', { request: `r-${tick}-${line}`, route: 'registry', totalMs: 12 })
  await clock.sleep(everyMs)
}
await clock.sleep(restMs)
log('gatewayAnswered', { request: 'last' })
process.stderr.write(JSON.stringify({ offered: lines * ticks + 1 }))
