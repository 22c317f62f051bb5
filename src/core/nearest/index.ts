/** Suggests the known name that a mistyped name most likely stands for. */

/** Minimum number of insertions, deletions, substitutions and swaps of adjacent characters that turn `a` into `b`. */
export function editDistance (a: string, b: string): number {
  const distances = [...Array(a.length + 1).keys()].map(i => [i])
  for (let j = 1; j <= b.length; j++) distances[0]![j] = j
  for (let i = 1; i <= a.length; i++) {
    for (let j = 1; j <= b.length; j++) {
      const substitutionCost = a[i - 1] === b[j - 1] ? 0 : 1
      let best = Math.min(distances[i - 1]![j]! + 1, distances[i]![j - 1]! + 1, distances[i - 1]![j - 1]! + substitutionCost)
      const isSwap = i > 1 && j > 1 && a[i - 1] === b[j - 2] && a[i - 2] === b[j - 1]
      if (isSwap) best = Math.min(best, distances[i - 2]![j - 2]! + 1)
      distances[i]![j] = best
    }
  }
  return distances[a.length]![b.length]!
}

/** Maximum edit distance of a suggestion, relative to the longer of the two names. */
const maxDistanceRatio = 0.5

/** The known name with the smallest edit distance to `given`, ignoring case; undefined when none is close enough. */
export function findNearestName (given: string, known: readonly string[]): string | undefined {
  const lower = given.toLowerCase()
  const ranked = known
    .map(name => ({ name, distance: editDistance(lower, name.toLowerCase()) }))
    .sort((a, b) => a.distance - b.distance)
  const best = ranked[0]
  if (best === undefined) return undefined
  const maxDistance = Math.max(given.length, best.name.length) * maxDistanceRatio
  return best.distance <= maxDistance ? best.name : undefined
}
