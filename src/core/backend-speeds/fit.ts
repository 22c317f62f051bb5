/**
 * Fits what a service's engines take up to the first token: a set-up time and a time
 * per prompt token. The sums of all nodes can be added, so the fit is the same as that
 * of all samples together.
 */
import type { EngineProfile } from '../routing/engine-profile.ts'
import type { ServerSums, ServiceSums } from './types.ts'

/** Number of samples of a service from which its profile is learned; fewer don't outweigh the stated one. */
const minServiceSamples = 20
/** Weight of the stated prefill rate, in samples that are spread by a thousand tokens. */
const statedRateWeight = 20
/** Factor by which a learned prefill rate may differ from the stated one. */
const maxRateFactor = 4
/** Bound of the set-up time. The users' engines take some 10 ms; what the fit finds beyond is waiting behind requests that the node didn't know of. */
const maxSetUpMs = 20
const maxFetchSetUpMs = 200
/** Weight of the stated set-up of a fetch, in samples. */
const statedFetchWeight = 10
/** Weight of the service's mean in the estimate of a server, in samples. */
const meanWeight = 1
/** Weight of the times to the first token relative to those between events, which don't contain the wait behind other requests and are many in each stream. */
const firstTokenWeight = 0.1
/** Bounds of a server's ratio and of each sample. */
const minRatio = 0.2
const maxRatio = 8

/** What is learned of a service. */
export interface ServiceFit {
  setUpMs: number
  prefillMsPerToken: number
  fetchSetUpMs: number | undefined
  /** Mean measured time of a sample. */
  meanMs: number
  /** Mean time for which a request occupies a slot. */
  slotMs: number
  /** Mean time between two events of a stream; 0 while it isn't known. */
  gapMs: number
  /** Weight of a ms between events, so that all of them count as much as all times to the first token. */
  gapWeight: number
}

function clamp (value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value))
}

/** Bounds a measured time, so that one sample can't outweigh many. */
export function boundSample (measuredMs: number, expectedMs: number): number {
  return clamp(measuredMs, minRatio * expectedMs, maxRatio * expectedMs)
}

/** Fits a service; undefined as long as there are few samples. */
export function fitService (sums: ServiceSums | undefined, { prefillMsPerToken, slotMs, fetch }: EngineProfile): ServiceFit | undefined {
  if (sums === undefined || sums[0] < minServiceSamples) return undefined
  const [samples, kilotokens, measuredMs, squared, product, fetches, fetchKilotokens, fetchMs, gaps, gapMs, streams] = sums
  const spread = Math.max(0, squared - kilotokens ** 2 / samples)
  const covariance = product - kilotokens * measuredMs / samples
  const stated = prefillMsPerToken * 1_000
  const slope = clamp((covariance + statedRateWeight * stated) / (spread + statedRateWeight), stated / maxRateFactor, stated * maxRateFactor)
  const setUpMs = clamp((measuredMs - slope * kilotokens) / samples, 0, maxSetUpMs)
  const fetchSetUpSumMs = clamp(fetchMs - setUpMs * fetches - slope * fetchKilotokens, 0, maxFetchSetUpMs * fetches)
  return {
    setUpMs,
    prefillMsPerToken: slope / 1_000,
    fetchSetUpMs: fetch === undefined ? undefined : (fetchSetUpSumMs + statedFetchWeight * fetch.setUpMs) / (fetches + statedFetchWeight),
    meanMs: measuredMs / samples,
    slotMs: streams < minServiceSamples ? slotMs : gapMs / streams + setUpMs + slope * kilotokens / samples,
    gapMs: gaps === 0 ? 0 : gapMs / gaps,
    gapWeight: gapMs === 0 ? 0 : measuredMs / gapMs
  }
}

/** Ratio of a server's time to that of its service; above 1 if it is slower. With few samples it is close to 1. */
export function ratioOf (sums: ServerSums | undefined, { setUpMs, prefillMsPerToken, meanMs, gapMs: meanGapMs, gapWeight }: ServiceFit): number {
  if (sums === undefined) return 1
  const [samples, tokens, measuredMs, gaps, gapMs] = sums
  const weightMs = meanWeight * meanMs
  const expectedMs = setUpMs * samples + prefillMsPerToken * tokens
  const measured = firstTokenWeight * measuredMs + gapWeight * gapMs
  const expected = firstTokenWeight * expectedMs + gapWeight * meanGapMs * gaps
  return clamp((measured + weightMs) / (expected + weightMs), minRatio, maxRatio)
}
