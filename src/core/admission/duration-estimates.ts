/** Estimates how long requests hold their permits, as a moving average for each team and route. */
import type { TeamId } from '../ids/index.ts'

/** Weight of the newest duration in the moving average. */
const newestWeight = 0.2

/** Estimated durations by team and route. */
export interface DurationEstimates {
  /** Returns the estimate; undefined until a request of the team and route has finished. */
  expectedMs: (team: TeamId, route: string) => number | undefined
  record: (team: TeamId, route: string, durationMs: number) => void
}

/** Creates estimates without any samples. */
export function createDurationEstimates (): DurationEstimates {
  const averagesMs = new Map<string, number>()
  const keyOf = (team: TeamId, route: string): string => JSON.stringify([team, route])
  return {
    expectedMs: (team, route) => averagesMs.get(keyOf(team, route)),
    record: (team, route, durationMs) => {
      const key = keyOf(team, route)
      const averageMs = averagesMs.get(key)
      averagesMs.set(key, averageMs === undefined ? durationMs : averageMs + newestWeight * (durationMs - averageMs))
    }
  }
}
