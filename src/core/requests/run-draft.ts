/**
 * The task of one draft: makes attempts at backend servers until the answer is
 * complete, the deadline passes or another node takes the draft over.
 */
import type { Result } from 'true-myth'
import type { Clock } from '../clock/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { Log } from '../log/index.ts'
import type { BackendId } from '../ids/index.ts'
import type { RecomputeCause, Refusal, RetryReason } from '../outcomes/index.ts'
import { createId } from '../ids/index.ts'
import type { AttemptId } from '../ids/index.ts'
import { attemptDraft } from './attempt-draft.ts'
import type { AttemptPlan, BrokenAttempt } from './attempt-draft.ts'
import { attemptOf, endDraft, isActive, restartAnswer } from './draft.ts'
import type { LiveDraft } from './draft.ts'
import type { ChooseBackend, DraftChoice } from './types.ts'

/** Limit of consecutive attempts that may have run at a backend server but delivered no event. */
const maxAttemptsWithoutProgress = 8
/** Consecutive failures after which an answer no longer waits for its version and restarts on another. */
const maxFailuresBeforeVersionChange = 3
/** Upper bound of the first retry delay; it doubles with each further failure. */
const maxFirstRetryDelayMs = 20
/** Delay before a draft with earlier attempts looks for a backend server again. */
const noBackendRetryDelayMs = 200
/** Delay before the next check of an exhausted retry budget. */
const budgetRetryDelayMs = 100
/** Upper bound of the delay of any retry. */
const maxRetryDelayMs = 1_000

/** Dependencies of a draft's task. */
export interface RunDraftOptions {
  clock: Clock
  metrics: Metrics
  log: Log
  choose: ChooseBackend
  /** Takes one retry from the retry budget; false when the budget is exhausted for now. */
  takeRetry: (backend: BackendId, reason: RetryReason) => boolean
  /** Returns evenly distributed numbers from 0 to 1 from a seeded source, for the jitter of retry delays. */
  random: () => number
  /** Removes and returns the handle of the KV cache that was exported when the draft's backend server was reclaimed. */
  takeCacheHandle: (draft: LiveDraft) => string | undefined
}

/** Works on a draft until it has ended or this node no longer holds it. Never rejects. */
export async function runDraft (draft: LiveDraft, options: RunDraftOptions): Promise<void> {
  const excluded = new Set<BackendId>()
  const history: AttemptHistory = { hasAttempted: draft.holderEpoch > 0, recomputeCause: undefined, failuresSinceProgress: 0, mayHaveRunSinceProgress: 0 }
  let resumableBackend = draft.backend
  while (isActive(draft)) {
    if (options.clock.wallMs() >= draft.request.deadlineAtMs) return refuse(draft, options, createDeadlineRefusal(draft))
    if (finishAtMaxTokens(draft)) return
    const choice = await chooseBackend(draft, excluded, history, options)
    if (choice === undefined) continue
    history.hasAttempted = true
    if (!isActive(draft)) return choice.onEnded({ ...unusedAttemptOutcome })
    const result = await attemptDraft(draft, planAttempt(draft, choice, resumableBackend, options), options)
    resumableBackend = undefined
    if (result.kind === 'ended') return countRecomputed(history, result, options)
    if (result.kind === 'stopped') return
    if (result.kind === 'expired') continue
    countFailure(history, result)
    excluded.add(choice.backend.id)
    if (!await prepareRetry(draft, choice, result, history, options)) return
    await delayRetry(result, history, draft, options)
  }
}

/** State of a draft's attempts. Both counters are reset by an attempt that delivers an event. */
interface AttemptHistory {
  /** Whether an attempt was made, at this or another node. */
  hasAttempted: boolean
  /** Why the next attempt may have to compute tokens again; undefined for the first one. */
  recomputeCause: RecomputeCause | undefined
  /** Failures for which a backend server was responsible. */
  failuresSinceProgress: number
  /** Those of them in which the backend server may have worked on the attempt. */
  mayHaveRunSinceProgress: number
}

/** Counts the prompt tokens that a retry computed again; tokens found in a cache aren't counted. */
function countRecomputed (history: AttemptHistory, ended: { promptTokens: number, cachedTokens: number }, options: RunDraftOptions): void {
  if (history.recomputeCause === undefined) return
  options.metrics.countRecomputedTokens(history.recomputeCause, Math.max(0, ended.promptTokens - ended.cachedTokens))
}

function countFailure (history: AttemptHistory, result: BrokenAttempt): void {
  if (result.progressed) {
    history.failuresSinceProgress = 0
    history.mayHaveRunSinceProgress = 0
  }
  if (!result.attributedToBackend) return
  history.failuresSinceProgress += 1
  history.mayHaveRunSinceProgress += result.mayHaveRun ? 1 : 0
}

/** Finishes an answer that has all its tokens but lacks the end event. */
function finishAtMaxTokens (draft: LiveDraft): boolean {
  if (draft.raws.length < draft.request.maxTokens) return false
  endDraft(draft, { kind: 'finished', finishReason: 'length', promptTokens: 0, cachedTokens: 0 })
  return true
}

const unusedAttemptOutcome = {
  ok: true,
  attributedToBackend: false,
  reason: undefined,
  firstTokenMs: undefined,
  totalMs: 0,
  generatedTokens: 0,
  promptTokens: 0,
  cachedTokens: 0
}

/**
 * Chooses a backend server. When there is none, a draft without earlier attempts
 * is refused; a draft with attempts counts as accepted and waits.
 */
