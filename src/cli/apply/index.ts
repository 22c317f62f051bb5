import { Args } from '@oclif/core'
import { applyPlan, planApply } from '../../core/templates/index.ts'
import { BaseCommand } from '../base-command.ts'
import { describeOutcome, renderPlan, toPlanOutput } from '../render-plan.ts'
import type { PlanOutput } from '../render-plan.ts'
import { readSourceFiles } from '../source-files.ts'
import { resolveOperator, withStore, writeFlags } from '../store-flags.ts'

/** Validates templates and teams and writes them to the key-value service in one transaction. */
export default class Apply extends BaseCommand {
  static override summary = 'Check templates and teams and put them into effect in one write.'
  static override description = 'All files are checked before anything is written. A concurrent change by another operator is reported as a conflict with both values. ' +
    'Exit codes: 0 in effect or nothing to change, 2 usage, 3 invalid files, 4 conflict, 6 unknown whether it was written, 7 the key-value service did not respond.'

  static override strict = false
  static override examples = [
    '<%= config.bin %> apply examples/association/templates examples/association/teams --dry-run',
    '<%= config.bin %> apply teams/attica-utilities.yaml --endpoint http://10.10.0.5:2379 --by maria'
  ]

  static override enableJsonFlag = true
  static override args = {
    file: Args.string({ description: 'File or folder with templates and teams; can be given several times.', required: true })
  }

  static override flags = writeFlags

  async run (): Promise<PlanOutput> {
    const { argv, flags } = await this.parse(Apply)
    const files = await readSourceFiles(argv as string[])
    return await withStore(flags, async ({ store, clock, deadlineAtMs }) => {
      const plan = this.unwrap(await planApply(files, { store, deadlineAtMs, nowMs: clock.wallMs() }))
      this.log(renderPlan(plan))
      if (flags['dry-run']) return toPlanOutput(plan, undefined)
      const outcome = this.unwrap(await applyPlan(plan, { store, clock, deadlineAtMs, by: resolveOperator(flags.by) }))
      this.log(this.unwrap(describeOutcome(outcome)))
      return toPlanOutput(plan, outcome)
    })
  }
}
