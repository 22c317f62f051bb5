/**
 * Structured logs: JSON lines, each of a numbered event of the catalogue.
 */
import winston from 'winston'
import { eventCatalogue } from './events/index.ts'
import type { EventName } from './events/index.ts'

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

/** A log that drops everything, for tests and short tools. */
export function createSilentLog (): Log {
  return () => {}
}
