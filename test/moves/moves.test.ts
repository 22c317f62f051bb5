/** Version moves of three nodes with one key-value service, on a manual clock; one test compares them with the naive baseline. */
import test from 'ava'
import { startSystemMoves } from '../../bench/moves/system.ts'
import { startNaiveMoves } from '../../bench/moves/naive.ts'
import { brokenBounds, summarize } from '../../bench/moves/summary.ts'
import { runTrial } from '../../bench/moves/trial.ts'
import { createMoveCluster, createDeclaration, newVersion, oldVersion, team } from '../../bench/moves/cluster.ts'
import { toId } from '../../src/core/ids/index.ts'
import type { VersionBehavior, Fault, TrialPlan } from '../../bench/moves/types.ts'
import type { StartMoves, MoveCluster } from '../../bench/moves/cluster.ts'
import type { MoveRecord } from '../../src/core/moves/index.ts'

const windowMs = 240_000
const secondMs = 1_000

function createPlan (badness: VersionBehavior, fault: Fault, seed: number): TrialPlan {
  return { seed, badness, fault, requestsPerSecond: 40, windowMs }
}

async function brokenBoundsOf (startMoves: StartMoves, plans: TrialPlan[]): Promise<string[]> {
  const results = []
  for (const plan of plans) results.push(await runTrial(plan, startMoves))
  return brokenBounds(summarize('test', 1, results))
}

const regressionPlans: TrialPlan[] = [
  createPlan('slow-at-once', 'none', 11),
  createPlan('failing-later', 'holder-killed', 12),
  createPlan('failing-on-one-route', 'service-down', 13)
]

test('versions with a regression get little traffic, and none soon after it shows, unlike with the naive baseline', async t => {
  t.deepEqual(await brokenBoundsOf(startSystemMoves, regressionPlans), [])
  t.true((await brokenBoundsOf(startNaiveMoves, regressionPlans)).length > 0)
})

test('takes back a version whose regression on one route hardly shows before the last steps', async t => {
  // Found by `npm run moves -- --seed 1796340308`, trial 13: the route had only eight attempts of the new version
  // before the last steps, whose shares are too large for the test to detect a regression.
  const plan: TrialPlan = { seed: 1395272713, badness: 'failing-on-one-route', fault: 'none', requestsPerSecond: 10, windowMs: 598_478.481389595 }
  t.is((await runTrial(plan, startSystemMoves)).word, 'taken-back')
})

test('a failing version is not completed while the old version fails for another reason', async t => {
  for (let seed = 31; seed <= 34; seed += 1) {
    const { word } = await runTrial({ ...createPlan('failing-at-once', 'none', seed), isServiceFailing: true }, startSystemMoves)
    t.is(word, 'taken-back', `seed ${seed}`)
  }
})

test('finishes the move of a good version in time despite lost responses or a frozen holder', async t => {
  for (const fault of ['answers-lost', 'holder-frozen'] as const) {
    const { word, agreed } = await runTrial(createPlan('good', fault, 21), startSystemMoves)
    t.deepEqual({ word, agreed }, { word: 'done', agreed: true }, fault)
  }
})

// Guards against steps that each last a second or more, which take the time in which the last one shows whether the version is good.
test('finishes the move of a good version within 30 seconds, and takes a failing one back', async t => {
  for (let seed = 1; seed <= 4; seed += 1) {
    const plan = { seed, fault: 'none', requestsPerSecond: 60, windowMs: 30_000 } as const
    t.is((await runTrial({ ...plan, badness: 'good' }, startSystemMoves)).word, 'done', `seed ${seed}`)
    t.is((await runTrial({ ...plan, badness: 'failing-at-once' }, startSystemMoves)).word, 'taken-back', `seed ${seed}`)
  }
})

/** Creates a simulated cluster with a declared move. */
async function startMove (seed: number, moveMs = windowMs): Promise<MoveCluster> {
  const cluster = createMoveCluster(seed, startSystemMoves)
  await cluster.clock.advance(5 * secondMs)
  cluster.teams.set(team, createDeclaration({ toVersion: newVersion, deadlineAtMs: cluster.clock.wallMs() + moveMs }))
  return cluster
}

function recordOf (cluster: MoveCluster): MoveRecord | undefined {
  return cluster.nodes.find(({ isUp }) => isUp)?.moves.list()[0]
}

function versionsServedByNodes (cluster: MoveCluster): string[] {
  return cluster.nodes.filter(({ isUp }) => isUp).map(({ moves }) => (moves.sharesOf(team)?.shares ?? []).map(({ version }) => version).join('+'))
}

async function advanceUntil (cluster: MoveCluster, condition: () => boolean, maxMs = 400 * secondMs): Promise<boolean> {
  for (let elapsedMs = 0; elapsedMs < maxMs && !condition(); elapsedMs += secondMs) await cluster.clock.advance(secondMs)
  return condition()
}

