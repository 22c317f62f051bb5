/** The flags of Node.js with which the platform runs a node. */
import { readFileSync } from 'node:fs'

const runPattern = /^run = "node ((?:--\S+ )*)target\/cyclamenshunt\.cjs"$/m

/** Reads the flags from deploy/system.toml; throws if it has no such line. */
export function readNodeFlags (): string[] {
  const flags = runPattern.exec(readFileSync('deploy/system.toml', 'utf8'))?.[1]
  if (flags === undefined) throw new Error('deploy/system.toml does not run target/cyclamenshunt.cjs')
  return flags.split(' ').filter(flag => flag !== '')
}
