/**
 * The drafts that this node holds, by team and idempotency key. Ended drafts are
 * kept for a while, so that a caller whose connection broke near the end can
 * reconnect and get the remaining events.
 */
import type { Clock } from '../clock/index.ts'
import type { IdempotencyKey, TeamId } from '../ids/index.ts'
import type { LiveDraft } from './draft.ts'

/** Time for which an ended draft stays readable. */
const endedRetentionMs = 60_000
/** Largest number of ended drafts; the oldest are removed first. */
const maxEndedDrafts = 2_000

/** The drafts of one node. */
export interface DraftTable {
  find: (team: TeamId, key: IdempotencyKey) => LiveDraft | undefined
  add: (draft: LiveDraft) => void
  remove: (draft: LiveDraft) => void
  /** Returns the drafts that have neither ended nor been handed over. */
  listOpen: () => LiveDraft[]
  /** Marks a draft as ended; it is removed after the retention time. */
  markEnded: (draft: LiveDraft) => void
}

/** Creates an empty table. */
export function createDraftTable (clock: Clock): DraftTable {
  const drafts = new Map<string, LiveDraft>()
  const endedDrafts = new Map<LiveDraft, { expiresAtMs: number }>()

  const keyOf = (team: TeamId, key: IdempotencyKey): string => `${team}/${key}`

  function remove (draft: LiveDraft): void {
    const tableKey = keyOf(draft.request.team, draft.request.key)
    if (drafts.get(tableKey) === draft) drafts.delete(tableKey)
    endedDrafts.delete(draft)
  }

  // A map keeps insertion order, so the drafts that ended first come first.
  function removeExpired (): void {
    for (const [draft, { expiresAtMs }] of endedDrafts) {
      if (endedDrafts.size <= maxEndedDrafts && expiresAtMs > clock.monotonicMs()) return
      remove(draft)
    }
  }

  return {
    find: (team, key) => {
      removeExpired()
      return drafts.get(keyOf(team, key))
    },
    add: draft => {
      removeExpired()
      drafts.set(keyOf(draft.request.team, draft.request.key), draft)
    },
    remove,
    listOpen: () => [...drafts.values()].filter(draft => draft.end === undefined && draft.handedOverTo === undefined),
    markEnded: draft => {
      endedDrafts.set(draft, { expiresAtMs: clock.monotonicMs() + endedRetentionMs })
      removeExpired()
    }
  }
}
