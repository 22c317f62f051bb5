/**
 * A model of a batch engine: prompts are prefilled in chunks between the decoding
 * steps of the running requests, in order of arrival, and cached parts of prompts
 * need no prefill until they are evicted. Times are in ms of the virtual clock.
 */
import type { Clock } from '../../../src/core/clock/index.ts'
import type { PromptBlocks } from '../../../src/core/routing/index.ts'

/** Performance of an engine. */
export interface BatchEngineProfile {
  slots: number
  /** Duration of a decoding step without other requests, and its increase with each running request. */
  stepMs: number
  stepMsPerRequest: number
  prefillTokensPerMs: number
  /** Prompt tokens that are prefilled between two steps. */
  chunkTokens: number
  cacheTokens: number
  /** Time to fetch a cached token from another engine, and to set up a transfer. */
  fetchMsPerToken: number
  fetchSetUpMs: number
  tokensPerEvent: number
}

/** The engine of the users' larger fleets. */
export const largeFleetEngine: BatchEngineProfile = {
  slots: 48,
  stepMs: 5.55,
  stepMsPerRequest: 0.029,
  prefillTokensPerMs: 42.6,
  chunkTokens: 1_024,
  cacheTokens: 384_000,
  fetchMsPerToken: 0.0035,
  fetchSetUpMs: 2.5,
  tokensPerEvent: 3
}

/** A request as the engine sees it. */
export interface EngineJob {
  prompt: PromptBlocks
  answerTokens: number
  /** Engine from which cached parts are fetched first. */
  fetchFrom: BatchEngine | undefined
}

/** A running engine. */
export interface BatchEngine {
  /** Runs a job. `onFirstToken` is called once its prompt is prefilled; resolves when the answer is complete. */
  run: (job: EngineJob, onFirstToken: () => void) => Promise<void>
  /** Leading tokens of a prompt that are cached. */
  cachedTokens: (prompt: PromptBlocks) => number
  /** Makes every step and prefill take this many times as long. */
  setSlowdown: (factor: number) => void
  /** Prompt tokens that were prefilled so far, in total and of parts that another engine or this one had prefilled before. */
  prefilled: () => { tokens: number, againTokens: number }
}

/** Creates an idle engine with an empty cache. `knownParts` is shared by all engines of a fleet. */
export function createBatchEngine (clock: Clock, profile: BatchEngineProfile, knownParts: Set<string>): BatchEngine {
  const cache = new Map<string, number>()
  let usedTokens = 0
  let slowdown = 1
  let running = 0
  const slotWaiters: Array<() => void> = []
  let prefillFreeAtMs = 0
  let prefilledTokens = 0
  let againTokens = 0

  function stepMs (): number {
    return (profile.stepMs + profile.stepMsPerRequest * running) * slowdown
  }

  /** Time per prompt token: a chunk takes its own time and, beside running requests, one decoding step. */
  function prefillMsPerToken (): number {
    return slowdown / profile.prefillTokensPerMs + (running > 1 ? stepMs() / profile.chunkTokens : 0)
  }

  function blockTokens ({ blockTokens = [] }: PromptBlocks, index: number): number {
    return blockTokens[index] ?? 0
  }

  function cachedTokens (prompt: PromptBlocks): number {
    let tokens = 0
    for (const [index, hash] of prompt.hashes.entries()) {
      if (!cache.has(hash)) break
      tokens += blockTokens(prompt, index)
    }
    return tokens
  }

  function store (prompt: PromptBlocks): void {
    for (const [index, hash] of prompt.hashes.entries()) {
      const tokens = blockTokens(prompt, index)
      if (cache.delete(hash)) usedTokens -= tokens
      cache.set(hash, tokens)
      usedTokens += tokens
    }
    for (const [hash, tokens] of cache) {
      if (usedTokens <= profile.cacheTokens) break
      cache.delete(hash)
      usedTokens -= tokens
    }
  }

  async function takeSlot (): Promise<void> {
    if (running >= profile.slots) await new Promise<void>(resolve => slotWaiters.push(resolve))
    running += 1
  }

  function releaseSlot (): void {
    running -= 1
    slotWaiters.shift()?.()
  }

  /** Occupies the prefill for a number of tokens, after all jobs before. */
  async function prefill (tokens: number, fetchMs: number): Promise<void> {
    const nowMs = clock.monotonicMs()
    const startMs = Math.max(nowMs + fetchMs, prefillFreeAtMs)
    prefillFreeAtMs = startMs + tokens * prefillMsPerToken()
    await clock.sleep(prefillFreeAtMs - nowMs)
  }

  async function run ({ prompt, answerTokens, fetchFrom }: EngineJob, onFirstToken: () => void): Promise<void> {
    await takeSlot()
    const ownTokens = cachedTokens(prompt)
    const fetchedTokens = Math.max(0, (fetchFrom?.cachedTokens(prompt) ?? 0) - ownTokens)
    const missingTokens = Math.max(0, prompt.tokens - ownTokens - fetchedTokens)
    const sharedTokens = prompt.hashes.slice(0, -1).reduce((sum, hash, index) => sum + (knownParts.has(hash) ? blockTokens(prompt, index) : 0), 0)
    againTokens += Math.max(0, sharedTokens - ownTokens - fetchedTokens)
    prefilledTokens += missingTokens
    await prefill(missingTokens, fetchedTokens === 0 ? 0 : profile.fetchSetUpMs + fetchedTokens * profile.fetchMsPerToken)
    store(prompt)
    for (const hash of prompt.hashes) knownParts.add(hash)
    onFirstToken()
    await clock.sleep(answerTokens * stepMs())
    releaseSlot()
  }

  return { run, cachedTokens, setSlowdown: factor => { slowdown = factor }, prefilled: () => ({ tokens: prefilledTokens, againTokens }) }
}
