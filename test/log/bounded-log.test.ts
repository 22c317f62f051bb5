/** The log of a busy process: bounded in volume, and never waiting for its reader. */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'
import test from 'ava'
import type { Readable } from 'node:stream'

const writer = fileURLToPath(new URL('busy-writer.ts', import.meta.url))

interface Written {
  lines: Array<{ event: string, lines?: number, request?: string }>
  offered: number
}

async function textOf (stream: Readable): Promise<string> {
  let text = ''
  for await (const chunk of stream) text += String(chunk)
  return text
}

/** Runs the writer; its output is read only once `readFrom` says so. */
async function run (args: number[], readFrom: 'start' | 'end'): Promise<Written> {
  const child = spawn(process.execPath, ['--import=tsx', writer, ...args.map(String)])
  const early = readFrom === 'start' ? textOf(child.stdout) : undefined
  // The writer is through, though what it wrote may still wait for a reader.
  const [report] = await once(child.stderr, 'data') as [Buffer]
  const { offered } = JSON.parse(String(report)) as { offered: number }
  const text = await (early ?? textOf(child.stdout))
  if (child.exitCode === null) await once(child, 'exit')
  const lines = text.trim().split('\n').map(line => JSON.parse(line) as Written['lines'][number])
  return { lines, offered }
}

const toldDropped = ({ lines }: Written): number => lines.reduce((sum, line) => sum + (line.event === 'linesDropped' ? line.lines ?? 0 : 0), 0)
const served = ({ lines }: Written): number => lines.filter(({ event }) => event === 'gatewayAnswered').length

test('up to its bound every line is written', async t => {
  const written = await run([2, 50, 10], 'start')
  t.is(served(written), 101)
  t.is(toldDropped(written), 0)
})

test('at many times the bound, lines are dropped, and each one is told of', async t => {
  const written = await run([100, 100, 10], 'start')
  t.true(served(written) < written.offered / 2, `${served(written)} of ${written.offered}`)
  t.is(served(written) + toldDropped(written), written.offered)
})

test('a reader that does not read holds the process up by nothing', async t => {
  // The writer ends its own run and says so while nobody reads what it wrote.
  const written = await run([100, 15, 10], 'end')
  t.is(written.offered, 1_501)
  t.true(served(written) + toldDropped(written) <= written.offered)
})
