/**
 * Plays the users' mix of prompts through 73 nodes and 98 engines of uneven speed whose
 * totals arrive late. A node sends to a given engine about once in ten seconds; with only
 * its own short-lived measurements, it sent long prompts to the slow engines as to the
 * others, and they were late.
 */
import test from 'ava'
import { playPlacement } from '../../bench/measure/placement/play.ts'
import { createPromptHasher } from '../../src/core/routing/index.ts'

const slowdowns = [1 / 0.6, 1, 1 / 1.6]
const slowdownOf = (index: number): number => slowdowns[index % slowdowns.length]!
const fetchMsPerToken = 0.0119

// A play of ten seconds takes up to a minute on a busy machine.
const timeoutMs = 480_000

test('nodes that learn the speeds together serve more requests in time, and send long prompts to fast engines', async t => {
  t.timeout(timeoutMs)
  const hasher = await createPromptHasher()
  const play = async (learnsSpeeds: boolean, seed: number) => {
    const result = await playPlacement({
      nodes: 73,
      engines: 98,
      engine: { slots: 12, stepMs: 5.95, stepMsPerRequest: 0.05, prefillTokensPerMs: 50.7, chunkTokens: 1_024, cacheTokens: 384_000, fetchMsPerToken, fetchSetUpMs: 4, tokensPerEvent: 3 },
      assumed: { prefillMsPerToken: 1 / 34, slots: 12, slotMs: 600, fetch: { setUpMs: 2.5, msPerToken: fetchMsPerToken } },
      reportIntervalMs: 200,
      load: 2.8,
      seconds: 10,
      seed,
      hasher,
      slowEngines: { count: 0, factor: 1 },
      slowdownOf,
      slowPeriods: { perSecond: 4, durationMs: 600, factor: 2.5 },
      learnsSpeeds,
      adapt: request => ({ ...request, compareAllBackends: false })
    })
    const work = result.prefilledByEngine.map((tokens, index) => tokens * slowdownOf(index))
    const busiestRatio = Math.max(...work) / (work.reduce((sum, value) => sum + value) / work.length)
    const tokensOf = (kind: number): number => result.prefilledByEngine.reduce((sum, tokens, index) => sum + (index % 3 === kind ? tokens : 0), 0)
    return { lateRatio: result.lateRatio, refusedRatio: result.refusedRatio, inTimeByKind: result.inTimeByKind, requestsRatio: result.busiestRatio, busiestRatio, slowToFast: tokensOf(0) / tokensOf(2) }
  }
  // Requests queue in bursts, so that the late ones of one seed differ more than those of several.
  const lateRatios = { before: 0, after: 0 }
  for (const seed of [5, 6, 7]) {
    const before = await play(false, seed)
    const after = await play(true, seed)
    t.log('seed', seed, 'before', before, 'after', after)
    lateRatios.before += before.lateRatio
    lateRatios.after += after.lateRatio
    t.true(after.slowToFast < 0.375 && before.slowToFast > 0.375)
    t.true(after.refusedRatio < 0.01)
  }
  t.true(lateRatios.after < 0.9 * lateRatios.before, `${lateRatios.after} ${lateRatios.before}`)
})
