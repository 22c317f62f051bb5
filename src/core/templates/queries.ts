/** Reads the current and earlier declarations of a team. */
import { parseTeamValue, teamsPrefix } from '../configuration/index.ts'
import { historyKeyOf, parseHistory } from './history.ts'
import type { Result } from 'true-myth'
import type { DeclaredValue, TeamContent } from '../configuration/index.ts'
import type { TeamId } from '../ids/index.ts'
import type { KeyValueError, KeyValueStore } from '../platform/key-value/types.ts'
import type { HistoryEntry } from './types.ts'

/** The stored value of a team's key, with its revision. */
export interface DeclaredTeam extends DeclaredValue<TeamContent> {
  revision: number
}

/** Reads a team's declaration; undefined when the team isn't declared or its value can't be parsed. */
export async function getTeam (team: TeamId, store: KeyValueStore, deadlineAtMs: number): Promise<Result<DeclaredTeam | undefined, KeyValueError>> {
  const read = await store.get(teamsPrefix + team, { deadlineAtMs })
  return read.map(({ entry }) => {
    const value = entry === undefined ? undefined : parseTeamValue(entry.value).unwrapOr(undefined)
    return value === undefined ? undefined : { ...value, revision: entry!.modRevision }
  })
}

/** Reads the last writes of a team, newest first. */
export async function getTeamHistory (team: TeamId, store: KeyValueStore, deadlineAtMs: number): Promise<Result<HistoryEntry[], KeyValueError>> {
  const read = await store.get(historyKeyOf(teamsPrefix + team), { deadlineAtMs })
  return read.map(({ entry }) => parseHistory(entry))
}

/** Reads the write of a team that was in effect at a revision; undefined when it is no longer in the history. */
export async function getTeamAtRevision (team: TeamId, revision: number, store: KeyValueStore, deadlineAtMs: number): Promise<Result<HistoryEntry | undefined, KeyValueError>> {
  const entries = await getTeamHistory(team, store, deadlineAtMs)
  return entries.map(list => list.find(entry => entry.revision !== undefined && entry.revision <= revision))
}
