/** Signals to `serve` before its node has started and while it drains. */
import { execFileSync, spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, rmSync } from 'node:fs'
import { open } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import { findFreePorts } from '../free-ports.ts'
import type { ExecutionContext } from 'ava'

const port = await findFreePorts(2)
const settings = {
  node: 'entry-1',
  failureDomain: 'attica-1',
  callers: { host: '127.0.0.1', port },
  peers: { host: '127.0.0.1', port: port + 1 },
  platform: { keyValue: { endpoints: ['http://127.0.0.1:1'] }, instanceList: { url: 'http://127.0.0.1:1' } },
  drain: { maxDrainMs: 4_000, balancerDelayMs: 2_000 }
}

/** Starts `serve`, whose settings are a pipe; `configure` writes them as soon as the process reads them. */
function startServe (t: ExecutionContext) {
  const folder = mkdtempSync(join(tmpdir(), 'cyclamenshunt-serve-'))
  const file = join(folder, 'node.yaml')
  execFileSync('mkfifo', [file])
  const child = spawn(process.execPath, ['--import=tsx', 'src/main.ts', 'serve', '--config', file], { env: { ...process.env, CYCLAMENSHUNT_PEER_KEY: 'k'.repeat(32) }, stdio: ['ignore', 'inherit', 'pipe'] })
  t.teardown(() => {
    child.kill('SIGKILL')
    rmSync(folder, { recursive: true })
  })
  let log = ''
  child.stderr.on('data', (bytes: Buffer) => { log += String(bytes) })
  async function configure (beforeContent = (): void => {}): Promise<void> {
    const pipe = await open(file, 'w')
    beforeContent()
    await pipe.writeFile(JSON.stringify(settings))
    await pipe.close()
  }
  return { child, log: () => log, configure }
}

test('a SIGHUP and two SIGTERMs before the settings are read end the process regularly, without a start', async t => {
  const { child, configure, log } = startServe(t)
  const ended = once(child, 'close')
  await configure(() => { for (const signal of ['SIGHUP', 'SIGTERM', 'SIGTERM'] as const) child.kill(signal) })
  t.deepEqual(await ended, [0, null])
  t.is(log(), '')
})

test('a second SIGTERM and a SIGHUP during the drain do not end the process', async t => {
  const { child, configure, log } = startServe(t)
  const ended = once(child, 'close')
  await configure()
  const waitFor = async (event: string): Promise<void> => { while (!log().includes(event) && child.exitCode === null && child.signalCode === null) await new Promise(resolve => setTimeout(resolve, 20)) }
  await waitFor('nodeStarted')
  child.kill('SIGTERM')
  await waitFor('nodeDraining')
  for (const signal of ['SIGTERM', 'SIGHUP'] as const) child.kill(signal)
  t.deepEqual(await ended, [0, null])
  t.true(log().includes('nodeStopped'))
})
