/** Shows on standard error what the demo is doing. */
import type { Workload } from './workload.ts'

const intervalMs = 3_000

/** Progress of a run. */
export interface Progress {
  /** Writes one line with the time since the start. */
  say: (text: string) => void
  /** Writes the state of the workload at intervals; returns a function that stops it. */
  follow: (workload: Workload) => () => void
}

/** Starts the clock of the progress lines. */
export function createProgress (): Progress {
  const startedAtMs = Date.now()

  function say (text: string): void {
    const seconds = ((Date.now() - startedAtMs) / 1000).toFixed(1).padStart(6)
    process.stderr.write(`${seconds} s  ${text}\n`)
  }

  function follow ({ drafts, calls, open }: Workload): () => void {
    const timer = setInterval(() => {
      const tokens = drafts.reduce((sum, { summary }) => sum + (summary?.events ?? 0), 0)
      say(`${drafts.length} drafts with ${tokens} tokens, ${calls.length} registrations, ${open()} open`)
    }, intervalMs)
    return () => clearInterval(timer)
  }

  return { say, follow }
}
