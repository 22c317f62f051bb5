/**
 * One attempt of a draft at one backend server: reads the engine's stream into
 * the draft, with back pressure from the draft's readers.
 */
import type { Clock } from '../clock/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { AttemptId } from '../ids/index.ts'
import type { RetryReason } from '../outcomes/index.ts'
import { AttemptError } from '../backends/types.ts'
import type { GenerateEvent } from '../backends/types.ts'
import { appendEvent, attemptOf, beginPart, endDraft, isActive } from './draft.ts'
import type { LiveDraft } from './draft.ts'
import type { AttemptOutcome, DraftChoice } from './types.ts'

/** Largest number of events ahead of the fastest reader; beyond it, the engine's stream isn't read further. */
const maxUnreadEvents = 1_024

/** Timeout of a KV cache import; after it, the engine computes the prompt again. */
const importTimeoutMs = 2_000

/** Parameters of one attempt. */
export interface AttemptPlan {
  choice: DraftChoice
  attempt: AttemptId
  /** Whether to resume the stream of an attempt that is already running at the engine, started on another connection. */
  resume: boolean
  /** Handle of the KV cache that the previous attempt's engine exported. */
  cacheHandle?: string
}

/** Result of an attempt. Only a `broken` one may be followed by a retry. */
export type AttemptResult =
  | { kind: 'ended', promptTokens: number, cachedTokens: number }
  /** The draft ended, was cancelled or was handed over during the attempt. */
  | { kind: 'stopped' }
  /** The request's deadline passed during the attempt. */
  | { kind: 'expired' }
  | BrokenAttempt

/** A failed or interrupted attempt. */
export interface BrokenAttempt {
  kind: 'broken'
  reason: RetryReason
  detail: string
  /** Whether the backend server is responsible for the failure. */
  attributedToBackend: boolean
  /** Whether the backend server may have worked on the attempt. */
  mayHaveRun: boolean
  /** Whether the attempt delivered at least one event. */
  progressed: boolean
}

/** Abort reason of an attempt that this node interrupts. */
export class AttemptInterruption extends Error {
  readonly reason: 'backend-leaving' | 'version-withdrawn' | 'handed-over' | 'caller-left' | 'deadline-past'
  constructor (reason: AttemptInterruption['reason']) {
    super(reason)
    this.name = 'AttemptInterruption'
    this.reason = reason
  }
}

/** A running attempt of this node. A reclaim or the withdrawal of a version interrupts it. */
export interface RunningAttempt {
  draft: LiveDraft
  plan: AttemptPlan
  /** Wall time of the first token; undefined until it arrives. */
  firstTokenAtMs: number | undefined
  startedAtMs: number
  interrupt: (reason: AttemptInterruption['reason']) => void
}

const runningAttempts = new WeakMap<LiveDraft, RunningAttempt>()

/** Returns the running attempt of a draft, if any. */
export function runningAttemptOf (draft: LiveDraft): RunningAttempt | undefined {
  return runningAttempts.get(draft)
}

/** Runs one attempt to its end and reports its outcome to the router. Never rejects. */
export async function attemptDraft (
  draft: LiveDraft,
  plan: AttemptPlan,
  options: { clock: Clock, metrics: Metrics }
): Promise<AttemptResult> {
  const abort = new AbortController()
  const running: RunningAttempt = {
    draft,
    plan,
    firstTokenAtMs: undefined,
    startedAtMs: options.clock.wallMs(),
    interrupt: reason => abort.abort(new AttemptInterruption(reason))
  }
  const forwardAbort = (): void => abort.abort(draft.abortController.signal.reason)
  draft.abortController.signal.addEventListener('abort', forwardAbort, { once: true })
  const deadline = new AbortController()
  interruptAtDeadline(running, options.clock, deadline.signal)
  runningAttempts.set(draft, running)
  draft.backend = plan.choice.backend.id
  const eventCountBefore = draft.raws.length
  let endEvent: GenerateEvent & { kind: 'end' } | undefined
  let result: AttemptResult
  try {
    const lastEvent = await readStream(draft, running, abort.signal, options.clock)
    endEvent = lastEvent
    result = { kind: 'ended', promptTokens: lastEvent.promptTokens, cachedTokens: lastEvent.cachedTokens }
  } catch (error) {
    result = resultFromError(error, draft, abort.signal, draft.raws.length > eventCountBefore)
    cancelIfAbandoned(draft, plan, abort.signal)
  } finally {
    draft.abortController.signal.removeEventListener('abort', forwardAbort)
    deadline.abort()
    runningAttempts.delete(draft)
  }
  plan.choice.onEnded(outcomeOf(running, draft.raws.length - eventCountBefore, result, endEvent, options.clock))
  if (endEvent !== undefined) finishDraft(draft, endEvent, options)
  return result
}

