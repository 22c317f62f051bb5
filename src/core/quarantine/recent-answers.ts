/** How often the parts of prompts were answered in the last seconds, for the most recent parts. */
import type { Clock } from '../clock/index.ts'
import type { PromptPartId } from '../ids/index.ts'

/** Answers of one node by part. */
export interface RecentAnswers {
  record: (part: PromptPartId) => void
  /** Number of answers in the last seconds, at most `maxCount`. */
  count: (part: PromptPartId) => number
}

const windowMs = 5_000
const maxCount = 3
/** Bound of the memory; parts beyond it that were answered least recently are forgotten. */
const maxParts = 1_024

/** Creates empty counts. */
export function createRecentAnswers (clock: Clock): RecentAnswers {
  /** Monotonic times of the latest answers of each part, in the order of the latest one. */
  const answersMs = new Map<PromptPartId, number[]>()

  function recentTimesMs (part: PromptPartId): number[] {
    const oldestMs = clock.monotonicMs() - windowMs
    return (answersMs.get(part) ?? []).filter(atMs => atMs >= oldestMs)
  }

  return {
    record: part => {
      const timesMs = [...recentTimesMs(part), clock.monotonicMs()].slice(-maxCount)
      answersMs.delete(part)
      answersMs.set(part, timesMs)
      const [oldest] = answersMs.keys()
      if (answersMs.size > maxParts && oldest !== undefined) answersMs.delete(oldest)
    },
    count: part => recentTimesMs(part).length
  }
}
