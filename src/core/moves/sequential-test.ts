/**
 * Sequential test for a regression of the new version while the counts grow,
 * with a bounded rate of false alarms. Requests are assigned to a version at
 * random by its share, so the share and the ratio of the bad rates of the new and
 * the old version determine the expected fraction of the bad attempts that belong
 * to the new version. The null hypothesis is that this ratio is at most
 * `toleratedRatio`. The statistic is a mixture of likelihood ratios over how much
 * worse the new version is and at which epoch the regression began. An epoch is
 * one of the equal intervals into which the detector divides the time of a move.
 * Under the null hypothesis the statistic never exceeds a nonnegative
 * supermartingale that starts at 1, so the probability that it ever reaches 1/p
 * is at most p (Ville's inequality).
 */

/** Maximum ratio of the bad rates of the new and the old version that doesn't count as a regression, because cold caches, for instance, can cause it. */
const toleratedRatio = 1.5
/** Ratios of the bad rates that the test looks for. */
const testedRatios = [4, 20, 200] as const
/** Number of epochs at whose start a regression may begin, according to the test; later epochs are ignored. */
const lateEpochs = 128
/** Weight of the assumption that the regression exists from the first attempt on. */
const initialWeight = 0.5

/** A running test for one route and one kind of regression. */
export interface SequentialTest {
  /** Adds the bad attempts of both versions that were counted while the new version had the given share. */
  add: (newBad: number, oldBad: number, share: number) => void
  /** Begins the next epoch. From now on the statistic includes regressions that begin here. */
  beginEpoch: () => void
  /** Natural logarithm of the statistic. */
  logStatistic: () => number
}

/** Expected fraction of bad attempts that belong to the new version, if its bad rate is `ratio` times that of the old one. */
function expectedNewFraction (ratio: number, share: number): number {
  return ratio * share / (1 - share + ratio * share)
}

/** Creates a test without any counts. */
export function createSequentialTest (): SequentialTest {
  let epochs = 0
  const likelihoodRatios = testedRatios.map(() => initialWeight / testedRatios.length)
  const lateWeight = (1 - initialWeight) / lateEpochs / testedRatios.length

  return {
    add: (newBad, oldBad, share) => {
      if (share <= 0 || share >= 1) return
      const tolerated = expectedNewFraction(toleratedRatio, share)
      for (const [index, ratio] of testedRatios.entries()) {
        const tested = expectedNewFraction(ratio, share)
        const log = newBad * Math.log(tested / tolerated) + oldBad * Math.log((1 - tested) / (1 - tolerated))
        // The caps prevent an overflow to Infinity, of Math.exp and of the sum of the ratios. They can only lower the statistic.
        likelihoodRatios[index] = Math.min(Number.MAX_VALUE / testedRatios.length, (likelihoodRatios[index] ?? 0) * Math.exp(Math.min(700, log)))
      }
    },
    beginEpoch: () => {
      if (epochs >= lateEpochs) return
      epochs += 1
      for (const index of likelihoodRatios.keys()) likelihoodRatios[index] = (likelihoodRatios[index] ?? 0) + lateWeight
    },
    logStatistic: () => Math.log(likelihoodRatios.reduce((sum, value) => sum + value, 0))
  }
}

/** Upper bound on the probability that any test on any node raises a false alarm during a whole move. */
const maxFalseAlarmProbability = 0.005

/** Threshold for the logarithm of the statistic when `tests` tests share that probability. */
export function logThresholdFor (tests: number): number {
  return Math.log(Math.max(1, tests) / maxFalseAlarmProbability)
}
