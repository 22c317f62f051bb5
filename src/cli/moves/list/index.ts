import type { MoveRecord } from '../../../core/moves/index.ts'
import { BaseCommand } from '../../base-command.ts'
import { listMoves, describeMoveState } from '../records.ts'
import { storeFlags, withStore } from '../../store-flags.ts'
import { renderTable } from '../../table.ts'

export default class MovesList extends BaseCommand {
  static override summary = 'List the latest version move of each team.'
  static override description = 'Exit codes: 0 shown, 2 usage, 7 the key-value service did not respond.'
  static override examples = [
    '<%= config.bin %> moves list',
    '<%= config.bin %> moves list --json'
  ]

  static override enableJsonFlag = true
  static override flags = storeFlags

  async run (): Promise<MoveRecord[]> {
    const { flags } = await this.parse(MovesList)
    return await withStore(flags, async ({ store, deadlineAtMs }) => {
      const records = this.unwrap(await listMoves(store, deadlineAtMs))
      const rows = records.map(record => {
        const { team, fromVersion, toVersion, deadlineAtMs: moveDeadlineAtMs, end } = record
        return [team, fromVersion, toVersion, new Date(moveDeadlineAtMs).toISOString(), describeMoveState(record), end?.reason ?? '-']
      })
      this.log(renderTable(['team', 'from', 'to', 'deadline', 'state', 'reason'], rows))
      return records
    })
  }
}
