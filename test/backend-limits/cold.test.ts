/**
 * Cold backend servers, with the decision of real nodes on a manual clock. Without the limit, all nodes
 * choose a server that has just appeared as the least loaded one, and it crashes before it is warm.
 */
import test from 'ava'
import fc from 'fast-check'
import { divideColdLimit } from '../../src/core/backend-limits/cold-shares.ts'
import { createBackendLimits, encodeLimits } from '../../src/core/backend-limits/index.ts'
import { createManualClock } from '../../src/core/clock/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import { createPromptHasher } from '../../src/core/routing/index.ts'
import type { BackendLimitsOptions, RegisteredBackend } from '../../src/core/backend-limits/index.ts'
import type { BackendId, DomainId, NodeId } from '../../src/core/ids/index.ts'

const rule = { overrunRatio: 1.5, slackCount: 5 }
const perSecond = 11
const allowedInWindow = perSecond * rule.overrunRatio + rule.slackCount
const tickMs = 20
const service = 'models'
const claim = { rank: 0, isRetry: false }
const appeared = { hasAppeared: true, isByRestore: false }
const unchanged = { hasAppeared: false, isByRestore: false }
const server: RegisteredBackend = { id: toId<BackendId>('i-1'), service, domain: toId<DomainId>('a'), startedAtMs: 1_000, warmUpMs: 0 }
const hasher = await createPromptHasher()
const drawn = new Map<string, number>()
/** All nodes draw the same numbers, so that they are computed once. */
const draw = (text: string) => {
  const known = drawn.get(text) ?? hasher.draw(text)
  drawn.set(text, known)
  return known
}
const metrics = createMetrics()
type Nodes = ReadonlyArray<{ node: NodeId }>
const noOthers: Nodes = []

function createNode (clock: BackendLimitsOptions['clock'], { name = 'node-0', others = () => noOthers, startMs = 3_000, random = () => 0, returnedAtMs = () => -Infinity, log = () => {} }: { name?: string, others?: () => Nodes, startMs?: number, random?: () => number, returnedAtMs?: () => number, log?: BackendLimitsOptions['log'] } = {}) {
  return createBackendLimits({
    clock,
    log,
    metrics,
    random,
    node: toId<NodeId>(name),
    draw,
    otherNodes: others,
    reportedDemands: () => new Map(),
    getsAllReports: () => false,
    backendOf: () => server,
    cold: { ...rule, isEnabled: () => true, limitOf: name => name === service ? { startMs, perSecond } : undefined, domainReturnedAtMs: returnedAtMs }
  })
}

/**
 * Plays a server that appears 2.5 s after the start of the nodes, for 5 s. A node learns of it, and of the nodes that are
 * replaced meanwhile, up to 2 s late, or of the latter not at all. `wants` says whether a caller asks a node in a tick.
 */
async function play (nodeCount: number, startMs: number, wants: (atMs: number, random: () => number) => boolean, replacedCount: number, cutOffRatio: number) {
  const clock = createManualClock()
  const random = createRandom(nodeCount)
  const lateMs = () => 300 + 1_700 * random()
  const first = Array.from({ length: nodeCount }, (_, index) => ({ node: toId<NodeId>(`node-${index}`) }))
  const second = first.map((item, index) => index < replacedCount ? { node: toId<NodeId>(`new-${index}`) } : item)
  const appearsAtMs = 2_500
  const replacedAtMs = appearsAtMs + 500
  const create = (name: string, startedAtMs: number, first: Nodes) => {
    const listChangesAtMs = random() < cutOffRatio ? Infinity : replacedAtMs + lateMs()
    const limits = createNode(clock, { name, startMs, random, others: () => clock.monotonicMs() >= listChangesAtMs ? second : first })
    return { limits, startedAtMs, learnsAtMs: Math.max(startedAtMs, appearsAtMs) + lateMs(), reportsAtMs: random() * 200 }
  }
  // The replaced nodes go on, as they may be cut off instead of stopped.
  const nodes = [...first.map(({ node }) => create(node, 0, first)), ...second.slice(0, replacedCount).map(({ node }) => create(node, replacedAtMs, second))]
  const sentAtMs: number[] = []
  for (let nowMs = 0; nowMs < appearsAtMs + 5_000; nowMs += tickMs) {
    for (const { limits, startedAtMs, learnsAtMs, reportsAtMs } of nodes) {
      if (nowMs < startedAtMs) continue
      if (nowMs % 200 === Math.floor(reportsAtMs / tickMs) * tickMs) limits.report()
      if (nowMs >= learnsAtMs && nowMs < learnsAtMs + tickMs) limits.recordRegistration(server, appeared)
      if (nowMs < learnsAtMs || !limits.isLimited(server) || !wants(nowMs, random)) continue
      while (limits.take(server, claim) !== undefined) sentAtMs.push(nowMs)
    }
    await clock.advance(tickMs)
  }
  const largest = sentAtMs.reduce((most, fromMs, index) => {
    let count = index
    while ((sentAtMs[count] ?? Infinity) < fromMs + 1_000) count += 1
    return Math.max(most, count - index)
  }, 0)
  return { largest, sentAtMs, appearsAtMs }
}

