import { Args, Flags } from '@oclif/core'
import { stringify } from 'yaml'
import { createError } from '../../core/errors/index.ts'
import { toId } from '../../core/ids/index.ts'
import type { TeamId } from '../../core/ids/index.ts'
import { findNearestName } from '../../core/nearest/index.ts'
import { getTeamAtRevision, getTeam, getTeamHistory } from '../../core/templates/index.ts'
import { BaseCommand } from '../base-command.ts'
import { storeFlags, withStore } from '../store-flags.ts'
import type { StoreSession } from '../store-flags.ts'
import { renderTable } from '../table.ts'
import { listTeams } from './list-teams.ts'

function renderTime (atMs: number | undefined): string {
  return atMs === undefined ? '-' : new Date(atMs).toISOString()
}

/** Shows declared teams and their history. */
export default class Get extends BaseCommand {
  static override summary = 'Show the declared teams, one team, or a team as it was at a revision.'
  static override description = 'Exit codes: 0 shown, 2 usage or unknown team, 7 the key-value service did not respond.'
  static override examples = [
    '<%= config.bin %> get',
    '<%= config.bin %> get attica-utilities',
    '<%= config.bin %> get attica-utilities --history',
    '<%= config.bin %> get attica-utilities --revision 4711 --json'
  ]

  static override enableJsonFlag = true
  static override args = {
    team: Args.string({ description: 'Team to show; lists all teams when omitted.' })
  }

  static override flags = {
    ...storeFlags,
    revision: Flags.integer({ description: 'Show the team as it was in effect at this revision.' }),
    history: Flags.boolean({ description: 'List the latest changes of the team, with their authors and times.', exclusive: ['revision'], default: false })
  }

  async run (): Promise<unknown> {
    const { args, flags } = await this.parse(Get)
    return await withStore(flags, async session => {
      if (args.team === undefined) return await this.list(session)
      const team = toId<TeamId>(args.team)
      if (flags.history) return await this.listHistory(team, session)
      return flags.revision === undefined ? await this.show(team, session) : await this.showRevision(team, flags.revision, session)
    })
  }

  private async list ({ store, deadlineAtMs }: StoreSession): Promise<unknown> {
    const teams = this.unwrap(await listTeams(store, deadlineAtMs))
    const rows = teams.map(({ team, template, version, movesTo, moveDeadlineAtMs, revision, by, atMs }) =>
      [team, template, version, movesTo ?? '-', renderTime(moveDeadlineAtMs), String(revision), by, renderTime(atMs)])
    this.log(renderTable(['team', 'template', 'version', 'moves to', 'deadline', 'revision', 'changed by', 'at'], rows))
    return teams
  }

  private async show (team: TeamId, session: StoreSession): Promise<unknown> {
    const declared = this.unwrap(await getTeam(team, session.store, session.deadlineAtMs))
    if (declared === undefined) throw await this.createUnknownTeamError(team, session)
    this.log(stringify(declared))
    return declared
  }

  private async showRevision (team: TeamId, revision: number, { store, deadlineAtMs }: StoreSession): Promise<unknown> {
    const entry = this.unwrap(await getTeamAtRevision(team, revision, store, deadlineAtMs))
    if (entry === undefined) {
      throw createError('ArgumentWrong', { argument: `Revision ${revision} of team "${team}"`, problem: 'is older than the retained history, or the team does not exist' })
    }
    this.log(stringify(entry))
    return entry
  }

  private async listHistory (team: TeamId, session: StoreSession): Promise<unknown> {
    const entries = this.unwrap(await getTeamHistory(team, session.store, session.deadlineAtMs))
    if (entries.length === 0) throw await this.createUnknownTeamError(team, session)
    const rows = entries.map(({ revision, by, atMs, writeId }) => [String(revision ?? '-'), by, renderTime(atMs), writeId])
    this.log(renderTable(['revision', 'changed by', 'at', 'write'], rows))
    return entries
  }

  private async createUnknownTeamError (team: string, { store, deadlineAtMs }: StoreSession): Promise<Error> {
    const teams = this.unwrap(await listTeams(store, deadlineAtMs))
    return createError('TeamUnknown', { team, nearest: findNearestName(team, teams.map(other => other.team)) })
  }
}
