/** A refusal that says `not run` is true, also for repeats and while the key-value service is down. */
import { runCallTrial } from '../simulation/call-trial.ts'
import { findFalseNotRun, judge } from '../simulation/judge.ts'
import type { FaultKind } from '../simulation/faults.ts'
import type { PromiseProof } from '../types.ts'

const faults: FaultKind[] = [
  'link-cut', 'link-half-open', 'store-down', 'store-down-for-one', 'store-slow', 'store-answers-lost', 'node-killed',
  'node-frozen', 'lease-lapsed', 'reclaim-wave', 'service-refusing', 'messages-duplicated'
]

export const callsNotRunTrue: PromiseProof = {
  name: 'calls-not-run-true',
  naiveBreaks: true,
  createTrial: (seed, options) => ({
    run: async () => judge(await runCallTrial(seed, options, { faults }), { falseNotRun: findFalseNotRun })
  })
}
