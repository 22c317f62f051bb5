/** The report exchange over UDP on loopback, with and without collectors. */
import test from 'ava'
import { createSystemClock } from '../../src/core/clock/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createNodeReports } from '../../src/core/node-reports/index.ts'
import { createQuarantine } from '../../src/core/quarantine/index.ts'
import type { ExecutionContext } from 'ava'
import type { AttemptId, BackendId, NodeId, PromptPartId, TeamId } from '../../src/core/ids/index.ts'
import type { Metrics } from '../../src/core/metrics/index.ts'
import type { NodeReports } from '../../src/core/node-reports/index.ts'
import type { Quarantine } from '../../src/core/quarantine/index.ts'
import type { ViewDelta } from '../../src/core/store-view/index.ts'

const clock = createSystemClock()
const team = toId<TeamId>('agency')
const engine = toId<BackendId>('i-1')
/** As many backend servers as a large fleet has, so that the totals are the largest part of a digest. */
const backends = Array.from({ length: 60 }, (_, index) => toId<BackendId>(`i-${index + 1}`))
const firstPort = 19_300
const revision = 12
const change = { key: 'servers/i-1', value: 'entry', modRevision: revision }

interface Node {
  id: NodeId
  reports: NodeReports
  /** Open requests of other nodes at the only backend server, by source. */
  openBySource: Map<NodeId, number>
  deltas: ViewDelta[]
  metrics: Metrics
  /** Numbers of the quota requests that were decided, and whose decisions arrived. */
  quotas: { decided: number[], received: number[] }
  /** Sources whose first report was marked as such, and quota levels that arrived, by source. */
  firstSources: NodeId[]
  levelsBySource: Map<NodeId, number>
  quarantine: Quarantine
  /** What the node reports; `contentAgeMs` is the age of its copy of the key-value service's content. */
  state: { isDraining: boolean, contentAgeMs: number }
  events: Array<{ event: string, fields: Record<string, unknown> }>
  /** Replaces the node by one that starts anew at the same address. */
  restart: () => Promise<void>
}

async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await clock.sleep(20)
}

/** `earlierRelease` is a node whose release doesn't decide about quotas. */
async function startCluster (t: ExecutionContext, count: number, earlierRelease?: number): Promise<Node[]> {
  const addresses = Array.from({ length: count }, (_, index) => ({
    node: toId<NodeId>(`node-${String(index).padStart(2, '0')}`), linkMbps: 100, host: '127.0.0.1', reportPort: firstPort + index, viewPort: 1
  }))
  function createNode (index: number, boot: number): Node {
    const { node: id, reportPort } = addresses[index]!
    const firstSources: NodeId[] = []
    const levelsBySource = new Map<NodeId, number>()
    const openBySource = new Map<NodeId, number>()
    const deltas: ViewDelta[] = []
    const metrics = createMetrics()
    const state = { isDraining: false, contentAgeMs: 0 }
    const events: Node['events'] = []
    const quotas: Node['quotas'] = { decided: [], received: [] }
    let tokens = 0
    const quarantine: Quarantine = createQuarantine({
      clock, log: () => {}, metrics, random: () => 0.5, nodeCount: () => count, reportDelayMs: () => reports.evidenceDelayMs(), isDeciding: () => reports.getsAllReports(), claimTrial: async () => false
    })
    const reports = createNodeReports({
      host: '127.0.0.1',
      port: reportPort,
      node: id,
      linkMbps: 100,
      bootId: `boot-${index}-${boot}`,
      clock,
      log: (event, fields = {}) => { events.push({ event, fields }) },
      metrics,
      draw: text => Number(text.slice(-2)) / 100,
      takeoverAgeMs: 1_100,
      maxPeerContentAgeMs: 1_500,
      peers: () => addresses.filter(({ node }) => node !== id),
      dutyHolder: () => undefined,
      collectReport: () => {
        tokens += 10
        return {
          isDraining: state.isDraining,
          revision: 10,
          quotaUsage: new Map([[team, { quota: tokens, tolerance: 0, asked: tokens }]]),
          quotaLevels: boot === 0 ? new Map([[team, { quota: 70 + index, tolerance: 5 }]]) : undefined,
          loads: new Map(backends.map(backend => [backend, { requests: 1, pendingTokens: 50 }])),
          prefixes: [],
          suspects: new Map(),
          usage: new Map(),
          workMs: new Map(),
          evidence: undefined,
          prompts: quarantine.report()
        }
      },
      promptsFor: quarantine.digestFor,
      limitsFor: () => ({ limits: [], demands: new Map(), shares: undefined }),
      ...(index === earlierRelease
        ? {}
        : {
            decideQuota: ({ bootId, number }) => {
              quotas.decided.push(number)
              return { bootId: `boot-${index}-${boot}`, requesterBootId: bootId, number, granted: { quota: 5, tolerance: 0 }, waitMs: 0 }
            }
          }),
      onQuotaDecision: ({ number }) => { quotas.received.push(number) },
      onReport: () => {},
      onActivity: (source, _life, { loads, quotaLevels, prompts }, isFirst) => {
        if (prompts !== undefined) quarantine.merge(source, prompts)
        openBySource.set(source, loads.get(engine)?.requests ?? 0)
        if (isFirst) firstSources.push(source)
        const level = quotaLevels?.get(team)?.quota
        if (level !== undefined) levelsBySource.set(source, level)
      },
      onSilent: source => { openBySource.delete(source) },
      deltaAfter: () => ({ revision, reachableForMs: 5_000, contentAgeMs: state.contentAgeMs, changes: [change] }),
      onDelta: delta => { deltas.push(delta) }
    })
    async function restart (): Promise<void> {
      reports.close()
      const restarted = createNode(index, boot + 1)
      nodes[index] = restarted
      await restarted.reports.start()
    }
    return { id, reports, quarantine, state, events, quotas, openBySource, deltas, metrics, firstSources, levelsBySource, restart }
  }
  const nodes: Node[] = addresses.map((_, index) => createNode(index, 0))
  await Promise.all(nodes.map(({ reports }) => reports.start()))
  t.teardown(() => nodes.forEach(({ reports }) => reports.close()))
  return nodes
}

