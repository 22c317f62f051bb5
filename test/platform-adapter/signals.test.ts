/** Signal handling of the built program, run as a separate process. */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { copyFileSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import test from 'ava'
import { createSystemClock } from '../../src/core/clock/index.ts'
import { createCaller } from '../../bench/soak/callers.ts'
import { startSoakDeployment } from '../../bench/soak/deployment.ts'
import { connectCaller } from '../raw-caller.ts'
import { buildProgram } from './build-program.ts'
import { graceMs } from './soak-deployment.ts'

const clock = createSystemClock()
/** Value of `random` for which a backend server takes 900 ms per request. */
const slowRandomValue = 15
/** Time from a signal until the node can handle it. */
const stallMs = 1_500

let program = ''
test.before(() => {
  program = buildProgram()
})

/** Copies the program and prepends code to its bundle; returns the path of the copy. */
function changeProgram (name: string, code: string): string {
  const folder = join(dirname(program), name)
  mkdirSync(folder, { recursive: true })
  copyFileSync(program, join(folder, 'cyclamenshunt.cjs'))
  writeFileSync(join(folder, 'node.cjs'), code + readFileSync(join(dirname(program), 'node.cjs'), 'utf8'))
  return join(folder, 'cyclamenshunt.cjs')
}

test('a SIGHUP and two SIGTERMs while the program is loaded end it regularly, without a start', async t => {
  const loading = changeProgram('waiting-load', 'require("node:fs").writeSync(1, "loading");require("node:fs").readSync(0, Buffer.alloc(1));')
  const child = spawn(process.execPath, [loading], { env: {}, stdio: ['pipe', 'pipe', 'inherit'] })
  await once(child.stdout, 'data')
  for (const signal of ['SIGHUP', 'SIGTERM', 'SIGTERM'] as const) child.kill(signal)
  child.stdin.end('x')
  t.deepEqual(await once(child, 'exit'), [0, null])
})

test('a node that gets SIGTERM before it listens starts and stops in order', async t => {
  const listeningLate = changeProgram('slow-listen', 'const { Server } = require("node:net"), { listen } = Server.prototype;Server.prototype.listen = function (...options) { setTimeout(() => listen.apply(this, options), 300); return this };')
  const deployment = await startSoakDeployment({ nodeCount: 1, program: listeningLate, onRun: () => {}, onArrival: () => {}, onPrompt: () => {}, onCrash: () => {}, onRequestCrash: () => {}, random: () => 0 })
  t.teardown(deployment.close)
  const node = deployment.nodes[0]!
  const hasLogged = (event: string): boolean => node.log().some(line => line.includes(event))
  while (!hasLogged('nodeStarted')) await clock.sleep(10)
  node.stop()
  while (node.isUp()) await clock.sleep(50)
  for (let tries = 0; tries < 50 && !hasLogged('nodeStopped'); tries += 1) await clock.sleep(20)
  t.true(hasLogged('nodeStopped'))
})

test('a second SIGTERM and a SIGHUP during a stop do not abort open requests', async t => {
  // Found by `npm run soak -- --seed 712`, in which a node was stopped again while it was stopping.
  const executed: string[] = []
  const deployment = await startSoakDeployment({ nodeCount: 1, program, onRun: id => { executed.push(id) }, onArrival: () => {}, onPrompt: () => {}, onCrash: () => {}, onRequestCrash: () => {}, random: () => slowRandomValue })
  const caller = createCaller()
  t.teardown(async () => {
    caller.close()
    await deployment.close()
  })
  const node = deployment.nodes[0]!
  const isServing = async (id: string): Promise<boolean> => {
    const end = await caller.call(node, '/look-up/a', id)
    return end.kind === 'answer' && end.status === 200
  }
  for (let tries = 0; !await isServing(`first-${tries}`); tries += 1) await clock.sleep(50)
  const open = caller.call(node, '/look-up/a', 'open')
  while (!executed.includes('open')) await clock.sleep(10)
  node.stop()
  await clock.sleep(100)
  node.reload()
  node.stop()
  t.like(await open, { kind: 'answer', status: 200, body: 'open' })
})

// Guards against a grace period that counts from the time at which the node handled its signal.
test('a node that was stalled when SIGTERM came ends within its grace period', async t => {
  let exitedAtMs = Infinity
  const deployment = await startSoakDeployment({ nodeCount: 1, program, onRun: () => {}, onArrival: () => {}, onPrompt: () => {}, onCrash: () => {}, onRequestCrash: () => {}, onExit: ({ atMs }) => { exitedAtMs = atMs }, random: () => 0 })
  t.teardown(deployment.close)
  const node = deployment.nodes[0]!
  while (!node.log().some(line => line.includes('nodeReady'))) await clock.sleep(20)
  const caller = await connectCaller(node.callersPort)
  t.teardown(() => caller.socket.destroy())
  // A request that is open until the end of the stop.
  caller.write('POST /look-up/a HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\n')
  await clock.sleep(100)
  node.pause()
  const stoppedAtMs = clock.monotonicMs()
  node.stop()
  await clock.sleep(stallMs)
  node.resume()
  t.like(await caller.nextResponse(), { status: 503, isComplete: true })
  while (node.isUp()) await clock.sleep(20)
  t.true(exitedAtMs - stoppedAtMs <= graceMs, `it ended ${Math.round(exitedAtMs - stoppedAtMs)} ms after the signal`)
})
