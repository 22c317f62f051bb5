/** Tail probabilities of the binomial distribution. */

/** Probability of at most `successes` successes in `trials` independent trials with the given success rate. */
export function binomialAtMost (successes: number, trials: number, rate: number): number {
  if (successes >= trials || rate <= 0) return 1
  if (rate >= 1 || successes < 0) return 0
  const logOdds = Math.log(rate) - Math.log1p(-rate)
  let logTerm = trials * Math.log1p(-rate)
  // Summed relative to the largest term so far, since the first terms of a long sum underflow.
  let logScale = logTerm
  let sum = 1
  for (let count = 1; count <= successes; count += 1) {
    logTerm += Math.log((trials - count + 1) / count) + logOdds
    if (logTerm > logScale) {
      sum = sum * Math.exp(logScale - logTerm) + 1
      logScale = logTerm
    } else {
      sum += Math.exp(logTerm - logScale)
    }
  }
  return Math.min(1, Math.exp(logScale) * sum)
}

/** Probability of at least `successes` successes. */
export function binomialAtLeast (successes: number, trials: number, rate: number): number {
  return binomialAtMost(trials - successes, trials, 1 - rate)
}