const openRequests = ({ openBySource }: Node): number => [...openBySource.values()].reduce((sum, requests) => sum + requests, 0)

test.serial('each node gets the activity of all others and the changes at the key-value service from one collector', async t => {
  const nodes = await startCluster(t, 24)
  await until(() => nodes.every(node => openRequests(node) === 23))
  t.deepEqual(nodes.map(({ reports }) => reports.isCollector()), nodes.map((_, index) => index < 2))
  t.true(nodes.every(({ reports }) => reports.knownNodeCount() === 23))
  t.true(nodes.slice(2).every(({ openBySource }) => openBySource.size === 1))
  t.deepEqual(nodes[9]?.deltas[0], { revision, reachableForMs: 5_000, contentAgeMs: 0, changes: [change] })
  t.true(nodes.slice(2).every(({ reports }) => reports.hasPeerUpdates()))
  t.false(nodes[0]?.reports.hasPeerUpdates())
})

test.serial('only the collector whose totals a node uses sends them; the standby sends changes alone', async t => {
  const nodes = await startCluster(t, 24)
  const standby = nodes[1]?.metrics
  await until(() => nodes.every(node => openRequests(node) === 23))
  while (await standby?.counterValue('node_reports_sent_total', { kind: 'digest' }) === 0) await clock.sleep(20)
  const [chosenBytes = 0, standbyBytes = 0] = await Promise.all(nodes.slice(0, 2).map(async ({ metrics }) => {
    return await metrics.counterValue('node_reports_sent_bytes_total', { kind: 'digest' }) / await metrics.counterValue('node_reports_sent_total', { kind: 'digest' })
  }))
  t.true(chosenBytes > 60 * 'i-10'.length, `${chosenBytes} bytes`)
  t.true(standbyBytes < 200, `${standbyBytes} bytes`)
})

test.serial('when both collectors are gone, the other nodes agree on new ones', async t => {
  const nodes = await startCluster(t, 24)
  await until(() => nodes.every(node => openRequests(node) === 23))
  for (const { reports } of nodes.splice(0, 2)) reports.close()
  await until(() => nodes.every(node => openRequests(node) === 21))
  t.deepEqual(nodes.map(({ reports }) => reports.isCollector()), nodes.map((_, index) => index < 2))
})

for (const count of [5, 24]) {
  test.serial(`three crashes that three of ${count} nodes saw let all nodes refuse the prompts`, async t => {
    const nodes = await startCluster(t, count)
    await until(() => nodes.every(node => openRequests(node) === count - 1))
    const crashing = toId<PromptPartId>('crashing')
    for (const [index, backend] of backends.slice(0, 3).entries()) {
      const parts = [toId<PromptPartId>(`system-${index}`), crashing]
      const attempt = toId<AttemptId>(`attempt-${index}`)
      nodes[count - 1 - index]?.quarantine.recordCrash({ attempt, service: 'models', backend, backendStartedAtMs: 5, features: parts, hasStarted: true, inProgress: 1, crashedAtMs: clock.wallMs() + index * 100 })
    }
    await until(() => nodes.every(({ quarantine }) => quarantine.find('models', [toId<PromptPartId>('system-9'), crashing]) !== undefined))
    t.true(nodes.every(({ quarantine }) => quarantine.find('models', [toId<PromptPartId>('system-0')]) === undefined))
  })
}

test.serial('a small cluster needs no collector', async t => {
  const nodes = await startCluster(t, 5)
  await until(() => nodes.every(node => openRequests(node) === 4))
  t.true(nodes.every(({ openBySource, reports }) => openBySource.size === 4 && reports.isCollector() && !reports.hasPeerUpdates()))
  t.true(nodes.every(({ deltas }) => deltas.length === 0))
})

