/**
 * Speeds that nodes learn from one another through a collector's totals. Each node alone
 * has too few samples of one server; sums that are counted twice, lost with a report or
 * kept beyond a restart would steer work to the wrong servers.
 */
import test from 'ava'
import { createBackendSpeeds, decodeSpeeds, encodeSpeeds } from '../../src/core/backend-speeds/index.ts'
import { createManualClock } from '../../src/core/clock/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createActivityTotals } from '../../src/core/node-reports/index.ts'
import { encodeDigest } from '../../src/core/node-reports/codec.ts'
import { createRandom } from '../../src/core/random/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import type { EngineProfile } from '../../src/core/routing/index.ts'
import type { BackendId, NodeId } from '../../src/core/ids/index.ts'

const stated: EngineProfile = { prefillMsPerToken: 1 / 34, slots: 12, slotMs: 600, fetch: { setUpMs: 2.5, msPerToken: 0.01 } }
const slowdowns = [1 / 0.6, 1, 1 / 1.6]
const slowdownOf = (index: number): number => slowdowns[index % slowdowns.length]!
const idOf = (index: number): BackendId => toId<BackendId>(`i-${index}`)
const collector = toId<NodeId>('collector')

/** 73 nodes, 98 servers and a collector. A report is lost with the given probability. */
function setUp ({ lossRatio = 0, nodes = 73, servers = 98 } = {}) {
  const clock = createManualClock()
  const random = createRandom(3)
  const starts = new Map(Array.from({ length: servers }, (_, index) => [idOf(index), 1_000 + index]))
  const totals = createActivityTotals({ clock, maxPrefixes: () => 64 })
  const logged: string[] = []
  const speeds = Array.from({ length: nodes }, (_, index) => createBackendSpeeds({
    clock, log: event => logged.push(event), metrics: createMetrics(), isLogging: () => index === 0, backendOf: id => ({ service: 'engine', startedAtMs: starts.get(id) })
  }))
  const activity = { quotaUsage: new Map(), loads: new Map(), prefixes: [], suspects: new Map() }

  async function play (seconds: number, slowdown = (index: number): number => slowdownOf(index)): Promise<void> {
    for (let round = 0; round < seconds * 5; round += 1) {
      for (const [number, node] of speeds.entries()) {
        for (let sent = 0; sent < 2; sent += 1) {
          const index = Math.floor(random() * servers)
          const tokens = Math.round(6_000 * random() ** 2)
          const factor = slowdown(index) * (0.8 + 0.4 * random())
          node.record({ backend: idOf(index), stated, tokens, measuredMs: factor * (10 + tokens / 50.7), linkMs: undefined })
          node.recordPace({ backend: idOf(index), stated, gaps: 20, sumMs: factor * 20 * 18 })
        }
        const id = toId<NodeId>(`n-${number}`)
        const report = node.report()
        if (random() >= lossRatio) totals.record(id, 'boot', { ...activity, speeds: decodeSpeeds(encodeSpeeds(report)) })
        const { speeds: totalsOfOthers } = totals.totalsExcept(id)
        if (totalsOfOthers !== undefined && random() >= lossRatio) node.merge(collector, totalsOfOthers)
      }
      await clock.advance(200)
    }
  }
  const ratio = (index: number, node = 0): number => (speeds[node]?.profileOf(idOf(index), stated)?.prefillMsPerToken ?? NaN) * 50.7
  return { clock, starts, totals, speeds, logged, play, ratio }
}

test('nodes learn speeds within seconds, also if a fifth of the messages is lost, and log the slow servers once', async t => {
  for (const lossRatio of [0, 0.2]) {
    const { play, ratio, logged } = setUp({ lossRatio })
    await play(6)
    for (let index = 0; index < 98; index += 1) {
      t.true(Math.abs(ratio(index, index % 73) / slowdownOf(index) - 1) < 0.25, `server ${index} ${ratio(index)} at a loss of ${lossRatio}`)
    }
    // Ten lines at most in each interval of 5 s.
    await play(20, index => index % 3 === 0 ? 2.5 : 1)
    const slow = logged.filter(event => event === 'backendSpeedChanged').length
    t.true(slow >= 30 && slow <= 35, String(slow))
  }
})

test('a short slow period changes an estimate little, and a restarted server is unknown again', async t => {
  const { play, ratio, starts, speeds } = setUp()
  await play(20)
  const before = ratio(1)
  await play(0.6, index => slowdownOf(index) * (index === 1 ? 2.5 : 1))
  t.true(ratio(1) < 1.15 * before, `${before} ${ratio(1)}`)
  const mean = ratio(3) / slowdownOf(3)
  starts.set(idOf(0), 5_000)
  t.true(ratio(0) < 1.2 * mean)
  t.false(speeds.some(node => node.report().servers.some(({ backend }) => backend === idOf(0))))
})

test('a cut-off node uses its own samples only, and engines with many slots are not measured', async t => {
  const { play, speeds } = setUp({ nodes: 2 })
  await play(4)
  t.is(speeds[0]?.profileOf(idOf(1), { ...stated, slots: 64 }), undefined)
  t.not(speeds[0]?.profileOf(idOf(1), stated), undefined)
  speeds[0]?.removeSource(collector)
  const [own] = speeds[0]!.report().services
  t.true((own?.sums[0] ?? 0) <= 40)
  const fresh = setUp({ nodes: 1 }).speeds[0]
  fresh?.merge(collector, { servers: [{ backend: idOf(0), startedAtMs: 1_000, sums: [50, 1, 1e9, 0, 0] }], services: [{ service: 'engine', sums: [100, 200, 5_000, 600, 15_000, 0, 0, 0, 0, 0, 0] }] })
  const { prefillMsPerToken } = fresh!.profileOf(idOf(0), stated)!
  t.true(prefillMsPerToken <= 8 * 4 * stated.prefillMsPerToken)
})

test('a node that starts gets the speeds of all servers with its first digest, in a small datagram', async t => {
  const { play, totals, clock } = setUp()
  await play(6)
  await clock.advance(200)
  const node = toId<NodeId>('new')
  totals.record(node, 'boot', { quotaUsage: new Map(), loads: new Map(), prefixes: [], suspects: new Map() })
  const first = totals.totalsExcept(node)
  const bytes = encodeDigest({ node: collector, bootId: 'b', isDraining: false, nodes: 73, activity: first, decidesQuotas: true, delta: { revision: 1, reachableForMs: 1, contentAgeMs: 0, changes: undefined } }).length
  t.is(first.speeds?.servers.length, 98)
  t.true(bytes < 6_000, String(bytes))
  t.true(totals.totalsExcept(node).speeds!.servers.length <= 25)
  t.is(decodeSpeeds(undefined), undefined)
  t.throws(() => decodeSpeeds([[['i-1', 5, -1, 2, 3, 4, 5]], []]))
})
