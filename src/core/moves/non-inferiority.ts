/** A one-sided test that the new version is not worse than a reference rate by a margin (non-inferiority). */
import { binomialAtMost } from './binomial.ts'

/** The margin in standard errors of the reference rate, and in attempts. */
const marginStandardErrors = 4.2
const marginAttempts = 10

/** The margin that this number of attempts can resolve. */
function marginOf (attempts: number, rate: number, largest: number): number {
  return Math.min(largest, marginStandardErrors * Math.sqrt(rate * (1 - rate) / attempts) + marginAttempts / attempts)
}

/** Whether the attempts reject that the new version is worse than the reference by the margin. */
export function isShownGood (newBad: number, newTotal: number, rate: number, largestMargin: number, missProbability: number): boolean {
  if (newTotal === 0) return false
  const worseRate = 1 - (1 - rate) * (1 - marginOf(newTotal, rate, largestMargin))
  return binomialAtMost(newBad, newTotal, worseRate) <= missProbability
}
