/** Follows a team's version move until it ends. */
import type { Clock } from '../../../core/clock/index.ts'
import type { TeamId } from '../../../core/ids/index.ts'
import { moveKeyPrefix } from '../../../core/moves/index.ts'
import type { KeyValueStore } from '../../../core/platform/key-value/index.ts'
import { matchesDeclaration, readTeamMove } from '../records.ts'
import type { TeamMoveStatus } from '../records.ts'

const callTimeoutMs = 5_000
/** Maximum time between two reads, in case the watch misses a change or is lost. */
const maxReadIntervalMs = 10_000
/** Delay after a failed read. */
const retryDelayMs = 1_000

export interface FollowMoveOptions {
  store: KeyValueStore
  clock: Clock
  /** Called when a new write of the record is seen. */
  onChange: (move: TeamMoveStatus) => void
  /** Called when the key-value service can't be read; the read is retried. */
  onError: (error: Error) => void
}

/** Resolves when the team's record changes after `revision`, at the latest after `maxReadIntervalMs`. */
async function waitForChange (team: TeamId, revision: number, { store, clock }: FollowMoveOptions): Promise<void> {
  const changed = new AbortController()
  const watch = store.watch(moveKeyPrefix + team, revision, {
    onChanges: () => changed.abort(),
    onLost: () => {}
  })
  await clock.sleep(maxReadIntervalMs, changed.signal)
  watch.close()
}

/** Resolves when the team's move has ended, or immediately when the team has no move. Retries failed reads without limit. */
export async function followMove (team: TeamId, options: FollowMoveOptions): Promise<TeamMoveStatus> {
  const { store, clock } = options
  let seenWriteId: string | undefined
  for (;;) {
    const read = await readTeamMove(team, store, clock.wallMs() + callTimeoutMs)
    if (read.isErr) {
      options.onError(read.error)
      await clock.sleep(retryDelayMs)
      continue
    }
    const move = read.value
    const writeId = move.record?.writeId
    if (writeId !== seenWriteId) options.onChange(move)
    seenWriteId = writeId
    const hasEnded = move.record?.end !== undefined && matchesDeclaration(move)
    if (hasEnded || (move.declared === undefined && move.record === undefined)) return move
    await waitForChange(team, move.revision, options)
  }
}
