/** Orders of backend servers by a node that starts while the key-value service is away. */
import test from 'ava'
import { createPlatformDuties } from '../../platform/duties.ts'
import { createManualClock } from '../../src/core/clock/index.ts'
import { createSilentLog } from '../../src/core/log/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createMemoryKeyValue } from '../../src/core/platform/key-value/index.ts'
import { createRegistrationTimes } from '../../src/core/registrations/index.ts'
import { startPlatform } from './platform-stand-in.ts'
import type { PlatformDutiesOptions } from '../../platform/duties.ts'

const service = 'ledger'

test('orders nothing by the servers that a service returned with, before those that expired are back', async t => {
  const platform = await startPlatform()
  const clock = createManualClock()
  const state = { reachableSinceMs: undefined as number | undefined, domains: [] as string[] }
  const [host, port] = platform.address.split(':')
  const scaling = { bootMs: 2_000, domainPrices: new Map([['zone-a', 1], ['zone-b', 1]]), minPerDomain: 1, maxPerDomain: 20, reclaimablePriceRatio: undefined }
  const options: Partial<Record<keyof PlatformDutiesOptions, unknown>> = {
    settings: {
      node: 'node-a',
      isFirstStart: false,
      bounds: { leaseMs: 3_000, checksFencing: true, usageReportDueMs: 10_000, canaryShare: 0.1, canarySlackRequests: 50 },
      store: { minLeaseMs: 1_000 },
      duties: { reportsUsage: false, ordersBackends: true }
    },
    platformApi: { host, port: Number(port) },
    clock,
    log: createSilentLog(),
    metrics: createMetrics(),
    store: createMemoryKeyValue({ clock }).connect('node-a'),
    view: { get: () => undefined, list: () => [], onChanges: () => {}, lastUpdateAtMs: () => clock.monotonicMs(), reachableSinceMs: () => state.reachableSinceMs },
    backends: { entries: () => state.domains.map(domain => ({ domain, version: 'v1', isReclaimable: false, isLeaving: false })) },
    registrationTimes: createRegistrationTimes(1_200),
    evacuations: { isWithoutCapacity: () => false },
    quotas: { lowLevels: () => undefined },
    quarantine: { records: () => [] },
    routeTable: () => ({ configuration: { routes: [], services: [{ name: service, scaling }] } }),
    workByBoot: () => [],
    removeDepartedNodes: async () => {},
    isEligible: () => state.reachableSinceMs !== undefined,
    isCollector: () => true,
    nodeCount: () => 1
  }
  const duties = createPlatformDuties(options as PlatformDutiesOptions)
  t.teardown(async () => {
    const closed = duties.close()
    await clock.advance(5_000)
    await closed
    await platform.close()
  })
  /** Lets time pass, with the turns of the event loop that calls over loopback need. */
  async function pass (durationMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 250) {
      await clock.advance(250)
      await new Promise(resolve => { setTimeout(resolve, 10) })
    }
  }
  duties.start()
  await pass(8_000)
  state.reachableSinceMs = clock.monotonicMs()
  state.domains = ['zone-b', 'zone-b']
  await pass(3_000)
  state.domains = ['zone-a', 'zone-a', 'zone-a', 'zone-b', 'zone-b']
  await pass(5_000)
  t.deepEqual(platform.apiCalls.map(({ body }) => body), [], 'an order of one server would stop two of the three in zone-a')
  state.domains = ['zone-a', 'zone-a', 'zone-b', 'zone-b']
  await pass(1_000)
  t.true(platform.apiCalls.length > 0, 'later it orders')
})