async function chooseBackend (
  draft: LiveDraft,
  excluded: Set<BackendId>,
  history: AttemptHistory,
  options: RunDraftOptions
): Promise<DraftChoice | undefined> {
  const { clock } = options
  while (isActive(draft) && clock.wallMs() < draft.request.deadlineAtMs) {
    const choice = await chooseOnce(draft, excluded, history, options)
    if (choice.isOk) return choice.value
    // A quarantined request isn't sent in time, so its draft doesn't wait.
    const isQuarantined = choice.error.reason === 'prompt-quarantined' || choice.error.reason === 'request-quarantined'
    if (isQuarantined || (excluded.size === 0 && !history.hasAttempted)) {
      refuse(draft, options, choice.error)
      return undefined
    }
    // Makes the excluded backend servers eligible again, without a delay if there were any.
    if (excluded.size === 0) await clock.sleep(noBackendRetryDelayMs, draft.abortController.signal)
    excluded.clear()
  }
  return undefined
}

/** Chooses a backend server of the answer's version. When there is none, the answer restarts on another version. */
async function chooseOnce (
  draft: LiveDraft,
  excluded: Set<BackendId>,
  history: AttemptHistory,
  options: RunDraftOptions
): Promise<Result<DraftChoice, Refusal>> {
  const choice = await options.choose({ draft: draft.request, excluded, version: draft.version })
  if (choice.isOk || draft.version === undefined) return choice
  const shouldWaitForVersion = excluded.size > 0 && history.failuresSinceProgress > 0 && history.failuresSinceProgress < maxFailuresBeforeVersionChange
  if (shouldWaitForVersion) return choice
  const otherChoice = await options.choose({ draft: draft.request, excluded, version: undefined })
  if (otherChoice.isErr) return otherChoice
  history.recomputeCause = 'version-changed'
  restartAnswer(draft)
  return otherChoice
}

/** Resumes the engine's stream if the draft's last attempt may still be running there; otherwise plans a new attempt. */
function planAttempt (
  draft: LiveDraft,
  choice: DraftChoice,
  resumableBackend: BackendId | undefined,
  options: RunDraftOptions
): AttemptPlan {
  const lastAttempt = attemptOf(draft, draft.raws.length)
  if (resumableBackend === choice.backend.id && lastAttempt !== undefined) return { choice, attempt: lastAttempt, resume: true }
  const cacheHandle = options.takeCacheHandle(draft)
  return {
    choice,
    attempt: createId<AttemptId>('att', options.clock.wallMs()),
    resume: false,
    ...(cacheHandle === undefined ? {} : { cacheHandle })
  }
}

/** Returns whether another attempt may follow. Waits for the retry budget, because an accepted draft is never dropped for lack of it. */
async function prepareRetry (
  draft: LiveDraft,
  choice: DraftChoice,
  result: BrokenAttempt,
  history: AttemptHistory,
  options: RunDraftOptions
): Promise<boolean> {
  const { metrics } = options
  if (history.mayHaveRunSinceProgress >= maxAttemptsWithoutProgress) {
    refuse(draft, options, createExhaustedRefusal(history, result, options))
    return false
  }
  if (result.attributedToBackend) await waitForBudget(draft, choice, result, options)
  metrics.countRetry(result.reason)
  history.recomputeCause = recomputeCauseOf(result.reason)
  options.log('requestRetried', { request: draft.request.request, reason: result.reason, backend: choice.backend.id })
  return true
}

async function waitForBudget (draft: LiveDraft, choice: DraftChoice, result: BrokenAttempt, options: RunDraftOptions): Promise<void> {
  const { clock } = options
  while (isActive(draft) && clock.wallMs() < draft.request.deadlineAtMs) {
    if (options.takeRetry(choice.backend.id, result.reason)) return
    options.metrics.count('retries_delayed_total')
    await clock.sleep(budgetRetryDelayMs, draft.abortController.signal)
  }
}

function recomputeCauseOf (reason: RetryReason): RecomputeCause {
  if (reason === 'backend-leaving') return 'backend-reclaimed'
  if (reason === 'version-withdrawn') return 'version-changed'
  return 'backend-failed'
}

async function delayRetry (
  result: BrokenAttempt,
  history: AttemptHistory,
  draft: LiveDraft,
  options: RunDraftOptions
): Promise<void> {
  if (!result.attributedToBackend) return
  const maxDelayMs = Math.min(maxRetryDelayMs, maxFirstRetryDelayMs * 2 ** (history.failuresSinceProgress - 1))
  await options.clock.sleep(maxDelayMs * options.random(), draft.abortController.signal)
}

function createDeadlineRefusal (draft: LiveDraft): Refusal {
  const run = draft.parts.length === 0 ? 'not-run' : 'unknown'
  return { reason: 'deadline-past', run, detail: 'The deadline passed before the response was complete.' }
}

function createExhaustedRefusal (history: AttemptHistory, result: BrokenAttempt, options: RunDraftOptions): Refusal {
  const detail = `${history.mayHaveRunSinceProgress} attempts failed; last failure: ${result.detail}`
  return { reason: 'attempts-exhausted', run: 'unknown', detail, retryAtMs: options.clock.wallMs() + maxRetryDelayMs }
}

function refuse (draft: LiveDraft, options: RunDraftOptions, refusal: Refusal): void {
  // The refusal covers only the attempt for which no backend server was chosen; earlier attempts may have run.
  const run = draft.parts.length === 0 ? refusal.run : 'unknown'
  options.metrics.countRefusal(refusal.reason)
  options.log('requestRefused', { request: draft.request.request, reason: refusal.reason, run })
  endDraft(draft, { kind: 'failed', refusal: { ...refusal, run } })
}
