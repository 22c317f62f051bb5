/**
 * A process that logs a number of lines and then reports their number as JSON
 * on standard error. Started by bounded-log.test.ts.
 *
 *     busy-writer.ts <lines per tick> <ticks> <ms between ticks>
 */
import { createSystemClock } from '../../src/core/clock/index.ts'
import { createBoundedLog } from '../../src/core/log/index.ts'

const [lines = 1, ticks = 1, tickIntervalMs = 10] = process.argv.slice(2).map(Number)
/** Time after which the log's rate limit allows another line. */
const refillMs = 1_100
const clock = createSystemClock()
const { log } = createBoundedLog({ level: 'info', fields: { node: 'front-a-1' } }, clock)
for (let tick = 0; tick < ticks; tick += 1) {
  for (let line = 0; line < lines; line += 1) log('gatewayAnswered', { request: `r-${tick}-${line}`, route: 'registry', totalMs: 12 })
  await clock.sleep(tickIntervalMs)
}
await clock.sleep(refillMs)
log('gatewayAnswered', { request: 'last' })
process.stderr.write(JSON.stringify({ loggedLines: lines * ticks + 1 }))
