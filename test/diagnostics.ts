/** What tells the cause of a failed test: the log lines of its nodes, and long turns of the event loop. */
import { createSystemClock } from '../src/core/clock/index.ts'
import type { ExecutionContext } from 'ava'
import type { Log } from '../src/core/log/index.ts'

const sampleIntervalMs = 10
/** Delay of a timer from which on a turn of the event loop counts as long. */
const longTurnMs = 50
const maxLines = 600
const maxTurns = 100

/** Records lines and turns until the test ends, and prints them if it failed. */
export interface TestDiagnostics {
  /** A log whose lines name their node. */
  logOf: (node: string) => Log
  /** Adds a line of the test's own. */
  note: (text: string) => void
}

/** Starts the recording for a test, which ends with it. */
export function createTestDiagnostics (t: ExecutionContext): TestDiagnostics {
  const clock = createSystemClock()
  const startedAtMs = clock.monotonicMs()
  const lines: string[] = []
  const turns: string[] = []
  let sampledAtMs = startedAtMs

  function sinceStartMs (): number {
    return Math.round(clock.monotonicMs() - startedAtMs)
  }

  function note (text: string): void {
    if (lines.length === maxLines) lines.shift()
    lines.push(`${sinceStartMs()} ms: ${text}`)
  }

  const timer = setInterval(() => {
    const nowMs = clock.monotonicMs()
    const lateMs = Math.round(nowMs - sampledAtMs - sampleIntervalMs)
    sampledAtMs = nowMs
    if (lateMs >= longTurnMs && turns.length < maxTurns) turns.push(`${sinceStartMs()} ms: a turn of the event loop took about ${lateMs} ms`)
  }, sampleIntervalMs)
  t.teardown(() => {
    clearInterval(timer)
    if (!t.passed) t.log([...turns, ...lines].join('\n'))
  })

  return {
    logOf: node => (event, fields = {}) => note(`${node} ${event} ${JSON.stringify(fields)}`),
    note
  }
}
