/** A refusal that says `not run` is true, also for repeats and while the key-value service is down. */
import { runCallTrial } from '../simulation/call-trial.ts'
import { findFalseNotRun, judge } from '../simulation/judge.ts'
import { faultKinds } from '../simulation/faults.ts'
import type { PromiseProof } from '../types.ts'

const faults = faultKinds.filter(kind => !kind.startsWith('messages-'))

export const callsNotRunTrue: PromiseProof = {
  name: 'calls-not-run-true',
  naiveBreaks: true,
  createTrial: (seed, options) => ({
    run: async () => judge(await runCallTrial(seed, options, { faults }), { falseNotRun: findFalseNotRun })
  })
}
