/**
 * Default timings, sizes and prices of the stand-ins, for tests and
 * benchmarks. They aren't those of a real platform.
 */

/** Timings and capacities of a stand-in engine. */
export interface EngineTimings {
  /** Duration of one batch step without any sequence, in milliseconds. */
  stepMs: number
  /** Time that each decoding sequence adds to a step, in milliseconds. */
  stepMsPerSequence: number
  /** Time that each prompt token prefilled in a step adds to the step, in milliseconds. */
  prefillMsPerToken: number
  /** Maximum number of prompt tokens prefilled in one step. */
  maxPrefillTokensPerStep: number
  /** Maximum number of sequences that run at the same time. */
  maxBatch: number
  /** Capacity of the prefix cache, in blocks. */
  cacheBlocks: number
  /** Time to export or import one block of KV cache, in milliseconds. */
  cacheTransferMsPerBlock: number
  /** Delay of the reported load, in milliseconds. */
  loadReportLagMs: number
  /** Delay until a cache event is published, in milliseconds. */
  cacheEventLagMs: number
  /** Time to load one version after its weights were fetched, in milliseconds. */
  versionLoadMs: number
  /** Interval of the comments that keep a stream alive, in milliseconds. */
  commentIntervalMs: number
  /** Time for which an attempt without a reader is kept, in milliseconds; an unfinished one is then cancelled. */
  abandonedAfterMs: number
}

/** Default engine: 40 sequences decode at 24 ms per token, and prefilling 8,000 prompt tokens takes about half a second. */
export const engineTimings: EngineTimings = {
  stepMs: 14,
  stepMsPerSequence: 0.25,
  prefillMsPerToken: 0.05,
  maxPrefillTokensPerStep: 512,
  maxBatch: 64,
  cacheBlocks: 4_096,
  cacheTransferMsPerBlock: 0.5,
  loadReportLagMs: 1_000,
  cacheEventLagMs: 500,
  versionLoadMs: 2_000,
  commentIntervalMs: 500,
  abandonedAfterMs: 10_000
}

/** An engine with minimal delays, for tests that don't depend on its timings. */
export const immediateEngineTimings: EngineTimings = {
  ...engineTimings,
  stepMs: 1,
  stepMsPerSequence: 0,
  prefillMsPerToken: 0,
  cacheTransferMsPerBlock: 0,
  loadReportLagMs: 0,
  cacheEventLagMs: 0,
  versionLoadMs: 0
}

/** Duration of one call to a plain service, in milliseconds. */
export const serviceCallMs = 5

/** Price of a reclaimable instance by machine class, in thousandths of a euro per hour. */
export const reclaimablePriceMilliEuroPerHour: Record<string, number> = { small: 20, 'one-accelerator': 900, 'four-accelerators': 3_400 }

/** Price of an on-demand instance relative to a reclaimable one. */
export const onDemandPriceFactor = 2.8

/** Price factors of the failure domains, in the order in which they are declared; repeated when there are more domains. */
export const domainPriceFactors = [1, 1.15, 0.9, 1.05]

/** Time from a start request to a live instance, in milliseconds. */
export const instanceStartMs = 3_000

/** Time between a reclaim notice and the end of the instance, in milliseconds. */
export const reclaimNoticeMs = 20_000

/** Delay of the instance list, in milliseconds. */
export const instanceListLagMs = 2_000

/** Total rate of the weight store over all concurrent downloads, in bytes per second. */
export const weightStoreBytesPerSecond = 2_000_000_000

/** Size of a version's weights, in bytes. */
export const versionWeightBytes = 4_000_000_000
