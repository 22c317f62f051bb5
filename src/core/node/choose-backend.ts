/**
 * Chooses the backend server of each attempt of a draft and reports the outcome
 * to routing, concurrency limits and version moves.
 */
import { err, ok } from 'true-myth/result'
import type { Result } from 'true-myth'
import type { ConcurrencyLimits, RetryBudget } from '../admission/index.ts'
import type { BackendLimits } from '../backend-limits/index.ts'
import type { BackendTable } from '../backends/table.ts'
import { createId } from '../ids/index.ts'
import type { AttemptId, TeamId } from '../ids/index.ts'
import type { Clock } from '../clock/index.ts'
import type { Refusal } from '../outcomes/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { AttemptOutcome, ChooseBackend, ChoiceRequest, DraftChoice, DraftRequest } from '../requests/index.ts'
import type { PromptBlocks, PromptHasher, RouteChoice, Router } from '../routing/index.ts'
import type { Priority, VersionShares } from '../teams/index.ts'
import type { RecordAttempt } from '../moves/attempt-observation.ts'
import { chooseWithinLimits } from './limited-choice.ts'
import { createFailedVersions } from './failed-versions.ts'
import type { OwnPathQuarantine } from './own-path-quarantine.ts'

/** Target for the time to the first token, which 95 % of drafts must meet. */
export const firstTokenTargetMs = 950
/** Retry delay for a request for which there is no backend server. */
const noBackendRetryMs = 1_000

/** Ranks for permits of limited backend servers; the lowest goes first. */
const priorityRanks: Record<Priority, number> = { urgent: 0, normal: 1, batch: 2 }

/** Options of `createDraftChooser`. */
export interface ChooseBackendOptions {
  clock: Clock
  metrics: Metrics
  router: Router
  hasher: PromptHasher
  limits: ConcurrencyLimits
  /** The request limits that backend servers name. */
  requestLimits: BackendLimits
  retryBudget: RetryBudget
  table: BackendTable
  sharesOf: (team: TeamId) => VersionShares | undefined
  recordAttempt: RecordAttempt
  ownPathQuarantine: OwnPathQuarantine
}

