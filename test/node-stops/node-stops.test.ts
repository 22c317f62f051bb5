/** When callers that a stopping node refuses are told to return. */
import test from 'ava'
import { createManualClock } from '../../src/core/clock/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import { createSilentLog } from '../../src/core/log/index.ts'
import { createNodeStops } from '../../src/core/node-stops/index.ts'
import type { DomainId, NodeId } from '../../src/core/ids/index.ts'

const downtimeMs = 8_500
const deregistrationMs = 2_700
const domainA = toId<DomainId>('a')

/** Creates a node of domain `a` that has begun to stop, among peers of the given domains whose names they begin with. */
function createStops (names: readonly string[], { getsAllReports = true, hasDomains = true } = {}) {
  const clock = createManualClock()
  const peers = names.map(name => ({ node: toId<NodeId>(name), domain: hasDomains ? toId<DomainId>(name[0]!) : undefined }))
  let reporting = peers.map(({ node }) => node)
  const stops = createNodeStops({ clock, log: createSilentLog(), domain: domainA, peers: () => peers, reportingNodes: () => reporting, getsAllReports: () => getsAllReports, downtimeMs, deregistrationMs })
  stops.onOwnStop(clock.monotonicMs())
  const report = (name: string, isDraining: boolean, bootId = 'first'): void => stops.onReport({ node: toId<NodeId>(name), bootId, isDraining })
  const silence = (name: string): void => { reporting = reporting.filter(node => node !== name) }
  return { clock, stops, report, silence }
}

test('callers return at once while another node of the failure domain serves', t => {
  const { stops, report } = createStops(['a-2', 'a-3', 'b-1'])
  report('a-2', true)
  t.is(stops.retryAfterMs(), 100)
})

test('callers return at once if nothing is known of the others', t => {
  t.is(createStops([]).stops.retryAfterMs(), 100)
  t.is(createStops(['b-1'], { getsAllReports: false }).stops.retryAfterMs(), 100)
  t.is(createStops(['b-1'], { hasDomains: false }).stops.retryAfterMs(), 100)
})

// Guards against refused callers that the load balancer leads from one stopping node of a domain to the next.
test('callers return once all nodes of the failure domain are out of rotation if nodes of another one serve', async t => {
  const { clock, stops, report } = createStops(['a-2', 'b-1'])
  await clock.advance(1_000)
  report('a-2', true)
  await clock.advance(500)
  report('a-2', true)
  t.is(stops.retryAfterMs(), deregistrationMs - 500)
  await clock.advance(deregistrationMs)
  t.is(stops.retryAfterMs(), 100)
})

test('callers return when the first node is back if all nodes are stopping or silent', async t => {
  const { clock, stops, report, silence } = createStops(['a-2', 'b-1', 'b-2'])
  await clock.advance(1_000)
  report('a-2', true)
  report('b-1', true)
  silence('b-2')
  t.is(stops.retryAfterMs(), downtimeMs - 1_000)
  await clock.advance(downtimeMs - 1_200)
  t.is(stops.retryAfterMs(), 200)
})

test('a node that reports again after its stop serves', async t => {
  const { clock, stops, report } = createStops(['a-2', 'b-1'])
  report('a-2', true)
  report('b-1', true)
  await clock.advance(3_000)
  t.is(stops.retryAfterMs(), downtimeMs - 3_000)
  report('a-2', false, 'second')
  t.is(stops.retryAfterMs(), 100)
  report('a-2', true, 'second')
  t.is(stops.retryAfterMs(), downtimeMs - 3_000)
})
