/** Structured logging in JSON lines. Each line is a numbered event of the catalogue in `events/`. */
import { writeSync } from 'node:fs'
import winston from 'winston'
import { createBoundedOutput } from './bounded-output.ts'
import { formatLine } from './format-line.ts'
import { eventCatalogue } from './events/index.ts'
import type { Clock } from '../clock/index.ts'
import type { EventName } from './events/index.ts'

export { createBoundedOutput } from './bounded-output.ts'

/** Logs an event with its fields. Fields must never contain tokens or keys of callers. */
export type Log = (event: EventName, fields?: Record<string, unknown>) => void

/** Options of a log. */
export interface LogOptions {
  /** Least severe level that is logged. */
  level: 'error' | 'warn' | 'info' | 'debug'
  /** Fields of every line, such as the node's id. */
  fields: Record<string, unknown>
}

/** Creates a log that writes JSON lines to standard error. */
export function createLog (options: LogOptions): Log {
  const logger = winston.createLogger({
    level: options.level,
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    defaultMeta: options.fields,
    transports: [new winston.transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] })]
  })
  return (event, fields = {}) => {
    const { number, level, text } = eventCatalogue[event]
    logger.log({ ...fields, level, message: text, event, number })
  }
}

/** The levels, from the most severe to the least. */
const severities: ReadonlyArray<LogOptions['level']> = ['error', 'warn', 'info', 'debug']
const stdoutFileDescriptor = 1
/** Refill rate of the token bucket that limits the log; far above what a node logs at its usual load. */
const maxLinesPerSecond = 300
/** Size of the token bucket; allows bursts such as many backend servers that change at the same time. */
const maxBurstLines = 1_500
const msPerSecond = 1_000

/** A log whose lines are written later than they are logged. */
export interface BoundedLog {
  log: Log
  /** Resolves once the lines that were logged are written, or can't be; before that, they don't outlive the process. */
  whenWritten: () => Promise<void>
}

/**
 * Creates a log to standard output that never blocks and is limited by rate:
 * lines beyond the limit are dropped, and `linesDropped` later reports how many.
 */
export function createBoundedLog (options: LogOptions, clock: Clock): BoundedLog {
  const output = createBoundedOutput(stdoutFileDescriptor, lines => { droppedLines += lines })
  // Formatted without winston, whose streams take several times the CPU time of a line, and whose modules a seventh of a start's.
  const leastSevere = severities.indexOf(options.level)
  let isFlushedAtExit = false
  let availableLines = maxBurstLines
  let refilledAtMs = clock.monotonicMs()
  let droppedLines = 0

  function write (event: EventName, fields: Record<string, unknown>): void {
    const { number, level, text } = eventCatalogue[event]
    if (severities.indexOf(level) > leastSevere) return
    if (!isFlushedAtExit) process.on('exit', output.flushNow)
    isFlushedAtExit = true
    output.write(formatLine({ timestamp: new Date(clock.wallMs()).toISOString(), ...fields, level, message: text, event, number, ...options.fields }))
  }

  const log: Log = (event, fields = {}) => {
    const nowMs = clock.monotonicMs()
    availableLines = Math.min(maxBurstLines, availableLines + (nowMs - refilledAtMs) * maxLinesPerSecond / msPerSecond)
    refilledAtMs = nowMs
    if (availableLines < 1) {
      droppedLines += 1
      return
    }
    availableLines -= 1
    if (droppedLines > 0) {
      const lines = droppedLines
      droppedLines = 0
      write('linesDropped', { lines })
    }
    write(event, fields)
  }

  return { log, whenWritten: output.whenWritten }
}

/** Writes one event to standard output at once, for a process that ends in this turn of the event loop. */
export function writeLastEvent (event: EventName, fields: Record<string, unknown>): void {
  const { number, level, text } = eventCatalogue[event]
  const line = JSON.stringify({ ...fields, level, message: text, event, number, timestamp: new Date().toISOString() })
  try {
    writeSync(stdoutFileDescriptor, `${line}\n`)
  } catch {
    // Nothing reads the output, or its pipe is full.
  }
}

/** Creates a log that discards all events, for tests and short-lived tools. */
export function createSilentLog (): Log {
  return () => {}
}
