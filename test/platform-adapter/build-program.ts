/** Builds the program of the platform for one test file; files run beside each other, so each has its own. */
import { execFileSync } from 'node:child_process'
import { join } from 'node:path'

/** Builds it; returns the path to run. */
export function buildProgram (): string {
  const folder = join('.cache', 'program', String(process.pid))
  execFileSync(process.execPath, ['--import=tsx', 'scripts/build-platform.ts', folder], { stdio: 'inherit' })
  return join(folder, 'cyclamenshunt.cjs')
}
