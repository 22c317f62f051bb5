/** Performance of an engine or service on a machine class; the basis of the estimates. */
export interface EngineProfile {
  /** Time up to the first token apart from that for prompt tokens; 0 by default. */
  setUpMs?: number
  /** Time to compute one prompt token that isn't cached. */
  prefillMsPerToken: number
  /** Requests that run concurrently; further ones wait. */
  slots: number
  /** Time for which one request occupies a slot. */
  slotMs: number
  /** Cost of fetching cached prompt tokens from another engine; absent when the engine can't do that. */
  fetch?: { setUpMs: number, msPerToken: number }
  /** Whether the whole response arrives after `slotMs`, as with plain services, and isn't streamed. */
  respondsAtEnd?: boolean
}
