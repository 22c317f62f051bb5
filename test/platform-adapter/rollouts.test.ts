/** Orders, records and backend servers of version moves as the platform's store has them after a restore. */
import test from 'ava'
import { createRollouts } from '../../platform/rollouts.ts'
import { createManualClock } from '../../src/core/clock/index.ts'
import { createSilentLog } from '../../src/core/log/index.ts'
import { createMemoryKeyValue, createRevision } from '../../src/core/platform/key-value/index.ts'
import { createRegistrationTimes } from '../../src/core/registrations/index.ts'
import type { RolloutsOptions } from '../../platform/rollouts.ts'

const service = 'ledger'

/** The moves of a node that was started after a restore, with the order that the operator wrote again and a record from before. */
function setUp (durationMs: number) {
  const clock = createManualClock()
  const registrationTimes = createRegistrationTimes(1_200)
  const settledAtMs = clock.monotonicMs() + registrationTimes.settleMs
  const entries = new Map([
    [`op/rollout/${service}`, { value: JSON.stringify({ service, target: 'v2', duration_s: 12 }), modRevision: createRevision(2, 80) }],
    [`cyclamenshunt/moves/${service}`, { value: JSON.stringify({ revision: createRevision(1, 50), startedAtMs: clock.wallMs(), target: 'v2', durationMs, state: 'taken-back' }), modRevision: createRevision(2, 52) }]
  ])
  const options: Partial<Record<keyof RolloutsOptions, unknown>> = {
    settings: { node: 'node-a', bounds: { canaryShare: 0.1, canarySlackRequests: 50 } },
    clock,
    log: createSilentLog(),
    store: { ...createMemoryKeyValue({ clock }).connect('node-a'), era: () => 2 },
    view: {
      get: (key: string) => entries.get(key),
      list: (prefix: string) => [...entries].filter(([key]) => key.startsWith(prefix)).map(([key, entry]) => ({ key, ...entry })),
      onChanges: () => {},
      lastUpdateAtMs: () => clock.monotonicMs()
    },
    backends: { otherVersionPresence: (_service: string, version: string) => version === 'v2' ? 'absent' : 'running', areRegistrationsSettled: () => clock.monotonicMs() >= settledAtMs },
    registrationTimes,
    routeTable: () => undefined,
    nodeCount: () => 1
  }
  return { clock, moves: createRollouts(options as RolloutsOptions) }
}

test('the recorded result of an order holds when a restarted node finds the order written again after a restore', t => {
  t.is(setUp(12_000).moves.canaryShareOf(service), 0)
  t.true(setUp(20_000).moves.canaryShareOf(service) > 0, 'another order is evaluated')
})

test('requests go to the new version once no server of another one is expected back', async t => {
  const { clock, moves } = setUp(20_000)
  t.true(moves.canaryShareOf(service) <= 0.1)
  await clock.advance(6_000)
  t.is(moves.canaryShareOf(service), 1)
})
