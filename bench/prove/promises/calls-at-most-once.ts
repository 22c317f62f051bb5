/** A call runs at most once for its key, whatever fails and through whichever node it is repeated. */
import { runCallTrial } from '../simulation/call-trial.ts'
import { findDoubled, findLost, judge } from '../simulation/judge.ts'
import type { PromiseProof } from '../types.ts'

export const callsAtMostOnce: PromiseProof = {
  name: 'calls-at-most-once',
  naiveBreaks: true,
  createTrial: (seed, options) => ({
    run: async () => judge(await runCallTrial(seed, options), { doubled: findDoubled, lost: findLost })
  })
}
