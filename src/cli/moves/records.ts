/** Reads the records of version moves from the key-value service and renders them. */
import { err, ok } from 'true-myth/result'
import type { Result } from 'true-myth'
import { parseTeamValue, teamsPrefix } from '../../core/configuration/index.ts'
import type { TeamId } from '../../core/ids/index.ts'
import { moveKeyPrefix, parseMoveRecord } from '../../core/moves/index.ts'
import type { MoveRecord } from '../../core/moves/index.ts'
import type { KeyValueError, KeyValueStore } from '../../core/platform/key-value/index.ts'
import type { MoveDeclaration } from '../../core/teams/types.ts'

/** Lists the move records in order of team. Skips records that this version can't parse. */
export async function listMoves (store: KeyValueStore, deadlineAtMs: number): Promise<Result<MoveRecord[], KeyValueError>> {
  const read = await store.list(moveKeyPrefix, { deadlineAtMs })
  return read.map(({ entries }) => entries.flatMap(({ value }) => parseMoveRecord(value) ?? []))
}

/** The declared and the recorded state of a team's move. */
export interface TeamMoveStatus {
  /** Whether the team is declared. */
  isDeclared: boolean
  declared: MoveDeclaration | undefined
  record: MoveRecord | undefined
  /** Revision of the key-value service at which the record was read. */
  revision: number
}

/** Reads a team's declaration, then its move record. */
export async function readTeamMove (team: TeamId, store: KeyValueStore, deadlineAtMs: number): Promise<Result<TeamMoveStatus, KeyValueError>> {
  const declaration = await store.get(teamsPrefix + team, { deadlineAtMs })
  if (declaration.isErr) return err(declaration.error)
  const record = await store.get(moveKeyPrefix + team, { deadlineAtMs })
  if (record.isErr) return err(record.error)
  const { entry } = declaration.value
  const declared = entry === undefined ? undefined : parseTeamValue(entry.value).map(({ content }) => content.declaration.move).unwrapOr(undefined)
  const recordText = record.value.entry?.value
  return ok({
    isDeclared: entry !== undefined,
    declared,
    record: recordText === undefined ? undefined : parseMoveRecord(recordText),
    revision: record.value.revision
  })
}

/** Whether the record belongs to the currently declared move; without a declared move, whether there is a record. */
export function matchesDeclaration ({ declared, record }: TeamMoveStatus): boolean {
  if (declared === undefined || record === undefined) return record !== undefined
  return record.toVersion === declared.toVersion && record.deadlineAtMs === declared.deadlineAtMs
}

function renderTime (atMs: number): string {
  return new Date(atMs).toISOString()
}

/** Short state of a move, such as `loading`, `step 2` or `taken back`. */
export function describeMoveState (record: MoveRecord): string {
  if (record.end !== undefined) return record.end.word.replace('-', ' ')
  return record.trafficAtMs === undefined ? 'loading' : `step ${record.step + 1}`
}

/** Renders a move as one line of text. */
export function renderMove (record: MoveRecord): string {
  const { team, fromVersion, toVersion, deadlineAtMs, end, loadedOn } = record
  const heading = `${team}: ${fromVersion} -> ${toVersion} by ${renderTime(deadlineAtMs)}: ${describeMoveState(record)}`
  if (end === undefined) return `${heading}, loaded on ${loadedOn.length} backend server(s)`
  const evidence = end.evidence === undefined
    ? ''
    : ` Evidence on route "${end.evidence.route}", ${end.evidence.kind}: new ${end.evidence.newBad} of ${end.evidence.newTotal}, old ${end.evidence.oldBad} of ${end.evidence.oldTotal}.`
  return `${heading} at ${renderTime(end.atMs)} (${end.reason}). ${end.detail}${evidence}`
}
