/** The highest load at which a version meets the latency target, and what a request costs there. */
import { runTrial } from './trial.ts'
import type { TrialOptions } from './types.ts'
import type { TrialSummary } from './summary.ts'

/** Steps of the load, as multiples of the workload's base rate; each is a quarter above the one before. */
const firstLoad = 0.04
const stepFactor = 1.25
const maxSteps = 24
/** Steps above the highest good one after which a version is taken to be past its capacity. */
const patience = 2

/** Result of a sweep. `best` is undefined when even the lowest load missed the target. */
export interface Sweep {
  best: TrialSummary | undefined
  trials: TrialSummary[]
}

/** Raises the load until the target is missed. */
export async function sweepLoad (options: Omit<TrialOptions, 'load'>, onTrial: (summary: TrialSummary) => void): Promise<Sweep> {
  const trials: TrialSummary[] = []
  let best: TrialSummary | undefined
  let misses = 0
  for (let step = 0; step < maxSteps && misses < patience; step += 1) {
    const summary = await runTrial({ ...options, load: firstLoad * stepFactor ** step })
    trials.push(summary)
    onTrial(summary)
    if (summary.meetsTarget) {
      best = summary
      misses = 0
    } else {
      misses += 1
    }
  }
  return { best, trials }
}
