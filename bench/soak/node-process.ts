/** One node as a process of its own, started, stopped, paused and killed by signals. */
import { spawn } from 'node:child_process'
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import type { ChildProcess } from 'node:child_process'

const settingsVariable = 'CYCLAMENSHUNT_SETTINGS'
const maxLogLines = 2_000

/** A node over all lives of its process. */
export interface NodeProcess {
  readonly name: string
  readonly callersPort: number
  readonly readinessPort: number
  life: () => number
  isUp: () => boolean
  /** Number of kills and pauses so far; a request during which it grew says nothing of planned stops. */
  disturbances: () => number
  isPaused: () => boolean
  start: () => void
  stop: () => void
  kill: () => void
  pause: () => void
  resume: () => void
  reload: () => void
  /** The last lines that it wrote. */
  log: () => string[]
}

/** What a node is started with. */
export interface NodeProcessOptions {
  name: string
  /** Path of the built program. */
  program: string
  folder: string
  callersPort: number
  readinessPort: number
  /** Its settings in its first life, and in later ones. */
  settings: (isFirstLife: boolean) => string
}

/** Creates the node; `start` runs its first process. */
export function createNodeProcess (options: NodeProcessOptions): NodeProcess {
  const { name, folder, program } = options
  const path = join(folder, `${name}.conf`)
  let child: ChildProcess | undefined
  let life = 0
  let disturbances = 0
  let isPaused = false
  let log: string[] = []

  function signal (kind: NodeJS.Signals): void {
    child?.kill(kind)
  }

  function disturb (kind: NodeJS.Signals): void {
    disturbances += 1
    signal(kind)
  }

  function keep (text: string): void {
    log = [...log, ...text.split('\n').filter(line => line !== '')].slice(-maxLogLines)
  }

  function start (): void {
    if (child !== undefined) return
    life += 1
    isPaused = false
    writeFileSync(path, options.settings(life === 1))
    const started = spawn(process.execPath, [program], { env: { [settingsVariable]: path }, stdio: ['ignore', 'pipe', 'pipe'] })
    child = started
    started.stdout.on('data', (bytes: Buffer) => keep(String(bytes)))
    started.stderr.on('data', (bytes: Buffer) => keep(String(bytes)))
    started.on('exit', () => { if (child === started) child = undefined })
  }

  return {
    name,
    callersPort: options.callersPort,
    readinessPort: options.readinessPort,
    life: () => life,
    isUp: () => child !== undefined,
    disturbances: () => disturbances,
    isPaused: () => isPaused,
    start,
    stop: () => signal('SIGTERM'),
    kill: () => disturb('SIGKILL'),
    pause: () => {
      isPaused = true
      disturb('SIGSTOP')
    },
    resume: () => {
      isPaused = false
      disturb('SIGCONT')
    },
    reload: () => signal('SIGHUP'),
    log: () => log
  }
}
