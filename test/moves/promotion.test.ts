/** The decision whether a new version was shown to be as good as the old one. */
import test from 'ava'
import { binomialAtLeast, binomialAtMost } from '../../src/core/moves/binomial.ts'
import { createPromotionAnalysis } from '../../src/core/moves/promotion.ts'
import type { AttemptCounts } from '../../src/core/moves/attempt-counts.ts'
import type { PromotionAnalysis } from '../../src/core/moves/promotion.ts'

const secondMs = 1_000
const durationMs = 24 * secondMs

function failures (counts: Partial<AttemptCounts>): AttemptCounts {
  return { route: 'register', kind: 'failing', share: 0.1, newBad: 0, newTotal: 0, oldBad: 0, oldTotal: 0, ...counts }
}

function createAnalysis (earlier: Partial<AttemptCounts> = { oldBad: 2, oldTotal: 200 }): PromotionAnalysis {
  const analysis = createPromotionAnalysis({ startAtMs: 0, deadlineAtMs: durationMs })
  analysis.add(failures({ share: 0, ...earlier }), 0)
  return analysis
}

/** Adds the same counts each second. */
function addEachSecond (analysis: PromotionAnalysis, fromSecond: number, toSecond: number, counts: Partial<AttemptCounts>): void {
  for (let second = fromSecond; second < toSecond; second += 1) analysis.add(failures(counts), second * secondMs)
}

test('tail probabilities agree with the sum of all terms, and do not underflow in long sums', t => {
  const rate = 0.3
  const terms = [1]
  for (let count = 0; count < 12; count += 1) terms.push((terms[count] as number) * (12 - count) / (count + 1) * rate / (1 - rate))
  const scale = (1 - rate) ** 12
  for (let count = 0; count <= 12; count += 1) {
    const expected = scale * terms.slice(0, count + 1).reduce((sum, term) => sum + term, 0)
    t.true(Math.abs(binomialAtMost(count, 12, rate) - expected) < 1e-12, `at most ${count}`)
    t.true(Math.abs(binomialAtLeast(count + 1, 12, rate) - (1 - expected)) < 1e-12, `at least ${count + 1}`)
  }
  t.true(Math.abs(binomialAtMost(50_000, 100_000, 0.5) - 0.5) < 0.01)
  t.is(binomialAtMost(0, 10, 0), 1)
  t.is(binomialAtLeast(0, 10, 0.5), 1)
})

test('no attempts, or a few without a failure, do not show a version to be good', t => {
  const analysis = createAnalysis()
  t.is(analysis.verdict(0).result, 'too-few-attempts')
  addEachSecond(analysis, 0, 16, { oldTotal: 20 })
  t.is(analysis.verdict(16 * secondMs).result, 'too-few-attempts')
  analysis.add(failures({ newTotal: 6 }), 15 * secondMs)
  t.is(analysis.verdict(16 * secondMs).result, 'too-few-attempts')
})

test('attempts that fail as seldom as those of the old version show a version to be good', t => {
  const analysis = createAnalysis()
  addEachSecond(analysis, 0, 16, { oldBad: 1, oldTotal: 40, newTotal: 4 })
  analysis.add(failures({ newBad: 1, newTotal: 1 }), 8 * secondMs)
  t.deepEqual(analysis.verdict(16 * secondMs), { result: 'good' })
})

const oftenFailing = { oldBad: 25, oldTotal: 200 }

test('a version that becomes worse in the last part of the evaluation is not good', t => {
  const analysis = createAnalysis(oftenFailing)
  addEachSecond(analysis, 0, 13, { oldBad: 4, oldTotal: 40, newTotal: 3 })
  addEachSecond(analysis, 13, 16, { oldBad: 4, oldTotal: 40, newTotal: 4, newBad: 2 })
  const { result, scope } = analysis.verdict(16 * secondMs)
  t.is(result, 'not-shown-good')
  t.is(scope, 'last-part')
})

test('a version that fails on a less used route is not good', t => {
  const analysis = createAnalysis(oftenFailing)
  addEachSecond(analysis, 0, 16, { oldBad: 4, oldTotal: 32, newTotal: 3 })
  addEachSecond(analysis, 5, 16, { route: 'status', oldTotal: 8, newTotal: 1 })
  t.is(analysis.verdict(16 * secondMs).result, 'good')
  addEachSecond(analysis, 0, 5, { route: 'status', oldTotal: 8, newTotal: 1, newBad: 1 })
  const { result, scope } = analysis.verdict(16 * secondMs)
  t.is(result, 'not-shown-good')
  t.is(scope, 'status')
})

test('seconds in which the old version fails more than before are left out, for bad versions and for good ones', t => {
  const troubled = { oldBad: 16, oldTotal: 40, newBad: 2, newTotal: 4 }
  const throughout = createAnalysis()
  addEachSecond(throughout, 0, 16, troubled)
  t.is(throughout.verdict(16 * secondMs).result, 'old-version-in-trouble')
  const forAWhile = createAnalysis()
  addEachSecond(forAWhile, 0, 4, troubled)
  addEachSecond(forAWhile, 4, 20, { oldTotal: 40, newTotal: 6 })
  t.is(forAWhile.verdict(20 * secondMs).result, 'good')
})

test('a service that was in trouble before the move, too, is no measure for the new version', t => {
  const throughout = createAnalysis({ oldBad: 80, oldTotal: 200 })
  addEachSecond(throughout, 0, 16, { oldBad: 16, oldTotal: 40, newBad: 2, newTotal: 6 })
  t.not(throughout.verdict(16 * secondMs).result, 'good')
  const recovered = createAnalysis({ oldBad: 80, oldTotal: 200 })
  addEachSecond(recovered, 0, 16, { oldTotal: 40, newBad: 2, newTotal: 6 })
  t.is(recovered.verdict(16 * secondMs).result, 'not-shown-good')
})

test('latencies are compared with those before the move, so that slow servers of the old version hide nothing', t => {
  const analysis = createAnalysis()
  const latency = (counts: Partial<AttemptCounts>): AttemptCounts => failures({ kind: 'first-token-slow', ...counts })
  analysis.add(latency({ share: 0, latencyBucket: 20, oldTotal: 200 }), 0)
  addEachSecond(analysis, 0, 16, { oldTotal: 40, newTotal: 5 })
  for (let second = 0; second < 16; second += 1) {
    analysis.add(latency({ latencyBucket: 20, oldTotal: 16, newTotal: 1 }), second * secondMs)
    analysis.add(latency({ latencyBucket: 29, oldTotal: 24, newTotal: 4 }), second * secondMs)
  }
  const { result, kind } = analysis.verdict(16 * secondMs)
  t.is(result, 'old-version-in-trouble')
  t.is(kind, 'first-token-slow')
})

test('a version has given too many bad answers whatever the old one does, but not for a usual rate of failures', t => {
  const bad = createAnalysis()
  addEachSecond(bad, 0, 12, { oldBad: 40, oldTotal: 80, newBad: 3, newTotal: 4 })
  t.true(bad.hasTooManyBad())
  const usual = createAnalysis({ oldBad: 28, oldTotal: 200 })
  addEachSecond(usual, 0, 24, { oldBad: 140, oldTotal: 1_000, newBad: 14, newTotal: 100 })
  t.false(usual.hasTooManyBad())
})
