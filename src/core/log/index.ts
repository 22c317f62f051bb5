/**
 * Structured logs: JSON lines, each of a numbered event of the catalogue.
 */
import winston from 'winston'
import { createBoundedOutput } from './bounded-output.ts'
import { eventCatalogue } from './events/index.ts'
import type { Clock } from '../clock/index.ts'
import type { EventName } from './events/index.ts'

export { createBoundedOutput } from './bounded-output.ts'

/** Writes one event with its fields. Fields must never hold tokens or keys of callers. */
export type Log = (event: EventName, fields?: Record<string, unknown>) => void

/** Options of the process's log. */
export interface LogOptions {
  /** The least severe level that is written. */
  level: 'error' | 'warn' | 'info' | 'debug'
  /** Fields that stand in every line, such as the node's id. */
  fields: Record<string, unknown>
}

/** A log that writes JSON lines to standard error. */
export function createLog (options: LogOptions): Log {
  const logger = winston.createLogger({
    level: options.level,
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    defaultMeta: options.fields,
    transports: [new winston.transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] })]
  })
  return (event, fields = {}) => {
    const { number, level, text } = eventCatalogue[event]
    logger.log({ level, message: text, event, number, ...fields })
  }
}

const standardOutput = 1
/** Lines a second over a longer time; far above what a node writes at its usual load. */
const maxLinesPerSecond = 300
/** Lines that may come at once, such as when many backend servers change together. */
const maxBurstLines = 1_500
const secondMs = 1_000

/**
 * A log to standard output that never blocks and whose volume is bounded:
 * lines beyond the bound are dropped, and their number is told later.
 */
export function createBoundedLog (options: LogOptions, clock: Clock): Log {
  const output = createBoundedOutput(standardOutput, lines => { dropped += lines })
  const logger = winston.createLogger({
    level: options.level,
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    defaultMeta: options.fields,
    transports: [new winston.transports.Stream({ stream: output })]
  })
  let allowed = maxBurstLines
  let refilledAtMs = clock.monotonicMs()
  let dropped = 0

  function write (event: EventName, fields: Record<string, unknown>): void {
    const { number, level, text } = eventCatalogue[event]
    logger.log({ level, message: text, event, number, ...fields })
  }

  return (event, fields = {}) => {
    const nowMs = clock.monotonicMs()
    allowed = Math.min(maxBurstLines, allowed + (nowMs - refilledAtMs) * maxLinesPerSecond / secondMs)
    refilledAtMs = nowMs
    if (allowed < 1) {
      dropped += 1
      return
    }
    allowed -= 1
    if (dropped > 0) {
      const lines = dropped
      dropped = 0
      write('linesDropped', { lines })
    }
    write(event, fields)
  }
}

/** A log that drops everything, for tests and short tools. */
export function createSilentLog (): Log {
  return () => {}
}