async function interruptAtDeadline (running: RunningAttempt, clock: Clock, signal: AbortSignal): Promise<void> {
  await clock.sleep(running.draft.request.deadlineAtMs - clock.wallMs(), signal)
  if (!signal.aborted) running.interrupt('deadline-past')
}

/** Reads events up to the explicit end event. Throws when the stream closes without one. */
async function readStream (
  draft: LiveDraft,
  running: RunningAttempt,
  signal: AbortSignal,
  clock: Clock
): Promise<GenerateEvent & { kind: 'end' }> {
  const { choice, attempt } = running.plan
  // Event indexes of an attempt start at 0, so they are offset by the attempt's first index in the draft.
  const partStart = findOrBeginPart(draft, running.plan)
  const stream = running.plan.resume
    ? choice.engine.resume(attempt, draft.raws.length - partStart, signal)
    : choice.engine.generate(generateRequestOf(draft, running.plan, await importCache(running.plan, clock)), signal)
  for await (const event of stream) {
    signal.throwIfAborted()
    if (event.kind === 'end') return event
    // Skips a repeated event. An index beyond the next one means that events were lost.
    const index = partStart + event.index
    if (index < draft.raws.length) continue
    if (index > draft.raws.length) throw incompleteAnswerError(choice, draft.raws.length)
    if (running.firstTokenAtMs === undefined) {
      running.firstTokenAtMs = clock.wallMs()
      choice.onFirstToken()
    }
    appendEvent(draft, event.raw, event.text)
    if (isTooFarAhead(draft)) await waitForReaders(draft, signal)
  }
  throw incompleteAnswerError(choice, draft.raws.length)
}

function findOrBeginPart (draft: LiveDraft, plan: AttemptPlan): number {
  const existingPart = plan.resume ? draft.parts.find(part => part.attempt === plan.attempt) : undefined
  if (existingPart !== undefined) return existingPart.startIndex
  beginPart(draft, plan.attempt, plan.choice.version)
  return draft.raws.length
}

/** Imports the KV cache of the previous attempt into the engine; undefined when there is none or the import fails. */
async function importCache ({ choice, cacheHandle }: AttemptPlan, clock: Clock): Promise<string | undefined> {
  if (cacheHandle === undefined) return undefined
  const imported = await choice.engine.importCache(cacheHandle, clock.wallMs() + importTimeoutMs)
  return imported.isOk ? cacheHandle : undefined
}

function generateRequestOf (draft: LiveDraft, plan: AttemptPlan, cacheHandle: string | undefined): Parameters<DraftChoice['engine']['generate']>[0] {
  const { request } = draft
  return {
    attempt: plan.attempt,
    model: plan.choice.version,
    prompt: request.prompt,
    generatedText: draft.texts.join(''),
    maxTokens: request.maxTokens - draft.raws.length,
    priority: request.priority,
    deadlineAtMs: request.deadlineAtMs,
    ...(cacheHandle === undefined ? {} : { cacheHandle })
  }
}

