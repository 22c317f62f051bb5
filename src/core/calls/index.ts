/**
 * At-most-once calls: registrations, licence grants and other operations that must
 * not run twice for one idempotency key, whichever nodes receive the requests.
 */
import { setMaxListeners } from 'node:events'
import { Result } from 'true-myth'
import { createId } from '../ids/index.ts'
import { createCandidates } from './candidates.ts'
import { forwardToOwner } from './forward.ts'
import { checkKeyTime, recordId, shardOf } from './keys.ts'
import { defaultCallLimits } from './limits.ts'
import { decodeRun, outcomeKind, runKind, takenKind, ownershipQueryKind } from './messages.ts'
import { refuse } from './refusals.ts'
import { runRepeatable } from './repeatable.ts'
import { createShards } from './shards.ts'
import type { IdempotencyKey, RequestId } from '../ids/index.ts'
import type { Refusal } from '../outcomes/index.ts'
import type { AttemptOptions } from './attempt.ts'
import type { OutcomeMessage, RunMessage, TakenMessage, OwnershipQueryMessage } from './messages.ts'
import type { Call, CallResponse, CallRequest, Calls, CallsOptions, ServeResult } from './types.ts'

export type * from './types.ts'
export { defaultCallLimits } from './limits.ts'

/** Maximum number of stored results of forwards; the oldest are deleted first. */
const maxForwardResults = 50_000

/** Creates the calls of one node and starts taking the shards it should own. */
export function createCalls (options: CallsOptions): Calls {
  const { membership, network, clock, metrics } = options
  const limits = { ...defaultCallLimits, ...options.limits }
  const closed = new AbortController()
  // Each call in flight adds a listener; no limit, or Node.js warns of a leak.
  setMaxListeners(0, closed.signal)
  const candidates = createCandidates(membership)
  const attempts: AttemptOptions = { ...options, lookUp: options.lookUp, limits, signal: closed.signal }
  const shards = createShards({ ...options, ...attempts, candidates })
  const forwardResults = new Map<RequestId, ServeResult>()

  /** Stores the result of a forward, so that a late duplicate of the message is never executed. */
  function storeForwardResult (forwardId: RequestId, result: ServeResult): void {
    forwardResults.set(forwardId, result)
    if (forwardResults.size <= maxForwardResults) return
    const oldest = forwardResults.keys().next().value
    if (oldest !== undefined) forwardResults.delete(oldest)
  }

  async function handleRun (message: RunMessage): Promise<ServeResult> {
    const request = decodeRun(message)
    const earlier = forwardResults.get(request.forwardId)
    if (earlier !== undefined) return earlier
    const result = await shards.serve(shardOf(recordId(request.call.team, request.key), limits.callShards), request)
    if (result.kind !== 'answer') storeForwardResult(request.forwardId, result)
    return result
  }

  async function forward (call: Call, key: IdempotencyKey): Promise<Result<CallResponse, Refusal>> {
    const shard = shardOf(recordId(call.team, key), limits.callShards)
    const request: CallRequest = { call, key, forwardId: createId<RequestId>('fwd', clock.wallMs()), unreachable: [] }
    const outcome = await forwardToOwner({ membership, network, candidates, clock, limits, metrics, serveLocally: shards.serve }, shard, request)
    return outcome.kind === 'answer' ? Result.ok(outcome.answer) : Result.err(outcome.refusal)
  }

  async function runOnce (call: Call): Promise<Result<CallResponse, Refusal>> {
    if (call.key === undefined) return Result.err(refuse('key-missing', 'not-run', 'key-missing'))
    const time = checkKeyTime(call.key, clock.wallMs(), limits)
    if (time === 'ahead') return Result.err(refuse('bad-request', 'not-run', 'key-ahead'))
    if (time === 'expired') return Result.err(refuse('key-expired', 'unknown', 'key-expired'))
    return await forward(call, call.key)
  }

  async function run (call: Call): Promise<Result<CallResponse, Refusal>> {
    const result = call.repeatable ? await runRepeatable(attempts, call) : await runOnce(call)
    if (result.isErr) metrics.countRefusal(result.error.reason)
    metrics.count('calls_total', { run: result.isOk ? 'done' : result.error.run })
    return result
  }

  async function takeShardsPeriodically (): Promise<void> {
    while (!closed.signal.aborted) {
      await clock.sleep(limits.shardCheckIntervalMs, closed.signal)
      if (!closed.signal.aborted) await shards.takePreferred()
    }
  }

  network.handle(runKind, (_from, body) => handleRun(body as RunMessage))
  network.handle(takenKind, (from, body) => shards.handleTaken(from, body as TakenMessage))
  network.handle(ownershipQueryKind, (_from, body) => shards.handleOwnershipQuery(body as OwnershipQueryMessage))
  network.handle(outcomeKind, (_from, body) => shards.handleOutcome(body as OutcomeMessage))
  takeShardsPeriodically()

  return {
    run,
    ownedShards: shards.owned,
    leave: shards.leave,
    drain: shards.drain,
    close: async () => {
      closed.abort()
      candidates.close()
      shards.close()
    }
  }
}
