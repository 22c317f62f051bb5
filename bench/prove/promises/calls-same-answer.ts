/** Every repeat of a call gets the same answer, and every request some answer, also after its owner died. */
import { runCallTrial } from '../simulation/call-trial.ts'
import { findDiffering, findUnanswered, findUnrecovered, judge } from '../simulation/judge.ts'
import type { CallTrialResult } from '../simulation/call-trial.ts'
import type { PromiseProof } from '../types.ts'

const findCut = (result: CallTrialResult): string[] => [
  ...findDiffering(result),
  ...findUnanswered(result),
  ...findUnrecovered(result)
]

export const callsSameAnswer: PromiseProof = {
  name: 'calls-same-answer',
  naiveBreaks: true,
  createTrial: (seed, options) => ({
    run: async () => judge(await runCallTrial(seed, options), { cut: findCut })
  })
}
