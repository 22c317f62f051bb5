/** Runs the command line as a process of its own. */
import { execFile } from 'node:child_process'

/** What a command left behind. */
export interface CliResult {
  code: number
  stdout: string
  stderr: string
}

/** Runs the program from its sources with the given arguments and environment. */
export function runCli (args: string[], environment: Record<string, string> = {}): Promise<CliResult> {
  const env = { ...process.env, ...environment }
  return new Promise(resolve => {
    execFile(process.execPath, ['--import=tsx', 'src/main.ts', ...args], { env }, (error, stdout, stderr) => {
      resolve({ code: typeof error?.code === 'number' ? error.code : 0, stdout, stderr })
    })
  })
}
