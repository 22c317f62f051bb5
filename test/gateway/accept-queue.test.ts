/** Connections that wait to be accepted when the listener for callers is closed. */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { existsSync, mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import { connectCaller } from '../raw-caller.ts'
import { respondOk, startGateway } from './deployment.ts'

const count = 40
/** Longest work in a turn of the event loop of a node that is short of processor time. */
const turnMs = 15

/** Opens `count` connections and sends a request on each, creates the file, and then prints how many requests are answered. */
function clientCode (port: number, file: string): string {
  return `
    let sent = 0, ended = 0, answered = 0
    for (let index = 0; index < ${count}; index += 1) {
      const socket = require('node:net').connect(${port}, '127.0.0.1')
      const head = ['GET /look-up/ HTTP/1.1', 'host: 127.0.0.1', 'authorization: Bearer key-1', 'x-request: r-' + index, '', ''].join('\\r\\n')
      socket.on('connect', () => socket.write(head, () => { if (++sent === ${count}) require('node:fs').writeFileSync('${file}', '') }))
      let text = ''
      socket.on('data', bytes => { text += bytes }).on('error', () => {}).on('close', () => {
        if (text.startsWith('HTTP/1.1 200')) answered += 1
        if (++ended === ${count}) process.stdout.write(String(answered))
      })
    }`
}

test('requests on connections that wait to be accepted when the listener is closed are answered', async t => {
  const { port, ingress, state } = await startGateway(t, [respondOk])
  const folder = mkdtempSync(join(tmpdir(), 'accept-queue-'))
  const file = join(folder, 'sent')
  const client = spawn(process.execPath, ['-e', clientCode(port, file)], { stdio: ['ignore', 'pipe', 'inherit'] })
  t.teardown(() => {
    client.kill('SIGKILL')
    rmSync(folder, { recursive: true })
  })
  // Blocks the event loop until all connections and their requests have arrived and wait.
  while (!existsSync(file));
  state.isDraining = true
  const nowMs = performance.now()
  const drained = ingress.drain({ listenUntilMs: nowMs, endsAtMs: nowMs + 5_000, endRequests: () => {} })
  const [answered] = await once(client.stdout, 'data') as [Buffer]
  t.is(Number(String(answered)), count)
  await drained
})

/** Opens connections and requests without end, some at a time. */
function endlessClientCode (port: number): string {
  return `
    const open = () => {
      const socket = require('node:net').connect(${port}, '127.0.0.1')
      socket.on('error', () => {}).on('close', () => setTimeout(open, 1)).on('data', () => socket.destroy())
      socket.write(['GET /look-up/ HTTP/1.1', 'host: 127.0.0.1', '', ''].join('\\r\\n'))
    }
    for (let count = 0; count < ${count}; count += 1) open()`
}

// Guards against a node that outlasts its grace period and is killed with requests unanswered, because connections came without end and each took a turn of a slow event loop.
test('connections that come without end put off neither the answers that are due at the end of a stop nor the close', async t => {
  const { port, ingress, state } = await startGateway(t, [() => {}])
  const client = spawn(process.execPath, ['-e', endlessClientCode(port)], { stdio: ['ignore', 'ignore', 'inherit'] })
  const caller = await connectCaller(port)
  caller.write('GET /look-up/ HTTP/1.1\r\nhost: 127.0.0.1\r\nauthorization: Bearer key-1\r\nx-request: r-1\r\n\r\n')
  const stall = (): void => {
    const untilMs = performance.now() + turnMs
    while (performance.now() < untilMs);
    turns = setImmediate(stall)
  }
  let turns = setImmediate(stall)
  t.teardown(() => {
    client.kill('SIGKILL')
    clearImmediate(turns)
  })
  state.isDraining = true
  const endsAtMs = performance.now() + 1_000
  const endedAtMs = new Promise<number>(resolve => {
    ingress.drain({ listenUntilMs: 0, endsAtMs, endRequests: () => resolve(performance.now()) }).then(() => { closedAtMs = performance.now() })
  })
  let closedAtMs: number | undefined
  t.true(await endedAtMs < endsAtMs + 10 * turnMs)
  await new Promise(resolve => setTimeout(resolve, 1_000))
  t.true(closedAtMs !== undefined && closedAtMs < endsAtMs + 500)
})
