/** The log of a busy process is limited in volume and never blocks the process, even if nobody reads it. */
import { spawn } from 'node:child_process'
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { once } from 'node:events'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import test from 'ava'
import { createBoundedOutput } from '../../src/core/log/index.ts'
import type { Readable } from 'node:stream'

const writer = fileURLToPath(new URL('busy-writer.ts', import.meta.url))

interface WriterResult {
  lines: Array<{ event: string, lines?: number, request?: string }>
  loggedLines: number
}

async function readText (stream: Readable): Promise<string> {
  let text = ''
  for await (const chunk of stream) text += String(chunk)
  return text
}

/** Runs the writer. Its output is read from the start, or only after it has logged everything. */
async function runWriter (args: number[], readFrom: 'start' | 'end'): Promise<WriterResult> {
  const child = spawn(process.execPath, ['--import=tsx', writer, ...args.map(String)])
  const pendingText = readFrom === 'start' ? readText(child.stdout) : undefined
  // At this point the writer has logged everything, although some lines may not have been read yet.
  const [report] = await once(child.stderr, 'data') as [Buffer]
  const { loggedLines } = JSON.parse(String(report)) as { loggedLines: number }
  const text = await (pendingText ?? readText(child.stdout))
  if (child.exitCode === null) await once(child, 'exit')
  const lines = text.trim().split('\n').map(line => JSON.parse(line) as WriterResult['lines'][number])
  return { lines, loggedLines }
}

const reportedDroppedLines = ({ lines }: WriterResult): number => lines.reduce((sum, line) => sum + (line.event === 'linesDropped' ? line.lines ?? 0 : 0), 0)
const writtenLines = ({ lines }: WriterResult): number => lines.filter(({ event }) => event === 'gatewayAnswered').length

test('no line is dropped below the limit', async t => {
  const result = await runWriter([2, 50, 10], 'start')
  t.is(writtenLines(result), 101)
  t.is(reportedDroppedLines(result), 0)
})

test('far above the limit, lines are dropped and all of them are reported', async t => {
  const result = await runWriter([100, 100, 10], 'start')
  t.true(writtenLines(result) < result.loggedLines / 2, `${writtenLines(result)} of ${result.loggedLines}`)
  t.is(writtenLines(result) + reportedDroppedLines(result), result.loggedLines)
})

test('a reader that does not read does not block the process', async t => {
  // The writer reports that it has finished while nobody reads its output.
  const result = await runWriter([100, 15, 10], 'end')
  t.is(result.loggedLines, 1_501)
  t.true(writtenLines(result) + reportedDroppedLines(result) <= result.loggedLines)
})

// Guards against a write that waits for the reader of a full pipe. The shell connects processes by a pipe, Node.js its children by sockets.
test('a pipe that is not read does not block the process, and its lines arrive whole', async t => {
  const folder = mkdtempSync(join(tmpdir(), 'log-'))
  t.teardown(() => rmSync(folder, { recursive: true }))
  const mayRead = join(folder, 'may-read')
  const child = spawn('sh', ['-c', '"$@" | { while [ ! -e "$MAY_READ" ]; do sleep 0.05; done; cat; }', 'sh', process.execPath, '--import=tsx', writer, '100', '15', '10'], { env: { ...process.env, MAY_READ: mayRead } })
  const [report] = await once(child.stderr, 'data') as [Buffer]
  writeFileSync(mayRead, '')
  const { loggedLines } = JSON.parse(String(report)) as { loggedLines: number }
  const text = await readText(child.stdout)
  const lines = text.trim().split('\n').map(line => JSON.parse(line) as WriterResult['lines'][number])
  t.is(loggedLines, 1_501)
  // More than a pipe holds, so that the rest was written after the reader had begun.
  t.true(lines.length > 1_000, `${lines.length} lines`)
  t.true(writtenLines({ lines, loggedLines }) + reportedDroppedLines({ lines, loggedLines }) <= loggedLines)
})

// Guards against requests without a line when a stop ends hundreds of them at once.
test('a burst of as many lines as the rate limit allows is written whole', async t => {
  const count = 1_500
  const lineBytes = 1_300
  const folder = mkdtempSync(join(tmpdir(), 'log-'))
  const path = join(folder, 'lines')
  const file = openSync(path, 'w')
  t.teardown(() => {
    closeSync(file)
    rmSync(folder, { recursive: true })
  })
  let droppedLines = 0
  const output = createBoundedOutput(file, lines => { droppedLines += lines })
  for (let line = 0; line < count; line += 1) output.write(`${'x'.repeat(lineBytes - 1)}\n`)
  await output.whenWritten()
  t.is(droppedLines, 0)
  t.is(readFileSync(path, 'utf8').length, count * lineBytes)
})

test('the lines of the last moments of a process are written before it exits', async t => {
  // Fewer than the buffer and the pipe hold.
  const count = 300
  const child = spawn(process.execPath, ['--import=tsx', fileURLToPath(new URL('exiting-writer.ts', import.meta.url)), String(count)])
  const text = await readText(child.stdout)
  t.is(text.trim().split('\n').length, count)
})

// Guards against an end by an unexpected error whose last lines, which tell its cause, wait to be written with others.
test('the lines of the turn in which a process exits are written', async t => {
  // The shell connects both processes by a pipe, Node.js its children by sockets.
  const child = spawn('sh', ['-c', '"$@" | cat', 'sh', process.execPath, '--import=tsx', fileURLToPath(new URL('exiting-writer.ts', import.meta.url)), '3', 'at-once'])
  const text = await readText(child.stdout)
  t.is(text.trim().split('\n').length, 3)
})

// Guards against lines that are lost because a field of an event is named like a part of every line.
test('a field that is named like the level, the message or the number of a line does not replace it', async t => {
  for (const name of ['level', 'message', 'event', 'number']) {
    const child = spawn(process.execPath, ['--import=tsx', fileURLToPath(new URL('exiting-writer.ts', import.meta.url)), '1', name])
    const text = await readText(child.stdout)
    t.like(JSON.parse(text), { level: 'warn', event: 'answerNotDelivered', number: 706, request: 'r-0' }, name)
  }
})
