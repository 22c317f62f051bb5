/**
 * Migrates a draft off a backend server that is being reclaimed. If the time
 * suffices, the draft finishes there. Otherwise its KV cache is exported for the
 * next backend server or, if that fails, the next one computes the prompt again.
 */
import type { Clock } from '../clock/index.ts'
import type { Backend } from '../backends/types.ts'
import { runningAttemptOf } from './attempt-draft.ts'
import type { RunningAttempt } from './attempt-draft.ts'
import type { LiveDraft } from './draft.ts'

/** Safety margin: the migration must be complete this long before the instance is gone. */
const safetyMarginMs = 1_000
/** Timeout of a KV cache export, which less remaining time shortens. */
const exportTimeoutMs = 2_000

/** Options of a migration. */
export interface MigrateDraftOptions {
  clock: Clock
  /** Whether another live backend server runs the version that began the answer. */
  hasAlternative: boolean
  /** Keeps the handle of the exported KV cache for the draft's next attempt. */
  storeCacheHandle: (handle: string) => void
}

/** Interrupts the draft's attempt in time, after an export of its KV cache where possible. */
export async function migrateDraft (draft: LiveDraft, backend: Backend, options: MigrateDraftOptions): Promise<void> {
  const running = runningAttemptOf(draft)
  if (running === undefined) return
  const remainingMs = (backend.goneAtMs ?? 0) - options.clock.wallMs() - safetyMarginMs
  if (expectedRemainingMs(draft, running, options.clock) < remainingMs) return
  if (!options.hasAlternative) {
    // Elsewhere the answer would have to restart on another version, so it gets all the remaining time to finish here.
    await options.clock.sleep(remainingMs, draft.abortController.signal)
    running.interrupt('backend-leaving')
    return
  }
  if (remainingMs > 0) {
    const deadlineAtMs = options.clock.wallMs() + Math.min(exportTimeoutMs, remainingMs)
    const exported = await running.plan.choice.engine.exportCache(running.plan.attempt, deadlineAtMs)
    if (exported.isOk) options.storeCacheHandle(exported.value)
  }
  running.interrupt('backend-leaving')
}

/** Estimates the time to the end of the answer at its rate so far, assuming its maximum length. */
function expectedRemainingMs (draft: LiveDraft, running: RunningAttempt, clock: Clock): number {
  const generatedCount = draft.raws.length
  if (running.firstTokenAtMs === undefined || generatedCount === 0) return Infinity
  const msPerToken = (clock.wallMs() - running.firstTokenAtMs) / generatedCount
  return (draft.request.maxTokens - generatedCount) * msPerToken
}
