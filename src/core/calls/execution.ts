/**
 * Execution of calls at the owner of their shard: commit a claim, make the attempts,
 * commit the outcome. Repeated requests wait for the running call or get the stored
 * outcome.
 */
import { createId } from '../ids/index.ts'
import { digestOf, expiryOf, recordId } from './keys.ts'
import { refuse } from './refusals.ts'
import { attemptOnce, lookUpOnce } from './attempt.ts'
import { valueOrTimeout } from './wait.ts'
import type { AttemptFailure, ServiceResponse } from '../backends/types.ts'
import type { AttemptId } from '../ids/index.ts'
import type { Refusal, RefusalReason, RunState } from '../outcomes/index.ts'
import type { Committer } from './committer.ts'
import type { RefusalDetail } from './refusals.ts'
import type { CallEntry, CallTable } from './table.ts'
import type { AttemptOptions } from './attempt.ts'
import type { AttemptRequest, CallRecord, CallRequest, ServeResult } from './types.ts'

/** Dependencies for executing the calls of one shard. */
export interface ExecutionOptions extends AttemptOptions {
  table: CallTable
  committer: Committer
  /** Whether this node can be certain that no other node has owned the shard in the meantime. */
  isOwnershipProven: () => Promise<boolean>
  /** Resolves once the previous owner can no longer report keys of the shard as not run. */
  waitForPreviousOwner: () => Promise<void>
  /** Whether the previous owner is live, and so may hand over the outcomes of its claims. */
  isPreviousOwnerLive: () => boolean
  /** Hands an outcome over to the current owner, after this node lost the shard. */
  handOver: (record: CallRecord) => void
}

/** The calls of one shard. */
export interface Execution {
  serve: (request: CallRequest) => Promise<ServeResult>
  /** Accepts the outcome of a call that a previous owner had claimed; false if it isn't needed. */
  acceptOutcome: (record: CallRecord) => boolean
}

const defaultRetryDelayMs = 1_000

function encodeStoredResponse (answer: ServiceResponse, maxBodyBytes: number): CallRecord['answer'] {
  const { status, contentType, body } = answer
  return body.length > maxBodyBytes ? { status, contentType } : { status, contentType, body: body.toString('base64') }
}

