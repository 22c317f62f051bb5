import { BaseCommand } from '../base-command.ts'
import { storeFlags, withStore } from '../store-flags.ts'
import { readMoves } from './read-moves.ts'
import { renderMoves } from './render-moves.ts'

/** Lists the moves of all teams. */
export default class MovesList extends BaseCommand {
  static override summary = 'List the last version move of each team, with its word, reason and evidence.'
  static override description = 'Exit codes: 0 shown, 2 usage, 7 the service did not answer.'
  static override examples = ['<%= config.bin %> moves list', '<%= config.bin %> moves list --json']
  static override enableJsonFlag = true
  static override flags = storeFlags

  async run (): Promise<unknown> {
    const { flags } = await this.parse(MovesList)
    return await withStore(flags, async ({ store, clock, deadlineAtMs }) => {
      const records = this.unwrap(await readMoves(store, undefined, deadlineAtMs))
      this.log(records.length === 0 ? 'No team has moved yet.' : renderMoves(records, clock.wallMs()))
      return records
    })
  }
}
