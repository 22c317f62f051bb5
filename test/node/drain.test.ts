/** A node drains by the time that it was given, whatever the wall clock does meanwhile. */
import test from 'ava'
import { createManualClock } from '../../src/core/clock/index.ts'
import { drainNode } from '../../src/core/node/drain.ts'
import type { DrainOptions } from '../../src/core/node/drain.ts'

const hourMs = 3_600_000
const doNothing = (): void => {}

for (const [direction, jumpMs] of [['forward', hourMs], ['back', -hourMs]] as const) {
  test(`a drain ends neither earlier nor later when the wall clock jumps ${direction}`, async t => {
    const clock = createManualClock()
    let offsetMs = 0
    const steps: Array<[string, number]> = []
    const step = (name: string): void => { steps.push([name, clock.monotonicMs()]) }
    const options = {
      clock: { ...clock, wallMs: () => clock.wallMs() + offsetMs },
      log: doNothing,
      shutdown: { leaving: false, draining: false },
      admission: { drain: doNothing },
      drafts: { stopAdopting: doNothing, openCount: () => 1, handOverAll: async () => step('hand over') },
      calls: { leave: doNothing, drain: async () => step('calls') },
      membership: { leave: doNothing },
      server: { close: async (deadlineAtMs: number) => { steps.push(['close by', deadlineAtMs]) } },
      balancerDelayMs: 0
    } as unknown as DrainOptions
    const drained = drainNode(options, clock.wallMs() + 20_000)
    await clock.advance(5_000)
    offsetMs = jumpMs
    await clock.advance(20_000)
    t.deepEqual(steps, [['hand over', 15_000], ['calls', 15_000], ['close by', 20_000]])
    await drained
  })
}
