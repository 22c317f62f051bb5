/** Runs all checks of a commit, ignores only the failures listed in KNOWN-RED.txt, and prints the totals last. */
import { spawn, spawnSync } from 'node:child_process'
import { existsSync, readFileSync } from 'node:fs'
import { evaluateRun, parseKnownFailures, parseTap } from './tap.ts'

const checks = ['check:format', 'check:types', 'build']

/** Runs one npm script and streams its output; returns whether it passed. */
function runCheck (name: string): boolean {
  process.stdout.write(`\n== ${name}\n`)
  return spawnSync('npm', ['run', '--silent', name], { stdio: 'inherit' }).status === 0
}

/** Runs the tests and streams their output; resolves with the output and the exit code. */
function runTests (): Promise<{ text: string, exitCode: number }> {
  process.stdout.write('\n== test\n')
  return new Promise((resolve, reject) => {
    const child = spawn('npx', ['ava', '--tap'], { stdio: ['ignore', 'pipe', 'inherit'] })
    let text = ''
    child.stdout.setEncoding('utf8').on('data', (chunk: string) => {
      text += chunk
      process.stdout.write(chunk)
    })
    child.on('error', reject)
    child.on('close', code => resolve({ text, exitCode: code ?? 1 }))
  })
}

function printSection (heading: string, lines: readonly string[]): void {
  if (lines.length > 0) process.stdout.write(`\n${heading}\n${lines.map(line => `  ${line}`).join('\n')}\n`)
}

const failedChecks = checks.filter(name => !runCheck(name))
const knownFailures = existsSync('KNOWN-RED.txt') ? parseKnownFailures(readFileSync('KNOWN-RED.txt', 'utf8')) : []
const { text, exitCode } = await runTests()
const verdict = evaluateRun(parseTap(text), knownFailures, exitCode)
const failed = [...failedChecks, ...verdict.failed]
printSection('Failed:', failed)
printSection('Known failures ignored (KNOWN-RED.txt):', verdict.knownFailing.map(({ line }) => line))
printSection('Known failures that passed; remove their entries once they are fixed:', verdict.knownPassing.map(({ line }) => line))
process.stdout.write(`\n${verdict.passed + checks.length - failedChecks.length} passed, ${failed.length} failed\n`)
process.exitCode = failed.length === 0 ? 0 : 1
