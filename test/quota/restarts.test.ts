/** A team's quota while nodes restart or are cut off from one another. */
import test from 'ava'
import { allowedTokens, limit, playCluster, tokensBetween } from './cluster.ts'
import type { ClusterEvent } from './cluster.ts'

const nodeCount = 9
const allNodes = Array.from({ length: nodeCount }, (_, index) => index)
const seeds = [1, 2, 3, 4, 5, 6]

/** A team that asks for several times its quota from a time on, and for half of it before. */
function surgeAfter (surgeAtMs: number, ratio: number) {
  return (atMs: number): number => atMs < surgeAtMs ? limit.perSecond / 2 : limit.perSecond * ratio
}

const restartsInTurn: ClusterEvent[] = allNodes.map(index => ({ atMs: 6_000 + index * 400, restart: [index] }))
const repeatedRestarts: ClusterEvent[] = [...restartsInTurn, ...allNodes.map(index => ({ atMs: 10_000 + index * 400, restart: [index] }))]

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
      const events = [{ atMs: 5_000, restart: allNodes }, { atMs: 6_000, restart: allNodes }, { atMs: 9_000, restart: allNodes }]
      const { largestWindow } = await playCluster({ nodeCount, demandPerSecond: surgeAfter(3_000, 7.5), tokensPerRequest: 50, events, forMs: 20_000, seed, storesLevels })
      t.true(largestWindow <= allowedTokens(), `${largestWindow} of ${allowedTokens()} with seed ${seed}`)
    }
  })
}

test('a team within its quota is not refused after all nodes lost power', async t => {
  for (const seed of seeds) {
    const { refused } = await playCluster({ nodeCount, demandPerSecond: () => limit.perSecond * 0.8, tokensPerRequest: 50, events: [{ atMs: 20_000, restart: allNodes }], forMs: 40_000, seed })
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
    const { refused } = await playCluster({ nodeCount, demandPerSecond: () => limit.perSecond * 0.8, tokensPerRequest: 50, events: [{ atMs: 20_000, restart: allNodes }], forMs: 40_000, seed, storesLevels: false })
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
