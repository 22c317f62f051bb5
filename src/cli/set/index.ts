import { Args, Flags } from '@oclif/core'
import { toId } from '../../core/ids/index.ts'
import type { TeamId } from '../../core/ids/index.ts'
import { applyPlan, planSetParameters } from '../../core/templates/index.ts'
import { BaseCommand } from '../base-command.ts'
import { describeOutcome, renderPlan, toPlanOutput } from '../render-plan.ts'
import type { PlanOutput } from '../render-plan.ts'
import { resolveOperator, withStore, writeFlags } from '../store-flags.ts'
import { readAssignments } from './read-assignments.ts'

export default class SetCommand extends BaseCommand {
  static override summary = 'Change parameters of a declared team.'
  static override description = 'Values are parsed as YAML. Make the same change in the team\'s file in version control, or the next apply reverts it. ' +
    'Exit codes: 0 in effect or nothing to change, 2 usage, 3 invalid parameter, 4 conflict, 6 unknown whether it was written, 7 the key-value service did not respond.'

  static override strict = false
  static override examples = [
    '<%= config.bin %> set attica-utilities maxBackends=8 maxPrice="1.10 EUR"',
    '<%= config.bin %> set attica-utilities nextVersion=letters-8 moveBy=2027-03-01T06:00:00+02:00 --dry-run',
    '<%= config.bin %> set attica-utilities --unset nextVersion --unset moveBy --revision 4711'
  ]

  static override enableJsonFlag = true
  static override args = {
    team: Args.string({ description: 'Team whose parameters are changed.', required: true }),
    assignment: Args.string({ description: 'Parameter and value as name=value; can be given several times.' })
  }

  static override flags = {
    ...writeFlags,
    unset: Flags.string({ description: 'Parameter to remove, so that its default applies.', multiple: true, multipleNonGreedy: true, default: [] }),
    revision: Flags.integer({ description: 'Revision that the change is based on; the write is a conflict if the team has changed since.' })
  }

  async run (): Promise<PlanOutput> {
    const { argv, flags } = await this.parse(SetCommand)
    const [team = '', ...assignments] = argv as string[]
    const changes = this.unwrap(readAssignments(assignments, flags.unset))
    return await withStore(flags, async session => {
      const expected = flags.revision === undefined ? {} : { expectedRevision: flags.revision }
      const options = { ...session, by: resolveOperator(flags.by), ...expected }
      const plan = this.unwrap(await planSetParameters(toId<TeamId>(team), changes, options))
      this.log(renderPlan(plan))
      if (flags['dry-run']) return toPlanOutput(plan, undefined)
      const outcome = this.unwrap(await applyPlan(plan, options))
      this.log(this.unwrap(describeOutcome(outcome)))
      return toPlanOutput(plan, outcome)
    })
  }
}
