/** Builds the binary for the tests that run it. */
import { execFileSync } from 'node:child_process'
import { resolve } from 'node:path'

/** Builds anew, so that no test passes over a binary of older sources; returns its path. */
export function buildBinary (): string {
  execFileSync(process.execPath, ['--import=tsx', 'scripts/build.ts'])
  return resolve('dist/cyclamenshunt')
}
