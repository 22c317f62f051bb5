/** Draws of the distributions that the workloads use. */
import type { Random } from '../../src/core/random/index.ts'

/** Time to the next arrival of a Poisson process. */
export function exponential (random: Random, mean: number): number {
  return -mean * Math.log(1 - random())
}

/** A whole number between two bounds, both included. */
export function between (random: Random, min: number, max: number): number {
  return min + Math.floor(random() * (max - min + 1))
}

/** An index drawn by weights. */
export function weighted (random: Random, weights: readonly number[]): number {
  let remaining = random() * weights.reduce((sum, weight) => sum + weight, 0)
  const index = weights.findIndex(weight => {
    remaining -= weight
    return remaining < 0
  })
  return index === -1 ? weights.length - 1 : index
}