function incompleteAnswerError (choice: DraftChoice, events: number): AttemptError {
  return new AttemptError({
    reason: 'answer-incomplete',
    mayHaveRun: true,
    detail: `backend server ${choice.backend.id} closed its stream after ${events} events without an end event`
  })
}

function isTooFarAhead (draft: LiveDraft): boolean {
  if (draft.readers.size === 0) return false
  return draft.raws.length - fastestReaderIndex(draft) > maxUnreadEvents
}

function fastestReaderIndex (draft: LiveDraft): number {
  return Math.max(...[...draft.readers].map(reader => reader.nextIndex))
}

/** Waits until the fastest reader has caught up. Meanwhile the stream isn't read, so that back pressure reaches the engine. */
async function waitForReaders (draft: LiveDraft, signal: AbortSignal): Promise<void> {
  signal.addEventListener('abort', draft.notifyChange, { once: true })
  while (isTooFarAhead(draft) && !signal.aborted && isActive(draft)) await draft.nextChange()
  signal.removeEventListener('abort', draft.notifyChange)
}

function resultFromError (error: unknown, draft: LiveDraft, signal: AbortSignal, progressed: boolean): AttemptResult {
  const reason = signal.reason
  if (signal.aborted && reason instanceof AttemptInterruption) {
    if (reason.reason === 'backend-leaving' || reason.reason === 'version-withdrawn') {
      return { kind: 'broken', reason: reason.reason, detail: reason.reason, attributedToBackend: false, mayHaveRun: true, progressed }
    }
    if (reason.reason === 'deadline-past') return { kind: 'expired' }
    return { kind: 'stopped' }
  }
  if (!isActive(draft)) return { kind: 'stopped' }
  if (error instanceof AttemptError) {
    const { failure } = error
    const attributedToBackend = failure.reason !== 'backend-leaving'
    return { kind: 'broken', reason: failure.reason, detail: failure.detail, attributedToBackend, mayHaveRun: failure.mayHaveRun, progressed }
  }
  const detail = error instanceof Error ? error.message : String(error)
  return { kind: 'broken', reason: 'stream-broken', detail, attributedToBackend: true, mayHaveRun: true, progressed }
}

/** Cancels the attempt at the engine, unless the draft was handed over and another node may resume the stream. */
function cancelIfAbandoned (draft: LiveDraft, plan: AttemptPlan, signal: AbortSignal): void {
  if (draft.handedOverTo !== undefined) return
  const reason = signal.reason
  if (reason instanceof AttemptInterruption && reason.reason === 'handed-over') return
  plan.choice.engine.cancel(plan.attempt).catch(() => {})
}

function outcomeOf (
  running: RunningAttempt,
  generatedTokens: number,
  result: AttemptResult,
  endEvent: GenerateEvent & { kind: 'end' } | undefined,
  clock: Clock
): AttemptOutcome {
  return {
    ok: result.kind === 'ended',
    attributedToBackend: result.kind === 'ended' || (result.kind === 'broken' && result.attributedToBackend),
    reason: result.kind === 'broken' ? result.reason : undefined,
    firstTokenMs: running.firstTokenAtMs === undefined ? undefined : running.firstTokenAtMs - running.startedAtMs,
    totalMs: clock.wallMs() - running.startedAtMs,
    generatedTokens,
    promptTokens: endEvent?.promptTokens ?? 0,
    cachedTokens: endEvent?.cachedTokens ?? 0
  }
}

function finishDraft (draft: LiveDraft, endEvent: GenerateEvent & { kind: 'end' }, options: { metrics: Metrics }): void {
  if (attemptOf(draft, 0) === draft.parts.at(-1)?.attempt) {
    options.metrics.count('prompt_tokens_total', {}, endEvent.promptTokens)
    options.metrics.count('cached_prompt_tokens_total', {}, endEvent.cachedTokens)
  }
  endDraft(draft, {
    kind: 'finished',
    finishReason: endEvent.finishReason,
    promptTokens: endEvent.promptTokens,
    cachedTokens: endEvent.cachedTokens
  })
}
