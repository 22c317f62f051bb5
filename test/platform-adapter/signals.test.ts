/** Signal handling of the built program, run as a separate process. */
import test from 'ava'
import { createSystemClock } from '../../src/core/clock/index.ts'
import { createCaller } from '../../bench/soak/callers.ts'
import { startSoakDeployment } from '../../bench/soak/deployment.ts'
import { buildProgram } from './build-program.ts'

const clock = createSystemClock()
/** Value of `random` for which a backend server takes 900 ms per request. */
const slowRandomValue = 15

let program = ''
test.before(() => {
  program = buildProgram()
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
