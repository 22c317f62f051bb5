/** Runs one node as a separate process that is stopped, paused and killed by signals. */
import { spawn } from 'node:child_process'
import { readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { readNodeFlags } from '../../scripts/node-flags.ts'
import type { ChildProcess } from 'node:child_process'

const settingsEnvVar = 'CYCLAMENSHUNT_SETTINGS'
const maxLogLines = 2_000

/** A node across all starts of its process. */
export interface NodeProcess {
  readonly name: string
  readonly callersPort: number
  readonly readinessPort: number
  startCount: () => number
  isUp: () => boolean
  /** Whether the current process has logged a line, so that its program runs. */
  hasLogged: () => boolean
  /** Number of kills, pauses and resumes so far. A request during which it grows is no evidence about planned stops. */
  interruptionCount: () => number
  /** Whether its process is paused, or was killed and hasn't ended yet, which takes a while on a busy machine. */
  isInterrupted: () => boolean
  start: () => void
  stop: () => void
  kill: () => void
  pause: () => void
  resume: () => void
  reload: () => void
  /** The most memory that the current process has occupied; undefined without a process, or where the system doesn't say. */
  peakMemoryBytes: () => number | undefined
  /** The last lines of standard output and standard error, over all starts. */
  log: () => string[]
}

/** The end of a node's process. */
export interface NodeExit {
  node: string
  startCount: number
  atMs: number
  /** Exit code; null if a signal ended the process. */
  code: number | null
  signal: NodeJS.Signals | null
}

/** Why the end of a process was not asked for; undefined if it was stopped or killed. */
export function describeOwnEnd ({ node, startCount, code, signal }: NodeExit): string | undefined {
  const isAskedFor = code === 0 || signal === 'SIGKILL' || signal === 'SIGTERM'
  return isAskedFor ? undefined : `start ${startCount} of ${node} ended by itself with ${signal ?? `status ${code}`}`
}

export interface NodeProcessOptions {
  name: string
  /** Path of the built program. */
  program: string
  folder: string
  callersPort: number
  readinessPort: number
  /** Renders the settings file for the first or a later start. */
  settings: (isFirstStart: boolean) => string
  /** Called for each line that the process logs. */
  onLogLine?: (line: string) => void
  onExit?: (exit: NodeExit) => void
}

/** Creates the node without a process; `start` runs the first one. */
export function createNodeProcess (options: NodeProcessOptions): NodeProcess {
  const { name, folder, program } = options
  const settingsFile = join(folder, `${name}.conf`)
  let child: ChildProcess | undefined
  let startCount = 0
  let interruptionCount = 0
  let isPaused = false
  let isKilled = false
  let hasLogged = false
  let log: string[] = []

  function sendSignal (kind: NodeJS.Signals): void {
    child?.kill(kind)
  }

  function interrupt (kind: NodeJS.Signals): void {
    interruptionCount += 1
    sendSignal(kind)
  }

  function appendLine (line: string): void {
    hasLogged = true
    log.push(line)
    if (log.length > 2 * maxLogLines) log = log.slice(-maxLogLines)
    options.onLogLine?.(line)
  }

  function start (): void {
    if (child !== undefined) return
    startCount += 1
    isPaused = false
    isKilled = false
    writeFileSync(settingsFile, options.settings(startCount === 1))
    const started = spawn(process.execPath, [...readNodeFlags(), program], { env: { [settingsEnvVar]: settingsFile }, stdio: ['ignore', 'pipe', 'pipe'] })
    child = started
    hasLogged = false
    for (const input of [started.stdout, started.stderr]) createInterface({ input }).on('line', appendLine)
    const count = startCount
    started.on('exit', (code, signal) => {
      if (child === started) child = undefined
      options.onExit?.({ node: name, startCount: count, atMs: performance.now(), code, signal })
    })
  }

  function peakMemoryBytes (): number | undefined {
    try {
      const peakKibibytes = /^VmHWM:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${child?.pid}/status`, 'utf8'))?.[1]
      return peakKibibytes === undefined ? undefined : Number(peakKibibytes) * 1_024
    } catch {
      return undefined
    }
  }

  return {
    name,
    callersPort: options.callersPort,
    readinessPort: options.readinessPort,
    startCount: () => startCount,
    isUp: () => child !== undefined,
    hasLogged: () => hasLogged,
    interruptionCount: () => interruptionCount,
    isInterrupted: () => isPaused || isKilled,
    start,
    stop: () => sendSignal('SIGTERM'),
    kill: () => {
      isKilled = true
      interrupt('SIGKILL')
    },
    pause: () => {
      isPaused = true
      interrupt('SIGSTOP')
    },
    resume: () => {
      isPaused = false
      interrupt('SIGCONT')
    },
    reload: () => sendSignal('SIGHUP'),
    peakMemoryBytes,
    log: () => log.slice(-maxLogLines)
  }
}
