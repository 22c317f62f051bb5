/** A call whose outcome is unknown is never sent again, however often its key is repeated. */
import { runCallTrial } from '../simulation/call-trial.ts'
import { findDoubled, judge } from '../simulation/judge.ts'
import type { FaultKind } from '../simulation/faults.ts'
import type { PromiseProof } from '../types.ts'

const faults: FaultKind[] = [
  'service-request-lost', 'service-answer-lost', 'service-frozen', 'service-slow', 'node-killed', 'node-frozen',
  'lease-lapsed', 'link-half-open', 'reclaim-wave', 'store-answers-lost'
]

export const callsUnknownNotRepeated: PromiseProof = {
  name: 'calls-unknown-not-repeated',
  naiveBreaks: true,
  createTrial: (seed, options) => ({
    run: async () => judge(await runCallTrial(seed, options, { faults }), { doubled: findDoubled })
  })
}
