/** Runs all checks of a commit, passes over the failures in KNOWN-RED.txt only, and prints the verdict last. */
import { spawn, spawnSync } from 'node:child_process'
import { existsSync, readFileSync } from 'node:fs'
import { judge, parseKnownRed, parseTap } from './tap.ts'

const checks = ['check:format', 'check:types', 'build']

/** Runs one npm script with its output as it comes; whether it passed. */
function runCheck (name: string): boolean {
  process.stdout.write(`\n== ${name}\n`)
  return spawnSync('npm', ['run', '--silent', name], { stdio: 'inherit' }).status === 0
}

/** Runs the tests, shows their output as it comes and keeps it. */
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

function print (heading: string, lines: readonly string[]): void {
  if (lines.length > 0) process.stdout.write(`\n${heading}\n${lines.map(line => `  ${line}`).join('\n')}\n`)
}

const failedChecks = checks.filter(name => !runCheck(name))
const knownRed = existsSync('KNOWN-RED.txt') ? parseKnownRed(readFileSync('KNOWN-RED.txt', 'utf8')) : []
const { text, exitCode } = await runTests()
const verdict = judge(parseTap(text), knownRed, exitCode)
const failed = [...failedChecks, ...verdict.failed]
print('Failed:', failed)
print('Known failures passed over (KNOWN-RED.txt):', verdict.passedOver.map(({ line }) => line))
print('Known failures that passed; remove their entries when they are mended:', verdict.nowPassing.map(({ line }) => line))
process.stdout.write(`\n${verdict.passed + checks.length - failedChecks.length} passed, ${failed.length} failed\n`)
process.exitCode = failed.length === 0 ? 0 : 1