/** Creates the function that chooses the backend server of a draft's next attempt. */
export function createDraftChooser (options: ChooseBackendOptions): ChooseBackend {
  const { clock, router, hasher, table } = options
  const blocksOf = new WeakMap<DraftRequest, PromptBlocks>()
  const inFlight = new Map<string, number>()
  const failedVersions = createFailedVersions()

  function promptBlocks (draft: DraftRequest): PromptBlocks {
    const cached = blocksOf.get(draft)
    if (cached !== undefined) return cached
    const blocks = hasher.blocks(draft.prompt)
    blocksOf.set(draft, blocks)
    return blocks
  }

  return async ({ draft, excluded, version }) => {
    const { hashes } = promptBlocks(draft)
    if (excluded.size === 0) options.requestLimits.recordDemand(draft.team)
    const admittance = await options.ownPathQuarantine.admitDraft(draft, hashes)
    if (admittance.kind === 'refused') return err({ reason: admittance.reason, run: 'not-run', detail: admittance.detail, retryAtMs: admittance.retryAtMs })
    const chosen = choose({ draft, excluded, version })
    if (chosen.isErr) admittance.release()
    return chosen.map(choice => options.ownPathQuarantine.observeDraft(draft, hashes, choice, admittance.release))
  }

  function choose ({ draft, excluded, version }: ChoiceRequest): Result<DraftChoice, Refusal> {
    const shares = options.sharesOf(draft.team)
    const retryAtMs = clock.wallMs() + noBackendRetryMs
    if (shares === undefined) return err({ reason: 'unknown-team', run: 'not-run', detail: 'The team is no longer declared.' })
    if (version !== undefined && failedVersions.isVersionAbandoned(draft, version, shares)) {
      return err({ reason: 'no-backend', run: 'not-run', detail: 'The version failed repeatedly for this draft.', retryAtMs })
    }
    const remaining = version === undefined ? failedVersions.remaining(draft, shares) : shares
    const claim = { rank: priorityRanks[draft.priority], isRetry: excluded.size > 0 }
    const chosen = chooseWithinLimits({ clock, router, limits: options.requestLimits }, {
      request: draft.request,
      team: draft.team,
      shares: remaining,
      prompt: promptBlocks(draft),
      priority: draft.priority,
      deadlineAtMs: draft.deadlineAtMs,
      excluded: failedVersions.effectiveExclusions(draft, excluded, remaining),
      ...(version === undefined ? {} : { requiredVersion: version })
    }, table.ofTeam(draft.team), claim)
    if (chosen.isErr) return err(chosen.error)
    const { choice, permit } = chosen.value
    const engine = table.engineOf(choice.backend.id)
    if (engine === undefined) return err({ reason: 'no-backend', run: 'not-run', detail: 'The backend server is not a model engine.', retryAtMs })
    const attempt = createId<AttemptId>('att', clock.wallMs())
    const { id } = choice.backend
    router.onAttemptSent(attempt, choice)
    options.retryBudget.deposit(id)
    inFlight.set(id, (inFlight.get(id) ?? 0) + 1)
    const inFlightAtStart = inFlight.get(id) ?? 1

    function ended (outcome: AttemptOutcome): void {
      const remainingAttempts = (inFlight.get(id) ?? 1) - 1
      if (remainingAttempts > 0) inFlight.set(id, remainingAttempts)
      else inFlight.delete(id)
      const { ok, attributedToBackend, promptTokens, cachedTokens } = outcome
      const wasNotMade = outcome.ok && !outcome.attributedToBackend
      if (wasNotMade || outcome.reason === 'connect-failed') permit.giveBack()
      router.onAttemptEnded(attempt, promptTokens === 0 ? { ok, attributedToBackend } : { ok, attributedToBackend, promptTokens, cachedTokens })
      // The backend server reports that it is leaving before the instance list does.
      if (outcome.reason === 'backend-leaving') table.markLeaving(id, undefined)
      if (!outcome.ok && outcome.attributedToBackend) failedVersions.recordFailure(draft, choice.version, id)
      if (outcome.attributedToBackend) recordOutcome(options, draft, choice, outcome, inFlightAtStart)
    }

    return ok({ backend: choice.backend, engine, version: choice.version, onFirstToken: () => router.onFirstToken(attempt), onEnded: ended })
  }
}

function recordOutcome (
  options: ChooseBackendOptions,
  draft: DraftRequest,
  choice: RouteChoice,
  outcome: AttemptOutcome,
  inFlight: number
): void {
  const { metrics, limits, recordAttempt } = options
  const { firstTokenMs, generatedTokens, totalMs } = outcome
  if (firstTokenMs !== undefined) metrics.observe('first_token_ms', firstTokenMs)
  const betweenTokensMs = firstTokenMs === undefined || generatedTokens < 2
    ? undefined
    : (totalMs - firstTokenMs) / (generatedTokens - 1)
  if (betweenTokensMs !== undefined) metrics.observe('between_tokens_ms', betweenTokensMs)
  limits.record(choice.backend.id, {
    latencyMs: firstTokenMs ?? totalMs,
    targetMs: firstTokenTargetMs,
    inFlight,
    overloaded: !outcome.ok && firstTokenMs === undefined
  })
  // An affinity backend server may not have the prefix cached, so only prefixes that were known to be cached count as recomputed.
  if (outcome.ok && choice.reason === 'prefix-held' && choice.expectedCachedTokens > outcome.cachedTokens) {
    metrics.countRecomputedTokens('prefix-missed', choice.expectedCachedTokens - outcome.cachedTokens)
  }
  recordAttempt({
    team: draft.team,
    request: draft.request,
    route: draft.route,
    version: choice.version,
    backend: choice.backend.id,
    ok: outcome.ok,
    firstTokenMs,
    betweenTokensMs
  })
}
