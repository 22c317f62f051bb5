/**
 * Learns, for each team and affinity rank, which ratio of a prompt's tokens an
 * affinity backend server has cached when this node's prefix index doesn't know
 * about it. Other nodes send the same prefixes to the same servers, so a cache hit
 * is likely even without an index entry. Samples come from the usage that engines report.
 */
import type { TeamId } from '../ids/index.ts'

/** Number of affinity backend servers of a prompt: the preferred one, and one that takes the overflow. */
export const affinityBackendCount = 2

/** Weight of the newest sample in the moving average. */
const sampleWeight = 0.05
/** Initial ratio of the preferred backend server; halved for the second one. */
const initialRatio = 0.5
/** Lower bound. It keeps a team's prompts on their affinity backend servers, so that the ratio can recover. */
const minRatio = 0.1

/** Learned ratios of cached to all prompt tokens, 0 to 1. Ranks start at 0, the preferred backend server. */
export interface AffinityHitRatios {
  ratio: (team: TeamId, rank: number) => number
  record: (team: TeamId, rank: number, ratio: number) => void
}

/** Creates the ratios without any samples. */
export function createAffinityHitRatios (): AffinityHitRatios {
  const ratios = new Map<TeamId, number[]>()

  function ratiosOf (team: TeamId): number[] {
    const ratiosByRank = ratios.get(team)
    if (ratiosByRank !== undefined) return ratiosByRank
    const created = Array.from({ length: affinityBackendCount }, (_, rank) => initialRatio / (rank + 1))
    ratios.set(team, created)
    return created
  }

  return {
    ratio: (team, rank) => Math.max(minRatio / (rank + 1), ratiosOf(team)[rank] ?? 0),
    record: (team, rank, ratio) => {
      const ratiosByRank = ratiosOf(team)
      ratiosByRank[rank] = (ratiosByRank[rank] ?? 0) + sampleWeight * (ratio - (ratiosByRank[rank] ?? 0))
    }
  }
}
