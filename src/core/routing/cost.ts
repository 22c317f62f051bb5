/** Expected time to the first token at a backend server, and the cost by which candidates are compared. */
import type { Load } from './load-book.ts'
import type { EngineProfile } from './types.ts'

/** Share of its service time by which a request slows down when the batch is full. */
const batchingShare = 0.2

/** Expected wait for a free slot: requests beyond the slots, divided by the slots' throughput. */
function slotWaitMs (load: Load, profile: EngineProfile): number {
  const excess = Math.max(0, load.requests + 1 - profile.slots)
  const serviceMs = load.serviceMs ?? profile.serviceMs
  return excess * serviceMs / profile.slots
}

/** Expected time from sending to the first token. */
export function expectedFirstTokenMs (load: Load, profile: EngineProfile, uncachedTokens: number): number {
  const prefillTokens = load.pendingTokens + uncachedTokens
  return slotWaitMs(load, profile) + prefillTokens * profile.prefillMsPerToken
}

/** Cost of a candidate: the time to its first token, and what a fuller batch costs all that run there. */
export function candidateCostMs (load: Load, profile: EngineProfile, firstTokenMs: number): number {
  const batchMs = Math.min(1, load.requests / profile.slots) * batchingShare * profile.serviceMs
  return firstTokenMs + batchMs
}