test.serial('a restarted node of a small cluster gets the quota levels of the others, and knows that it can\'t count their usage', async t => {
  const nodes = await startCluster(t, 5)
  await until(() => nodes.every(node => openRequests(node) === 4))
  await nodes[2]?.restart()
  await until(() => nodes[2]?.levelsBySource.size === 4)
  t.deepEqual(nodes[2]?.levelsBySource.get(toId<NodeId>('node-04')), 74)
  t.deepEqual(nodes[2]?.firstSources.toSorted(), ['node-00', 'node-01', 'node-03', 'node-04'].map(name => toId<NodeId>(name)))
  t.is(nodes[0]?.firstSources.length, 4, 'the usage of a node that restarted is counted from its start')
})

test.serial('a restarted node of a large cluster gets the quota levels of its collector, and a restarted collector those of the nodes', async t => {
  const nodes = await startCluster(t, 24)
  await until(() => nodes.every(node => openRequests(node) === 23))
  await nodes[9]?.restart()
  await until(() => nodes[9]?.levelsBySource.size === 1)
  await nodes[0]?.restart()
  await until(() => (nodes[0]?.levelsBySource.size ?? 0) > 0)
  t.pass()
})

test.serial('the report that a node sends before it closes arrives, also at nodes that get every second one', async t => {
  const nodes = await startCluster(t, 24)
  const [standby, ...stopping] = [nodes[1]!, nodes[5]!, nodes[6]!]
  await until(() => nodes.every(node => openRequests(node) === 23) && stopping.every(({ id }) => standby.reports.lastReport(id) !== undefined))
  // So that one of the two stops with an odd report.
  stopping[0]?.reports.sendReport()
  for (const { reports, state } of stopping) {
    state.isDraining = true
    reports.sendReport()
    reports.close()
  }
  // What was heard of a node is kept until it counts as silent.
  const isSettled = ({ id }: Node): boolean => standby.reports.lastReport(id)?.isDraining !== false
  await until(() => stopping.every(isSettled))
  t.true(stopping.every(({ id }) => standby.reports.lastReport(id)?.isDraining))
})

test.serial('a collector that drains goes on to know the activity of all others', async t => {
  const nodes = await startCluster(t, 24)
  const first = nodes[0]!
  await until(() => nodes.every(node => openRequests(node) === 23))
  first.state.isDraining = true
  await until(() => nodes.slice(1).every(({ reports }) => !reports.collectors().includes(first.id)))
  await until(() => !first.reports.getsAllReports() && openRequests(first) === 23)
  t.is(first.reports.knownNodeCount(), 23)
})

test.serial('a quota request goes to the collector whose totals the node uses, and its decision comes back', async t => {
  const nodes = await startCluster(t, 24)
  await until(() => nodes.every(node => openRequests(node) === 23))
  t.deepEqual(nodes.map(({ reports }) => reports.quotaDecider()), nodes.map((_, index) => index === 0 ? 'this-node' : 'collector'))
  nodes[9]?.reports.sendQuotaRequest({ node: nodes[9].id, bootId: 'boot-9-0', number: 4, team, tokens: 5 })
  await until(() => nodes[9]?.quotas.received.length === 1)
  t.deepEqual(nodes.flatMap(({ quotas }) => quotas.decided), [4])
  t.deepEqual(nodes[9]?.quotas.received, [4])
})

test.serial('nodes decide by themselves about quotas in a small cluster, and under a collector of an earlier release', async t => {
  const nodes = await startCluster(t, 24, 0)
  await until(() => nodes.every(node => openRequests(node) === 23))
  t.true(nodes.slice(1).every(({ reports }) => reports.quotaDecider() === 'each-node'))
  for (const { reports } of nodes) reports.close()
  const small = await startCluster(t, 5)
  await until(() => small.every(node => openRequests(node) === 4))
  t.true(small.every(({ reports }) => reports.quotaDecider() === 'each-node'))
})

test.serial('nodes log who watches the key-value service for them, and when the content of those is old', async t => {
  const nodes = await startCluster(t, 24)
  const follower = nodes[9]!
  const logged = (event: string): Array<Record<string, unknown>> => follower.events.flatMap(other => other.event === event ? [other.fields] : [])
  await until(() => follower.reports.hasPeerUpdates())
  t.deepEqual(logged('storeWatchersChosen').map(({ watchers }) => watchers), ['node-00,node-01'])
  for (const { state } of nodes.slice(0, 2)) state.contentAgeMs = 60_000
  await until(() => logged('storeWatchersChosen').length === 2)
  t.like(logged('storeWatchersChosen')[1], { watchers: 'node-02,node-03', before: 'node-00,node-01' })
  await until(() => nodes[2]?.reports.isWatcher() === true)
  t.false(follower.reports.isWatcher())
  t.deepEqual(logged('peerContentOld'), [])
  for (const { state } of nodes) state.contentAgeMs = 60_000
  await until(() => !follower.reports.hasPeerUpdates())
  await until(() => logged('peerContentOld').length === 1)
  t.true(Number(logged('peerContentOld')[0]?.['contentAgeMs']) >= 1_500)
})
