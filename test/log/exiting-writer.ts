/**
 * A process that logs a number of lines and then exits, once they are written or, with
 * the second argument `at-once`, in the same turn. Started by bounded-log.test.ts.
 */
import { createSystemClock } from '../../src/core/clock/index.ts'
import { createBoundedLog } from '../../src/core/log/index.ts'

const { log, whenWritten } = createBoundedLog({ level: 'info', fields: { node: 'front-a-1' } }, createSystemClock())
/** A field whose name the second argument gives. */
const oddFields = process.argv[3] === undefined ? {} : { [process.argv[3]]: 7 }
for (let line = 0; line < Number(process.argv[2]); line += 1) log('answerNotDelivered', { request: `r-${line}`, reason: 'stop-deadline', ...oddFields })
if (process.argv[3] !== 'at-once') await whenWritten()
process.exit(0)
