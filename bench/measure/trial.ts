/** One trial: a workload through nodes of one version and its engines, on the virtual clock. */
import type { Backend } from '../../src/core/backends/types.ts'
import type { BackendId, DomainId, InstanceId, NodeId, TeamId, VersionId } from '../../src/core/ids/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import { domainPriceFactors, instanceListLagMs, reclaimablePriceMilliEuroPerHour } from '../../src/stand-ins/timings.ts'
import { createMeasuredEngine } from './engine.ts'
import type { MeasuredEngine } from './engine.ts'
import { createMeasuredNode } from './node.ts'
import type { RequestRecord } from './node.ts'
import { createPolicy } from './policies.ts'
import { summarise } from './summary.ts'
import type { TrialSummary } from './summary.ts'
import { createVirtualClock } from './virtual-clock.ts'
import type { VirtualClock } from './virtual-clock.ts'
import type { TrialOptions } from './types.ts'
import type { Workload } from './workloads.ts'

/** Time after the last arrival in which open requests may end. */
const tailMs = 60_000
/** Share of the trial after which a domain is lost, in trials with a loss. */
const lossAtShare = 0.5
const machineClass = 'one-accelerator'

function createEngines (options: TrialOptions, clock: VirtualClock): MeasuredEngine[] {
  const seenBlocks = new Set<string>()
  return options.workload.runnerDomains.map((domain, index) => {
    const backend: Backend = {
      id: toId<BackendId>(`runner-${index}`),
      instance: toId<InstanceId>(`i-${index}`),
      team: toId<TeamId>('drafting'),
      kind: 'model-engine',
      version: toId<VersionId>('v1'),
      domain: toId<DomainId>(`domain-${domain}`),
      machineClass,
      reclaimable: true,
      url: '',
      state: 'live'
    }
    return createMeasuredEngine({ clock, backend, seed: options.seed * 1000 + index, seenBlocks })
  })
}

/** Price of all engines for an hour, in thousandths of a euro. */
function fleetPrice (workload: Workload): number {
  const base = reclaimablePriceMilliEuroPerHour[machineClass] ?? 0
  return workload.runnerDomains.reduce((sum, domain) => sum + base * (domainPriceFactors[domain] ?? 1), 0)
}

async function loseDomain (engines: readonly MeasuredEngine[], lost: Set<BackendId>, clock: VirtualClock, atMs: number): Promise<void> {
  await clock.sleep(atMs)
  const gone = engines.filter(({ backend }) => backend.domain === engines.at(-1)?.backend.domain)
  for (const engine of gone) engine.lose()
  await clock.sleep(instanceListLagMs)
  for (const { backend } of gone) lost.add(backend.id)
}

/** Runs a trial and sums it up. */
export async function runTrial (options: TrialOptions): Promise<TrialSummary> {
  const { workload, policy, load, seconds, seed, hasher } = options
  const clock = createVirtualClock()
  const stopped = new AbortController()
  const engines = createEngines(options, clock)
  const byId = new Map(engines.map(engine => [engine.backend.id, engine]))
  const lost = new Set<BackendId>()
  const listed = (): Backend[] => engines.map(({ backend }) => backend).filter(({ id }) => !lost.has(id))
  const nodes = Array.from({ length: workload.nodes }, (_, index) => {
    const metrics = createMetrics()
    const random = createRandom(seed * 100 + index + 1)
    const node = toId<NodeId>(`node-${index}`)
    const created = createPolicy(policy, { clock, metrics, random, hasher, node, live: () => listed().map(({ id }) => id) })
    return createMeasuredNode({ index, clock, metrics, policy: created, engines: byId, listed, stopped: stopped.signal })
  })
  for (const node of nodes) node.poll()
  if (options.losesDomain) loseDomain(engines, lost, clock, seconds * 1000 * lossAtShare)
  const records: RequestRecord[] = []
  let offered = 0
  for (const arrival of workload.arrivals(createRandom(seed), load, seconds)) {
    offered += 1
    clock.sleep(arrival.atMs).then(async () => {
      const record = await nodes[arrival.nodeIndex]?.handle(arrival)
      if (record !== undefined) records.push(record)
    })
  }
  await clock.runUntil(seconds * 1000 + tailMs)
  stopped.abort()
  const computed = engines.map(engine => engine.computed())
  return summarise({
    options,
    records,
    offered,
    computedTokens: computed.reduce((sum, { tokens }) => sum + tokens, 0),
    recomputedTokens: computed.reduce((sum, { again }) => sum + again, 0),
    fleetMilliEuro: fleetPrice(workload) * seconds / 3600
  })
}
