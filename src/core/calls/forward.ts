/**
 * Forwards a request to the owner of its shard. Forwarding again is safe, because
 * the owner recognizes a repeated request by its key. After a forward without a
 * response, a refusal can no longer state that the call did not run.
 */
import { createId } from '../ids/index.ts'
import { decodeResult, encodeRun, runKind } from './messages.ts'
import { refuse, withUnknownRun } from './refusals.ts'
import type { Clock } from '../clock/index.ts'
import type { NodeId, RequestId } from '../ids/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { Refusal } from '../outcomes/index.ts'
import type { Membership, PeerNetwork } from '../peers/types.ts'
import type { Candidates } from './candidates.ts'
import type { CallResponse, CallLimits, CallRequest, ServeResult } from './types.ts'

const defaultRetryDelayMs = 1_000
const movedPauseMs = 50

/** Dependencies of the forwarding node. */
export interface ForwardOptions {
  membership: Membership
  network: PeerNetwork
  candidates: Candidates
  clock: Clock
  limits: CallLimits
  metrics: Metrics
  /** Runs the request on this node if it owns the shard or should own it. */
  serveLocally: (shard: number, request: CallRequest) => Promise<ServeResult>
}

/** The final result of a request. */
export type ForwardOutcome = Exclude<ServeResult, { kind: 'moved' }>

/** The result of one forward. `silent`: no response, but the node may have received the request. */
type ForwardResult = ServeResult | { kind: 'unreachable' } | { kind: 'silent' }

async function forwardTo (options: ForwardOptions, target: NodeId, shard: number, request: CallRequest): Promise<ForwardResult> {
  const { membership, network } = options
  if (target === membership.self.node) return await options.serveLocally(shard, request)
  const address = membership.find(target)
  if (address === undefined) return { kind: 'unreachable' }
  const response = await network.request(address, runKind, encodeRun(request), request.call.deadlineAtMs)
  if (response.isOk) return decodeResult(response.value as ServeResult)
  return response.error.kind === 'PeerUnreachable' ? { kind: 'unreachable' } : { kind: 'silent' }
}

function toOutcome (result: { answer: CallResponse } | { refusal: Refusal }): ForwardOutcome {
  return 'answer' in result ? { kind: 'answer', answer: result.answer } : { kind: 'refused', refusal: result.refusal }
}

/** Tries the candidate owners one after the other until one of them owns the shard and responds. */
export async function forwardToOwner (options: ForwardOptions, shard: number, request: CallRequest): Promise<ForwardOutcome> {
  const { candidates, clock, limits, metrics } = options
  const unreachable: NodeId[] = []
  let hint: NodeId | undefined
  let mayHaveRun = false
  for (let forward = 1; forward <= limits.maxForwards; forward += 1) {
    const target = hint ?? candidates.of(shard).find(node => !unreachable.includes(node))
    if (target === undefined || clock.wallMs() >= request.call.deadlineAtMs) break
    hint = undefined
    const forwarded = { ...request, forwardId: createId<RequestId>('fwd', clock.wallMs()), unreachable: [...unreachable] }
    const result = await forwardTo(options, target, shard, forwarded)
    if (result.kind === 'answer') return toOutcome(result)
    if (result.kind === 'refused') return toOutcome({ refusal: mayHaveRun ? withUnknownRun(result.refusal) : result.refusal })
    metrics.countRetry('owner-moved')
    if (result.kind === 'moved') {
      if (result.holder === undefined) unreachable.push(target)
      else hint = unreachable.includes(result.holder) ? undefined : result.holder
      if (forward > 1) await clock.sleep(movedPauseMs)
    } else {
      unreachable.push(target)
      mayHaveRun ||= result.kind === 'silent'
    }
  }
  const retryAtMs = clock.wallMs() + defaultRetryDelayMs
  if (mayHaveRun && clock.wallMs() >= request.call.deadlineAtMs) {
    return toOutcome({ refusal: refuse('running-elsewhere', 'unknown', 'running-elsewhere', retryAtMs) })
  }
  metrics.count('calls_owner_unreachable_total')
  return toOutcome({ refusal: refuse('owner-unreachable', 'unknown', 'owner-unreachable', retryAtMs) })
}
