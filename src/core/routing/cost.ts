/** Estimates the time to the first token at a backend server and the cost by which candidates are compared. */
import type { BackendLoad } from './load-tracker.ts'
import type { EngineProfile } from './types.ts'

/** Slowdown of a request in a full batch, as a ratio of the time for which it occupies a slot. */
const fullBatchSlowdownRatio = 0.1

/** Expected wait for a free slot: the number of requests beyond the slots, divided by the throughput of the slots. */
function expectedSlotWaitMs (load: BackendLoad, profile: EngineProfile): number {
  const excessRequests = Math.max(0, load.requests + 1 - profile.slots)
  const slotMs = load.slotMs ?? profile.slotMs
  return excessRequests * slotMs / profile.slots
}

/** Expected time from sending the attempt to its first token, or to the response of a plain service. */
export function expectedFirstTokenMs (load: BackendLoad, profile: EngineProfile, uncachedTokens: number): number {
  const prefillTokens = load.pendingTokens + uncachedTokens
  const responseMs = profile.respondsAtEnd === true ? profile.slotMs : 0
  return (expectedSlotWaitMs(load, profile) + prefillTokens * profile.prefillMsPerToken + responseMs + (profile.setUpMs ?? 0)) * load.latencyRatio
}

/**
 * Cost of a candidate: the time to its first token, plus the delay that it causes
 * for requests already running there (a fuller batch, and a pause while its prompt
 * is prefilled), plus the expected cost of a failure.
 */
export function candidateCostMs (load: BackendLoad, profile: EngineProfile, firstTokenMs: number, uncachedTokens: number): number {
  const utilisation = Math.min(1, load.requests / profile.slots)
  const batchSlowdownMs = fullBatchSlowdownRatio * profile.slotMs
  const prefillDelayMs = uncachedTokens * profile.prefillMsPerToken
  const failureMs = load.failureRatio * profile.slotMs
  return firstTokenMs + utilisation * (batchSlowdownMs + prefillDelayMs) + failureMs
}
