/**
 * Timings and prices of the stand-ins, all in one place. They give shape to
 * tests and measurements; a real platform brings its own.
 */

/** How fast a model engine works. */
export interface EngineTimings {
  /** Time of one step of the batch without any sequence, in milliseconds. */
  stepMs: number
  /** Time that each running sequence adds to a step, in milliseconds. */
  stepMsPerSequence: number
  /** Time that each prompt token read in a step adds to it, in milliseconds. */
  prefillMsPerToken: number
  /** Most prompt tokens read in one step. */
  maxPrefillTokensPerStep: number
  /** Most sequences that run at once. */
  maxBatch: number
  /** Blocks that the prefix cache holds. */
  cacheBlocks: number
  /** Time to export or import one block of KV cache, in milliseconds. */
  cacheTransferMsPerBlock: number
  /** Age of the load that is reported, in milliseconds. */
  loadReportLagMs: number
  /** Age at which cache events are published, in milliseconds. */
  cacheEventLagMs: number
  /** Time to load one version once its weights are there, in milliseconds. */
  versionLoadMs: number
  /** Interval of the comments on a stream that waits, in milliseconds. */
  commentIntervalMs: number
  /** Time that a stream without a reader is kept running, in milliseconds. */
  abandonedAfterMs: number
}

/** One engine: 40 sequences run at 24 ms a token; 8,000 tokens of prompt take half a second. */
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

/** An engine that takes no time, for tests of what does not depend on it. */
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

/** Time of one call of a plain service, in milliseconds. */
export const serviceCallMs = 5

/** Price of a reclaimable instance by machine class, in thousandths of a euro an hour. */
export const reclaimablePriceMilliEuroPerHour: Record<string, number> = { small: 20, 'one-accelerator': 900, 'four-accelerators': 3_400 }

/** How much dearer an on-demand instance is. */
export const onDemandPriceFactor = 2.8

/** How prices differ between failure domains, in the order in which they are declared. */
export const domainPriceFactors = [1, 1.15, 0.9, 1.05]

/** Time from a start order to a live instance, in milliseconds. */
export const instanceStartMs = 3_000

/** Time between a reclaim notice and the end of the instance, in milliseconds. */
export const reclaimNoticeMs = 20_000

/** Age of the instance list, in milliseconds. */
export const instanceListLagMs = 2_000

/** Rate of the weight store over all downloads, in bytes a second. */
export const weightStoreBytesPerSecond = 2_000_000_000

/** Size of a version's weights, in bytes. */
export const versionWeightBytes = 4_000_000_000
