/** Lists the declared teams. */
import type { Result } from 'true-myth'
import { parseTeamValue, teamsPrefix } from '../../core/configuration/index.ts'
import type { KeyValueError, KeyValueStore } from '../../core/platform/key-value/index.ts'

/** One declared team, with the revision, author and time of its last change. */
export interface ListedTeam {
  team: string
  template: string
  version: string
  movesTo: string | undefined
  moveDeadlineAtMs: number | undefined
  revision: number
  by: string
  atMs: number
}

/** Lists the teams in order of name. Skips declarations that this version can't parse. */
export async function listTeams (store: KeyValueStore, deadlineAtMs: number): Promise<Result<ListedTeam[], KeyValueError>> {
  const read = await store.list(teamsPrefix, { deadlineAtMs })
  return read.map(({ entries }) => entries.flatMap(({ key, value, modRevision }) => {
    const parsed = parseTeamValue(value)
    if (parsed.isErr) return []
    const { by, atMs, content: { template, declaration } } = parsed.value
    return [{
      team: key.slice(teamsPrefix.length),
      template,
      version: declaration.version,
      movesTo: declaration.move?.toVersion,
      moveDeadlineAtMs: declaration.move?.deadlineAtMs,
      revision: modRevision,
      by,
      atMs
    }]
  }))
}
