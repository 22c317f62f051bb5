/** Orders, records and backend servers of version moves as the platform's store has them after a restore. */
import test from 'ava'
import { createRollouts } from '../../platform/rollouts.ts'
import { createManualClock } from '../../src/core/clock/index.ts'
import { createSilentLog } from '../../src/core/log/index.ts'
import { createMemoryKeyValue, createRevision } from '../../src/core/platform/key-value/index.ts'
import type { RolloutsOptions } from '../../platform/rollouts.ts'

const service = 'ledger'

/** The moves of a node that was started after a restore, with the order that the operator wrote again and a record from before. */
function setUp ({ durationMs, versions }: { durationMs: number, versions: Array<{ version: string, isLeaving: boolean }> }) {
  const clock = createManualClock()
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
    backends: { entries: () => versions },
    routeTable: () => undefined,
    nodeCount: () => 1
  }
  return { clock, moves: createRollouts(options as RolloutsOptions) }
}

const both = [{ version: 'v1', isLeaving: false }, { version: 'v2', isLeaving: false }]

test('the recorded result of an order holds when a restarted node finds the order written again after a restore', t => {
  t.is(setUp({ durationMs: 12_000, versions: both }).moves.canaryShareOf(service), 0)
  t.true(setUp({ durationMs: 20_000, versions: both }).moves.canaryShareOf(service) > 0, 'another order is evaluated')
})

test('old servers that are leaving do not keep requests from the new version', async t => {
  const { clock, moves } = setUp({ durationMs: 20_000, versions: [{ version: 'v1', isLeaving: true }, { version: 'v2', isLeaving: false }] })
  moves.canaryShareOf(service)
  await clock.advance(6_000)
  t.is(moves.canaryShareOf(service), 1)
})
