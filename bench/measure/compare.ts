/** Compares the current version with the naive one on one workload. */
import type { PromptHasher } from '../../src/core/routing/index.ts'
import type { PolicyName } from './policies.ts'
import { sweepLoad } from './sweep.ts'
import type { TrialSummary } from './summary.ts'
import { runTrial } from './trial.ts'
import type { Workload } from './workloads.ts'

/** Load of the trials in which both versions get the same requests. */
const equalLoads = { association: 0.5, bennani: 1 }

/** Options of a comparison. */
export interface CompareOptions {
  workload: Workload
  seconds: number
  seed: number
  hasher: PromptHasher
  onTrial: (kind: TrialKind, summary: TrialSummary) => void
}

/** What a trial is for. */
export type TrialKind = 'sweep' | 'equal-load' | 'domain-loss'

/** One target with what was measured. */
export interface Verdict {
  workload: string
  name: string
  target: string
  naive: number | undefined
  current: number | undefined
  /** The current figure divided by the naive one. */
  ratio: number | undefined
  met: boolean
}

/** All that was measured on one workload. */
export interface Comparison {
  workload: string
  trials: Array<TrialSummary & { kind: TrialKind }>
  verdicts: Verdict[]
}

const policies: readonly PolicyName[] = ['naive', 'current']

function ratioVerdict (workload: string, name: string, naive: number | undefined, current: number | undefined, mostRatio: number): Verdict {
  const ratio = naive === undefined || current === undefined || naive === 0 ? undefined : current / naive
  return { workload, name, target: `at most ${mostRatio} of the naive version's`, naive, current, ratio, met: ratio !== undefined && ratio <= mostRatio }
}

function refusedShare (trial: TrialSummary | undefined): number {
  if (trial === undefined) return 1
  return Object.values(trial.refused).reduce((sum, count) => sum + count, 0) / trial.offered
}

/** Whether 95 in 100 of the accepted requests were answered within the target. */
function lossVerdict (workload: string, byPolicy: (policy: PolicyName) => TrialSummary | undefined): Verdict {
  const goodShare = (trial: TrialSummary | undefined): number | undefined => {
    return trial === undefined ? undefined : trial.inTarget / Math.max(1, trial.inTarget + trial.late)
  }
  const current = goodShare(byPolicy('current'))
  const name = `share of accepted requests within the target when a domain is lost (refused: ${(100 * refusedShare(byPolicy('current'))).toFixed(1)} %)`
  return { workload, name, target: 'at least 0.95', naive: goodShare(byPolicy('naive')), current, ratio: undefined, met: current !== undefined && current >= 0.95 }
}

/** Runs the sweep, the equal load and the loss of a domain for both versions. */
export async function compare (options: CompareOptions): Promise<Comparison> {
  const { workload, onTrial } = options
  const trials: Comparison['trials'] = []
  const best = new Map<PolicyName, TrialSummary | undefined>()
  const note = (kind: TrialKind, summary: TrialSummary): void => {
    trials.push({ ...summary, kind })
    onTrial(kind, summary)
  }
  for (const policy of policies) {
    const swept = await sweepLoad({ ...options, policy, losesDomain: false }, summary => note('sweep', summary))
    best.set(policy, swept.best)
  }
  const load = equalLoads[workload.name]
  for (const policy of policies) {
    note('equal-load', await runTrial({ ...options, policy, load, losesDomain: false }))
    note('domain-loss', await runTrial({ ...options, policy, load, losesDomain: true }))
  }
  const find = (kind: TrialKind, policy: PolicyName): TrialSummary | undefined => {
    return trials.find(trial => trial.kind === kind && trial.policy === policy)
  }
  const equal = (policy: PolicyName): TrialSummary | undefined => find('equal-load', policy)
  const isAssociation = workload.name === 'association'
  const costs = ratioVerdict(workload.name, 'cost per finished request at the latency target, thousandths of a euro',
    best.get('naive')?.milliEuroPerRequest, best.get('current')?.milliEuroPerRequest, isAssociation ? 0.6 : 1)
  const own = isAssociation
    ? ratioVerdict(workload.name, 'tokens recomputed at equal load', equal('naive')?.recomputedTokens, equal('current')?.recomputedTokens, 0.3)
    : ratioVerdict(workload.name, 'late answers at equal load', equal('naive')?.late, equal('current')?.late, 0.25)
  return { workload: workload.name, trials, verdicts: [costs, own, lossVerdict(workload.name, policy => find('domain-loss', policy))] }
}
