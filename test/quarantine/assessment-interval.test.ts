/** How soon a node assesses crashes again. */
import test from 'ava'
import { createManualClock } from '../../src/core/clock/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createQuarantine } from '../../src/core/quarantine/index.ts'
import { partsOf, service } from './cluster.ts'
import { toId } from '../../src/core/ids/index.ts'
import type { AttemptId, BackendId } from '../../src/core/ids/index.ts'

const reportDelayMs = 50
const assessmentIntervalMs = 50

// Guards against an interval by the wall time of an assessment, which is long on a node that is short of processor time.
test('a part is quarantined as soon as all reports of its third crash have arrived, although the process was preempted during the first assessment', async t => {
  const clock = createManualClock()
  let preemptedMs = 0
  const preemptedClock = { ...clock, monotonicMs: () => clock.monotonicMs() + preemptedMs }
  const quarantine = createQuarantine({
    clock: preemptedClock,
    log: () => {},
    metrics: createMetrics(),
    random: () => 0,
    nodeCount: () => {
      // Called during an assessment.
      preemptedMs = 30
      return 1
    },
    reportDelayMs: () => reportDelayMs,
    isDeciding: () => true,
    claimTrial: async () => false,
    processorMs: () => 0
  })
  for (let index = 0; index < 3; index += 1) {
    quarantine.recordCrash({
      attempt: toId<AttemptId>(`att-${index}`), service, backend: toId<BackendId>(`s-${index}`), backendStartedAtMs: undefined, features: partsOf('bad'), hasStarted: true, inProgress: 1, crashedAtMs: clock.wallMs()
    })
    await clock.advance(20)
  }
  await clock.advance(reportDelayMs + assessmentIntervalMs)
  t.not(quarantine.find(service, partsOf('bad')), undefined)
})
