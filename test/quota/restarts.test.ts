/** A team's quota while nodes restart or are cut off from one another. */
import test from 'ava'
import { lossesOfPower, restartsInTurn, surgeAfter } from '../../bench/measure/quotas/cases.ts'
import { allowedTokens, limit, playCluster, tokensBetween } from '../../bench/measure/quotas/play.ts'

const nodeCount = 9
const seeds = [1, 2, 3, 4, 5, 6]
const repeatedRestarts = [...restartsInTurn(nodeCount, 6_000, 400), ...restartsInTurn(nodeCount, 10_000, 400)]

test('a team that asks for more than its quota doesn\'t get its burst again from nodes that restart in turn', async t => {
  for (const seed of seeds) {
    const { largestWindow, admitted } = await playCluster({ nodeCount, demandPerSecond: surgeAfter(2_000, 7.5), tokensPerRequest: 50, events: repeatedRestarts, forMs: 30_000, seed })
    t.true(largestWindow <= allowedTokens(), `${largestWindow} of ${allowedTokens()} with seed ${seed}`)
    const late = tokensBetween(admitted, 16_000, 30_000)
    t.true(late >= limit.perSecond * 13, `${late} in the 14 s after the restarts with seed ${seed}`)
  }
})

for (const storesLevels of [true, false]) {
  test(`a team that asks for more than its quota doesn't get its burst again when all nodes lose power, ${storesLevels ? 'with' : 'without'} stored levels`, async t => {
    for (const seed of seeds) {
      const events = lossesOfPower(nodeCount, 5_000, 6_000, 9_000)
      const { largestWindow } = await playCluster({ nodeCount, demandPerSecond: surgeAfter(3_000, 7.5), tokensPerRequest: 50, events, forMs: 20_000, seed, storesLevels })
      t.true(largestWindow <= allowedTokens(), `${largestWindow} of ${allowedTokens()} with seed ${seed}`)
    }
  })
}

test('a team within its quota is not refused after all nodes lost power', async t => {
  for (const seed of seeds) {
    const { refused } = await playCluster({ nodeCount, demandPerSecond: () => limit.perSecond * 0.8, tokensPerRequest: 50, events: lossesOfPower(nodeCount, 20_000), forMs: 40_000, seed })
    t.deepEqual(refused, [], `seed ${seed}`)
  }
})

test('a node that restarted admits a team within its quota, however much the others admitted before', async t => {
  for (const seed of seeds) {
    const { refused } = await playCluster({ nodeCount, demandPerSecond: () => limit.perSecond * 0.8, tokensPerRequest: 50, events: [{ atMs: 60_000, restart: [4] }], forMs: 70_000, seed })
    t.deepEqual(refused, [], `seed ${seed}`)
  }
})

test('a team within its quota is refused for at most two seconds after all nodes lost power without stored levels', async t => {
  for (const seed of seeds) {
    const { refused } = await playCluster({ nodeCount, demandPerSecond: () => limit.perSecond * 0.8, tokensPerRequest: 50, events: lossesOfPower(nodeCount, 20_000), forMs: 40_000, seed, storesLevels: false })
    t.deepEqual(refused.filter(({ atMs }) => atMs >= 22_000), [], `seed ${seed}`)
    t.true(tokensBetween(refused, 20_000, 22_000) <= limit.perSecond, `seed ${seed}`)
  }
})

test('a team whose load rises while nodes are cut off doesn\'t get its burst from each side', async t => {
  for (const seed of seeds) {
    const events = [{ atMs: 6_000, cut: [0, 1, 2] }, { atMs: 13_000, cut: [] }]
    const { largestWindow } = await playCluster({ nodeCount, demandPerSecond: surgeAfter(7_000, 7.5), tokensPerRequest: 50, events, forMs: 22_000, seed })
    t.true(largestWindow <= allowedTokens(), `${largestWindow} of ${allowedTokens()} with seed ${seed}`)
  }
})