for (const nodeCount of [1, 2, 9, 85, 1_700]) {
  test(`${nodeCount} nodes together keep to the rule for a server that has just appeared, also if they learn late, are replaced or cut off`, async t => {
    for (const isPulsed of nodeCount > 100 ? [false] : [true, false]) {
      const { largest } = await play(nodeCount, 3_000, atMs => !isPulsed || atMs % 2_000 < 1_000, Math.floor(nodeCount / 3), 0.2)
      t.true(largest > perSecond / 2 && largest <= 0.95 * allowedInWindow, `${largest} in a second at most`)
    }
  })

  test(`${nodeCount} nodes that are asked evenly use most of what a cold server takes`, async t => {
    const nodePerSecond = nodeCount > 8 ? 9 : 40
    const { sentAtMs, appearsAtMs } = await play(nodeCount, 10_000, (_, random) => random() < nodePerSecond * tickMs / 1_000, 0, 0)
    const used = sentAtMs.filter(atMs => atMs >= appearsAtMs + 2_000).length / 3
    t.true(used >= 0.7 * perSecond, `${used} a second`)
  })
}

test('bursts and rate of all senders stay below what the rule allows, at every limit and tolerance', t => {
  fc.assert(fc.property(fc.double({ min: 0.01, max: 10_000, noNaN: true }), fc.double({ min: 0, max: 4, noNaN: true }), fc.double({ min: 0, max: 50, noNaN: true }), (limit, overrunRatio, slackCount) => {
    const { perSecond, burst, maxSenders } = divideColdLimit({ perSecond: limit }, { overrunRatio, slackCount })
    const allowed = limit * overrunRatio + slackCount
    return perSecond <= limit && maxSenders <= burst && burst + perSecond <= 0.95 * allowed + 1e-9
  }), { seed: 57 })
  t.pass()
})

test('a server is cold from its appearance, its domain\'s return and as long as its registration says so, and not in a service without the limit', async t => {
  const clock = createManualClock()
  let returnedAtMs = -Infinity
  const events: string[] = []
  const limits = createNode(clock, { returnedAtMs: () => returnedAtMs, log: (event, fields = {}) => { events.push(`${event} ${fields['cause'] ?? ''}`) } })
  limits.recordRegistration(server, unchanged)
  t.false(limits.isLimited(server), 'it was there when the node started')
  limits.recordRegistration(server, appeared)
  await clock.advance(2_900)
  t.true(limits.isLimited(server))
  await clock.advance(100)
  t.false(limits.isLimited(server))
  returnedAtMs = clock.monotonicMs()
  t.true(limits.isLimited(server))
  await clock.advance(3_000)
  limits.report()
  limits.recordRegistration({ ...server, warmUpMs: 1_000 }, unchanged)
  limits.recordRegistration(server, { hasAppeared: false, isByRestore: true })
  await clock.advance(900)
  t.true(limits.isLimited(server), 'an older registration does not make it warm')
  await clock.advance(100)
  limits.report()
  t.deepEqual(events, ['backendCold appeared', 'backendColdEnded ', 'backendCold domain-returned', 'backendColdEnded ', 'backendCold registered', 'backendColdEnded '])
  const other = { ...server, id: toId<BackendId>('i-2'), service: 'registry', warmUpMs: 60_000 }
  limits.recordRegistration(other, appeared)
  t.false(limits.isLimited(other))
})

test('a node that has just started sends nothing to cold servers until it knows the other nodes', async t => {
  const clock = createManualClock()
  const limits = createNode(clock)
  limits.report()
  limits.recordRegistration({ ...server, warmUpMs: 10_000 }, unchanged)
  await clock.advance(1_900)
  t.is(limits.take(server, claim), undefined)
  await clock.advance(100)
  t.is(limits.take(server, claim), undefined)
  await clock.advance(500)
  t.not(limits.take(server, claim), undefined)
})

test('of the limit that a cold server names and the one for cold servers, the lower one is binding, and permits are given back to both', async t => {
  const clock = createManualClock()
  const limits = createNode(clock)
  limits.report()
  await clock.advance(2_000)
  limits.recordRegistration({ ...server, warmUpMs: 10_000 }, unchanged)
  limits.recordDemand(service)
  limits.recordResponse(server, { kind: 'named', perSecond: 0.5 }, clock.monotonicMs())
  t.false(limits.hasPermit(server, claim))
  await clock.advance(2_000)
  const permit = limits.take(server, claim)
  t.is(limits.take(server, claim), undefined)
  permit?.giveBack()
  t.not(limits.take(server, claim), undefined)
})

test('cold servers take no room in reports and digests, also if all servers of a domain are cold at once', async t => {
  const clock = createManualClock()
  const limits = createNode(clock)
  for (let index = 0; index < 30; index += 1) {
    const cold = { ...server, id: toId<BackendId>(`i-${index}`) }
    limits.recordRegistration(cold, appeared)
    t.true(limits.isLimited(cold))
  }
  await clock.advance(200)
  t.deepEqual(encodeLimits(limits.report()), [[], [], null])
  t.deepEqual(encodeLimits(limits.digestFor(toId<NodeId>('node-2'), true)), [[], [], []])
})
