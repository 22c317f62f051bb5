/** How often features of requests were answered in the last seconds, for the most recent features. */
import type { Clock } from '../clock/index.ts'
import type { RequestFeature } from '../ids/index.ts'

/** Answers of one node by feature. */
export interface RecentAnswers {
  record: (feature: RequestFeature) => void
  /** Number of answers in the last seconds, at most `maxCount`. */
  count: (feature: RequestFeature) => number
}

const windowMs = 5_000
const maxCount = 3
/** Bound of the memory; features beyond it that were answered least recently are forgotten. */
const maxFeatures = 1_024

/** Creates empty counts. */
export function createRecentAnswers (clock: Clock): RecentAnswers {
  /** Monotonic times of the latest answers of each feature, in the order of the latest one. */
  const answersMs = new Map<RequestFeature, number[]>()

  function recentTimesMs (feature: RequestFeature): number[] {
    const oldestMs = clock.monotonicMs() - windowMs
    return (answersMs.get(feature) ?? []).filter(atMs => atMs >= oldestMs)
  }

  return {
    record: feature => {
      const timesMs = [...recentTimesMs(feature), clock.monotonicMs()].slice(-maxCount)
      answersMs.delete(feature)
      answersMs.set(feature, timesMs)
      const [oldest] = answersMs.keys()
      if (answersMs.size > maxFeatures && oldest !== undefined) answersMs.delete(oldest)
    },
    count: feature => recentTimesMs(feature).length
  }
}