/** Creates the execution of one shard's calls. */
export function createExecution (options: ExecutionOptions): Execution {
  const { table, committer, clock, limits, metrics, log } = options
  const handoverWaiters = new Map<string, () => void>()

  function refusedResult (refusal: Refusal): ServeResult {
    return { kind: 'refused', refusal }
  }

  /** Refuses a call without a claim; `not-run` only if this node's ownership is proven. */
  async function refuseUnclaimed (reason: RefusalReason, detail: RefusalDetail, retryAtMs?: number): Promise<ServeResult> {
    const run: RunState = await options.isOwnershipProven() ? 'not-run' : 'unknown'
    return refusedResult(refuse(reason, run, detail, retryAtMs))
  }

  function createAttemptRequest ({ call, key }: CallRequest): AttemptRequest {
    const { team, route, contentType, body, deadlineAtMs } = call
    return { team, route, contentType, body, deadlineAtMs, idempotencyKey: key, attempt: createId<AttemptId>('att', clock.wallMs()) }
  }

  function responseFromRecord (record: CallRecord): ServeResult {
    const stored = record.answer
    if (stored?.body === undefined) return refusedResult(refuse('answer-not-kept', 'done', 'answer-not-kept'))
    const body = Buffer.from(stored.body, 'base64')
    return { kind: 'answer', answer: { run: 'done', repeated: true, status: stored.status, contentType: stored.contentType, body } }
  }

  function refuseUnknown (): ServeResult {
    metrics.count('calls_unknown_total')
    return refusedResult(refuse('backend-failed', 'unknown', 'unknown-outcome'))
  }

  /** Stores the outcome of a call and waits a limited time for its commit. The outcome is valid without the commit. */
  async function saveOutcome (entry: CallEntry, outcome: CallRecord): Promise<void> {
    entry.record = outcome
    const committed = committer.commitOutcome(outcome)
    const result = await valueOrTimeout(clock, committed, clock.wallMs() + limits.outcomeWaitMs)
    if (result === undefined) {
      metrics.count('calls_outcome_late_total')
      committed.then(late => { if (late === 'lost') options.handOver(outcome) })
    }
    if (result === 'lost') options.handOver(outcome)
  }

  async function finishDone (entry: CallEntry, answer: ServiceResponse, repeated: boolean): Promise<ServeResult> {
    const stored = encodeStoredResponse(answer, limits.maxStoredBodyBytes)
    await saveOutcome(entry, { ...entry.record, state: 'done', ...(stored === undefined ? {} : { answer: stored }) })
    return { kind: 'answer', answer: { ...answer, run: 'done', repeated } }
  }

  async function finishNotRun (entry: CallEntry, refusal: Refusal): Promise<ServeResult> {
    await saveOutcome(entry, { ...entry.record, state: 'not-run' })
    return refusedResult(refusal)
  }

  async function claimAndSend (entry: CallEntry, request: CallRequest): Promise<ServeResult> {
    const claimed = await committer.commitClaim(entry.record)
    if (claimed === 'lost') {
      table.remove(entry.record.id)
      return { kind: 'moved', holder: committer.newOwner() }
    }
    if (claimed === 'not-committed') {
      entry.record = { ...entry.record, state: 'not-run' }
      const isProven = await options.isOwnershipProven()
      const retryAtMs = clock.wallMs() + defaultRetryDelayMs
      return refusedResult(isProven
        ? refuse('store-unavailable', 'not-run', 'store-unavailable', retryAtMs)
        : refuse('store-unavailable', 'unknown', 'store-unavailable-unknown', retryAtMs))
    }
    await options.waitForPreviousOwner()
    // The process may have been paused since the claim was requested.
    if (clock.wallMs() >= request.call.deadlineAtMs) {
      return await finishNotRun(entry, refuse('deadline-past', 'not-run', 'deadline-past'))
    }
    return await sendClaimed(entry, request)
  }

  async function sendClaimed (entry: CallEntry, request: CallRequest): Promise<ServeResult> {
    for (let attempt = 1; ; attempt += 1) {
      const sent = await attemptOnce(options, createAttemptRequest(request))
      if (sent.isOk) return await finishDone(entry, sent.value, false)
      const failure = sent.error
      if (failure.mayHaveRun) return await finishUnknown(entry, request, failure)
      const refusal = giveUpRefusal(request, failure, attempt)
      if (refusal !== undefined) return await finishNotRun(entry, refusal)
      metrics.countRetry(failure.reason)
      await clock.sleep(limits.retryPauseMs * attempt, options.signal)
    }
  }

  /** The refusal if a call that did not run gets no further attempt; undefined if it does. */
  function giveUpRefusal (request: CallRequest, failure: AttemptFailure, attempt: number): Refusal | undefined {
    const retryAtMs = failure.retryAtMs ?? clock.wallMs() + defaultRetryDelayMs
    const notRun = (reason: RefusalReason): Refusal => ({ reason, run: 'not-run', retryAtMs, detail: failure.detail })
    if (failure.refusal !== undefined) return notRun(failure.refusal)
    if (options.signal.aborted) return notRun('draining')
    if (clock.wallMs() + limits.retryPauseMs * attempt >= request.call.deadlineAtMs) return notRun('deadline-past')
    if (attempt >= limits.maxAttempts) return notRun('attempts-exhausted')
    if (!options.mayRetry(request.call.team, failure.reason)) return notRun('retry-budget')
    return undefined
  }

  async function finishUnknown (entry: CallEntry, request: CallRequest, failure: AttemptFailure): Promise<ServeResult> {
    // Not awaited: the claim alone already means `unknown`, but with this record a later owner needn't wait for a handover.
    saveOutcome(entry, { ...entry.record, state: 'unknown' })
    log('callUnknown', { team: request.call.team, route: request.call.route, cause: failure.detail })
    return await resolveUnknown(entry, request)
  }

  /** Asks the service for the outcome of an unknown call, if it can be asked. Never sends the call again. */
  async function resolveUnknown (entry: CallEntry, request: CallRequest): Promise<ServeResult> {
    const found = await lookUpOnce(options, createAttemptRequest(request))
    if (found === undefined) return refuseUnknown()
    metrics.count('calls_looked_up_total')
    return await finishDone(entry, found, true)
  }

  /** Resolves a claim of a previous owner, which may still run the call and hands over its outcome when it ends. */
  async function resolveClaimed (entry: CallEntry, request: CallRequest): Promise<ServeResult> {
    const { id } = entry.record
    if (options.isPreviousOwnerLive()) {
      const handedOver = new Promise<void>(resolve => { handoverWaiters.set(id, resolve) })
      await valueOrTimeout(clock, handedOver, clock.wallMs() + limits.handoverWaitMs)
      handoverWaiters.delete(id)
    }
    if (entry.record.state === 'done') return responseFromRecord(entry.record)
    if (entry.record.state === 'not-run') return refusedResult(refuse('owner-unreachable', 'not-run', 'withdrawn', clock.wallMs()))
    entry.record = { ...entry.record, state: 'unknown' }
    return await resolveUnknown(entry, request)
  }

  /** Runs a task as the only one for its key. After an unexpected error the outcome is unknown. */
  function runForKey (entry: CallEntry, task: () => Promise<ServeResult>): Promise<ServeResult> {
    const running = task()
      .catch((error: unknown) => {
        log('callUnknown', { cause: String(error) })
        return refuseUnknown()
      })
      .finally(() => { entry.running = undefined })
    entry.running = running
    return running
  }

  /** Waits for a running call until the deadline of the request. */
  async function waitForResult (running: Promise<ServeResult>, request: CallRequest): Promise<ServeResult> {
    const result = await valueOrTimeout(clock, running, request.call.deadlineAtMs)
    if (result !== undefined) return result
    return refusedResult(refuse('running-elsewhere', 'unknown', 'running-elsewhere', clock.wallMs() + defaultRetryDelayMs))
  }

  async function startCall (request: CallRequest, id: string, digest: string): Promise<ServeResult> {
    const nowMs = clock.wallMs()
    if (nowMs >= request.call.deadlineAtMs) return await refuseUnclaimed('deadline-past', 'deadline-past')
    table.deleteExpired(nowMs)
    if (table.size() >= limits.maxKeysPerShard || committer.queueLength() >= limits.maxWaitingRecords) {
      return await refuseUnclaimed('queue-full', 'queue-full', nowMs + defaultRetryDelayMs)
    }
    const claim = createId<AttemptId>('clm', nowMs)
    const entry = table.put({ id, claim, digest, state: 'claimed', expiresAtMs: expiryOf(request.key, nowMs, limits) })
    return await waitForResult(runForKey(entry, () => claimAndSend(entry, request)), request)
  }

  async function joinRunning (entry: CallEntry, request: CallRequest): Promise<ServeResult> {
    metrics.count('calls_joined_total')
    const result = await waitForResult(entry.running!, request)
    return result.kind === 'answer' ? { ...result, answer: { ...result.answer, repeated: true } } : result
  }

  async function serve (request: CallRequest): Promise<ServeResult> {
    const id = recordId(request.call.team, request.key)
    const digest = digestOf(request.call)
    const entry = table.get(id)
    if (entry === undefined) return await startCall(request, id, digest)
    if (entry.record.digest !== digest) return refusedResult(refuse('key-reused', 'not-run', 'key-reused'))
    if (entry.running !== undefined) return await joinRunning(entry, request)
    if (entry.record.state === 'done') return responseFromRecord(entry.record)
    if (entry.record.state === 'not-run') return await startCall(request, id, digest)
    const resolve = entry.record.state === 'claimed' ? resolveClaimed : resolveUnknown
    return await waitForResult(runForKey(entry, () => resolve(entry, request)), request)
  }

  function acceptOutcome (outcome: CallRecord): boolean {
    const entry = table.get(outcome.id)
    const isOpen = entry !== undefined && entry.record.claim === outcome.claim && entry.record.state !== 'done'
    const waiter = handoverWaiters.get(outcome.id)
    if (!isOpen || (entry.running !== undefined && waiter === undefined)) return false
    entry.record = outcome
    committer.commitOutcome(outcome).catch(() => {})
    waiter?.()
    return true
  }

  return { serve, acceptOutcome }
}
