/** Reads the records of moves from the key-value service. */
import type { Result } from 'true-myth'
import type { TeamId } from '../../core/ids/index.ts'
import { movesPrefix, parseMoveRecord } from '../../core/moves/index.ts'
import type { MoveRecord } from '../../core/moves/index.ts'
import type { KeyValueError, KeyValueStore } from '../../core/platform/key-value/index.ts'

/** The last move of each team, or of one team. */
export async function readMoves (store: KeyValueStore, team: TeamId | undefined, deadlineAtMs: number): Promise<Result<MoveRecord[], KeyValueError>> {
  const listed = await store.list(movesPrefix, { deadlineAtMs })
  return listed.map(({ entries }) => entries
    .flatMap(({ value }) => parseMoveRecord(value) ?? [])
    .filter(record => team === undefined || record.team === team))
}
