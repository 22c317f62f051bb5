/** The log of a busy process is limited in volume and never blocks the process, even if nobody reads it. */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'
import test from 'ava'
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

test('the lines of the last moments of a process are written before it exits', async t => {
  // Fewer than the buffer and the pipe hold.
  const count = 300
  const child = spawn(process.execPath, ['--import=tsx', fileURLToPath(new URL('exiting-writer.ts', import.meta.url)), String(count)])
  const text = await readText(child.stdout)
  t.is(text.trim().split('\n').length, count)
})
