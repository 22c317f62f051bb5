/** The built program as a process of its own, and the signals that it gets. */
import test from 'ava'
import { createSystemClock } from '../../src/core/clock/index.ts'
import { createCaller } from '../../bench/soak/callers.ts'
import { startWorld } from '../../bench/soak/world.ts'
import { buildProgram } from './build-program.ts'

const clock = createSystemClock()
/** Draw of the world that makes a backend server work for 900 ms. */
const slowDraw = 15

let program = ''
test.before(() => {
  program = buildProgram()
})

test('a stop that is asked for twice, and a reload in between, still finish what is open', async t => {
  // Found by `npm run soak -- --seed 712`, where two stops of a node overlapped.
  const ran: string[] = []
  const world = await startWorld({ nodeCount: 1, program, onRun: id => { ran.push(id) }, random: () => slowDraw })
  const caller = createCaller()
  t.teardown(async () => {
    caller.close()
    await world.close()
  })
  const node = world.nodes[0]!
  const isServing = async (id: string): Promise<boolean> => {
    const end = await caller.call(node, '/look-up/a', id)
    return end.kind === 'answer' && end.status === 200
  }
  for (let tries = 0; !await isServing(`first-${tries}`); tries += 1) await clock.sleep(50)
  const open = caller.call(node, '/look-up/a', 'open')
  while (!ran.includes('open')) await clock.sleep(10)
  node.stop()
  await clock.sleep(100)
  node.reload()
  node.stop()
  t.like(await open, { kind: 'answer', status: 200, body: 'open' })
})
