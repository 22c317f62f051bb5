import { Args } from '@oclif/core'
import { createError } from '../../../core/errors/index.ts'
import { toId } from '../../../core/ids/index.ts'
import type { TeamId } from '../../../core/ids/index.ts'
import type { MoveRecord } from '../../../core/moves/index.ts'
import { BaseCommand } from '../../base-command.ts'
import { exitCodes } from '../../exit-codes.ts'
import { renderMove } from '../records.ts'
import { storeFlags, withStore } from '../../store-flags.ts'
import { followMove } from './follow-move.ts'

export default class MovesWatch extends BaseCommand {
  static override summary = 'Follow the version move of a team until it is completed or taken back.'
  static override description = 'Prints a line at each step. When the key-value service does not respond, the error is printed and the read retried. ' +
    'Exit codes: 0 completed, 2 usage, unknown team or no move, 8 taken back.'

  static override examples = [
    '<%= config.bin %> moves watch attica-utilities',
    '<%= config.bin %> set attica-utilities nextVersion=letters-8 moveBy=2027-03-01T06:00:00+02:00 && <%= config.bin %> moves watch attica-utilities --json'
  ]

  static override enableJsonFlag = true
  static override args = {
    team: Args.string({ description: 'Team whose version move is followed.', required: true })
  }

  static override flags = storeFlags

  async run (): Promise<MoveRecord> {
    const { args, flags } = await this.parse(MovesWatch)
    const team = toId<TeamId>(args.team)
    return await withStore(flags, async ({ store, clock }) => {
      const { isDeclared, record } = await followMove(team, {
        store,
        clock,
        onChange: ({ record }) => { if (record !== undefined) this.log(renderMove(record)) },
        onError: error => this.logToStderr(error.message)
      })
      if (!isDeclared) throw createError('TeamUnknown', { team, nearest: undefined })
      if (record === undefined) throw createError('ArgumentWrong', { argument: `Team "${team}"`, problem: 'has no version move; set nextVersion and moveBy' })
      if (record.end?.word === 'taken-back') process.exitCode = exitCodes.takenBack
      return record
    })
  }
}