test('serves one version on all nodes from the deadline on, at whichever step the holder is lost', async t => {
  for (const step of [-1, 0, 1, 2, 3]) {
    const cluster = await startMove(31 + step)
    const deadlineAtMs = cluster.clock.wallMs() + windowMs
    const isAtStep = (): boolean => step === -1
      ? recordOf(cluster) !== undefined
      : recordOf(cluster)?.trafficAtMs !== undefined && recordOf(cluster)?.step === step
    t.true(await advanceUntil(cluster, isAtStep), `step ${step} is reached`)
    cluster.freeze(cluster.dutyHolder())
    await cluster.clock.advance(deadlineAtMs - cluster.clock.wallMs())
    t.is(new Set(versionsServedByNodes(cluster)).size, 1, `step ${step}`)
    t.true(await advanceUntil(cluster, () => recordOf(cluster)?.end !== undefined, 60 * secondMs))
    const end = recordOf(cluster)?.end
    t.deepEqual([...new Set(versionsServedByNodes(cluster))], [end?.word === 'done' ? newVersion : oldVersion], `step ${step}`)
    await cluster.close()
  }
})

test('returns to the old version on every node if the deadline passes in an outage, and records the end later', async t => {
  const cluster = await startMove(41)
  const deadlineAtMs = cluster.clock.wallMs() + windowMs
  await advanceUntil(cluster, () => recordOf(cluster)?.trafficAtMs !== undefined)
  cluster.keyValue.setFaults({ down: true })
  await cluster.clock.advance(deadlineAtMs - cluster.clock.wallMs() - secondMs)
  t.is(recordOf(cluster)?.end, undefined)
  await cluster.clock.advance(secondMs)
  t.deepEqual(versionsServedByNodes(cluster), [oldVersion, oldVersion, oldVersion])
  cluster.keyValue.setFaults({})
  t.true(await advanceUntil(cluster, () => recordOf(cluster)?.end !== undefined, 60 * secondMs))
  t.like(recordOf(cluster)?.end, { word: 'taken-back', reason: 'deadline-past' })
  t.deepEqual(versionsServedByNodes(cluster), [oldVersion, oldVersion, oldVersion])
  await cluster.close()
})

test('takes back and unloads a move that is withdrawn or changed, then begins the changed move', async t => {
  const cluster = await startMove(51)
  await advanceUntil(cluster, () => recordOf(cluster)?.trafficAtMs !== undefined)
  cluster.teams.set(team, createDeclaration({ toVersion: toId('v3'), deadlineAtMs: cluster.clock.wallMs() + windowMs }))
  t.deepEqual(versionsServedByNodes(cluster), [oldVersion, oldVersion, oldVersion])
  t.true(await advanceUntil(cluster, () => recordOf(cluster)?.end !== undefined, 10 * secondMs))
  t.like(recordOf(cluster)?.end, { word: 'taken-back', reason: 'changed' })
  t.true(await advanceUntil(cluster, () => recordOf(cluster)?.toVersion === 'v3', 60 * secondMs))
  for (const { versions } of cluster.servers.values()) t.false(versions.includes(newVersion))
  cluster.teams.set(team, createDeclaration(undefined))
  t.true(await advanceUntil(cluster, () => recordOf(cluster)?.end !== undefined, 10 * secondMs))
  t.like(recordOf(cluster)?.end, { word: 'taken-back', reason: 'withdrawn' })
  t.true(await advanceUntil(cluster, () => recordOf(cluster)?.unloadedAtMs !== undefined, 60 * secondMs))
  for (const { versions } of cluster.servers.values()) t.deepEqual(versions, [oldVersion])
  await cluster.close()
})

test('keeps the new version in effect after a move, unloads the old one, and starts the next move from the new one', async t => {
  const cluster = await startMove(61)
  t.true(await advanceUntil(cluster, () => recordOf(cluster)?.unloadedAtMs !== undefined))
  t.is(recordOf(cluster)?.end?.word, 'done')
  t.deepEqual(versionsServedByNodes(cluster), [newVersion, newVersion, newVersion])
  for (const { versions } of cluster.servers.values()) t.deepEqual(versions, [newVersion])
  cluster.teams.set(team, createDeclaration({ toVersion: toId('v3'), deadlineAtMs: cluster.clock.wallMs() + windowMs }))
  t.true(await advanceUntil(cluster, () => recordOf(cluster)?.toVersion === 'v3'))
  t.is(recordOf(cluster)?.fromVersion, newVersion)
  t.is(recordOf(cluster)?.servesFrom.length, cluster.servers.size)
  await cluster.close()
})

test('never loads on two backend servers of a team at the same time', async t => {
  const cluster = await startMove(71)
  let most = 0
  await advanceUntil(cluster, () => {
    most = Math.max(most, [...cluster.servers.values()].filter(({ loading }) => loading.length > 0).length)
    return recordOf(cluster)?.trafficAtMs !== undefined
  })
  t.is(most, 1)
  await cluster.close()
})
