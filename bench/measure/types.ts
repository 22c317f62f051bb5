/** What a trial of the measurement is made from. */
import type { PromptHasher } from '../../src/core/routing/index.ts'
import type { PolicyName } from './policies.ts'
import type { Workload } from './workloads.ts'

/** What a trial runs. */
export interface TrialOptions {
  workload: Workload
  policy: PolicyName
  /** Multiple of the workload's base rate. */
  load: number
  seconds: number
  seed: number
  hasher: PromptHasher
  /** Whether one failure domain vanishes without notice in the middle. */
  losesDomain: boolean
}
