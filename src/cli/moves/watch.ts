import { Args } from '@oclif/core'
import { toId } from '../../core/ids/index.ts'
import type { TeamId } from '../../core/ids/index.ts'
import type { MoveRecord } from '../../core/moves/index.ts'
import { BaseCommand } from '../base-command.ts'
import { storeFlags, withStore } from '../store-flags.ts'
import type { StoreSession } from '../store-flags.ts'
import { readMoves } from './read-moves.ts'
import { renderMove } from './render-moves.ts'

const pollMs = 2_000
const callMs = 5_000
/** Time after the deadline for which a record without an end is waited for. */
const afterDeadlineMs = 60_000

/** Follows a team's move to its end. */
export default class MovesWatch extends BaseCommand {
  static override summary = 'Follow a team\'s version move until it is done or taken back.'
  static override description = 'Prints a line at each change. Exit codes: 0 done, 1 taken back, or not ended a minute after its deadline, 2 usage, 7 the service did not answer.'
  static override examples = ['<%= config.bin %> moves watch attica-utilities']
  static override enableJsonFlag = true
  static override args = { team: Args.string({ description: 'Team whose move is followed.', required: true }) }
  static override flags = storeFlags

  async run (): Promise<unknown> {
    const { args, flags } = await this.parse(MovesWatch)
    const record = await withStore(flags, async session => await this.follow(toId<TeamId>(args.team), session))
    if (record?.end?.word !== 'done') process.exitCode = 1
    return record
  }

  /** Until the move ends; `--timeout` bounds the wait for a move to begin and for a service that doesn't answer. */
  private async follow (team: TeamId, { store, clock, deadlineAtMs }: StoreSession): Promise<MoveRecord | undefined> {
    let shown = ''
    let known: MoveRecord | undefined
    for (;;) {
      const read = await readMoves(store, team, clock.wallMs() + callMs)
      const giveUpAtMs = known === undefined ? deadlineAtMs : known.deadlineAtMs + afterDeadlineMs
      if (read.isErr && clock.wallMs() > giveUpAtMs) throw read.error
      known = read.isOk ? read.value[0] : known
      const line = known === undefined ? `${team}: no move has begun` : renderMove(known, clock.wallMs())
      if (line !== shown) this.log(line)
      shown = line
      if (known?.end !== undefined || clock.wallMs() > giveUpAtMs) return known
      await clock.sleep(pollMs)
    }
  }
}
