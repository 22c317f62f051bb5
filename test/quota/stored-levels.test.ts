/** Low quota levels in the key-value service. */
import test from 'ava'
import { createManualClock } from '../../src/core/clock/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import { createMemoryKeyValue } from '../../src/core/platform/key-value/index.ts'
import { createStoredLevels } from '../../src/core/quota/index.ts'
import type { TeamId } from '../../src/core/ids/index.ts'
import type { Duty } from '../../src/core/leases/index.ts'
import type { QuotaLevels } from '../../src/core/quota/index.ts'

const team = toId<TeamId>('agency')

function setUp () {
  const clock = createManualClock(1_700_000_000_000)
  const kv = createMemoryKeyValue({ clock })
  const events: string[] = []
  const received: Array<{ levels: Array<[string, QuotaLevels]>, ageMs: number }> = []
  const state = { low: new Map<TeamId, QuotaLevels>() as Map<TeamId, QuotaLevels> | undefined, isHolder: true, era: 0 }
  const duty: Duty = {
    name: 'd', fencingNumber: () => 1, guard: () => state.isHolder ? { key: 'duties/d', modRevision: 0 } : undefined, orderWindow: () => undefined, close: async () => {}
  }
  const stored = createStoredLevels({
    store: { ...kv.connect('node'), era: () => state.era },
    clock,
    log: event => { events.push(event) },
    duty,
    quotas: { lowLevels: () => state.low, onStoredLevels: (levels, ageMs) => { received.push({ levels: [...levels], ageMs }) } }
  })
  return { clock, kv, events, received, state, stored }
}

test('the holder writes low levels twice a second, clears them once, and then writes nothing', async t => {
  const { clock, kv, state, stored } = setUp()
  const writes = () => kv.state.revision()
  await stored.reconcile()
  const cleared = writes()
  for (let round = 0; round < 20; round += 1) {
    await clock.advance(250)
    await stored.reconcile()
  }
  t.is(writes(), cleared, 'nothing is written while no level is low')
  state.low = new Map([[team, { quota: 10, tolerance: 2 }]])
  for (let round = 0; round < 8; round += 1) {
    await clock.advance(250)
    await stored.reconcile()
  }
  t.is(writes(), cleared + 4)
  state.isHolder = false
  await clock.advance(1_000)
  await stored.reconcile()
  t.is(writes(), cleared + 4)
})

test('a start reads the levels with their age, full buckets without a record, and nothing from an unreadable one', async t => {
  const { clock, kv, events, received, state, stored } = setUp()
  state.low = new Map([[team, { quota: 10, tolerance: 2 }]])
  await stored.reconcile()
  await clock.advance(1_500)
  stored.onContent(kv.state.get(stored.key)?.value)
  stored.onContent(undefined)
  stored.onContent('{"levels":3}')
  t.deepEqual(received, [{ levels: [['agency', { quota: 10, tolerance: 2 }]], ageMs: 1_500 }, { levels: [], ageMs: 0 }])
  t.deepEqual(events, ['quotaLevelsUnreadable'])
})

test('a start after a restore takes neither the levels of the copy nor their absence for what teams have left', async t => {
  const { clock, kv, events, received, state, stored } = setUp()
  state.low = new Map([[team, { quota: 10, tolerance: 2 }]])
  await stored.reconcile()
  const copy = kv.state.get(stored.key)?.value
  state.era = 1
  stored.onContent(copy)
  stored.onContent(undefined)
  t.deepEqual(received, [])
  t.deepEqual(events, ['quotaLevelsOutdated', 'quotaLevelsOutdated'])
  // A holder that lived through the restore writes the record of the new era, although no level is low.
  state.low = new Map()
  await clock.advance(600)
  await stored.reconcile()
  stored.onContent(kv.state.get(stored.key)?.value)
  t.deepEqual(received.map(({ levels }) => levels), [[]])
})

test('levels of one team that can not be read are left out, and those of the others hold', async t => {
  const { clock, events, received, stored } = setUp()
  stored.onContent(JSON.stringify({ atMs: clock.wallMs(), levels: { odd: { quota: 'x' }, none: null, agency: { quota: 10, tolerance: 2 } } }))
  t.deepEqual(received, [{ levels: [['agency', { quota: 10, tolerance: 2 }]], ageMs: 0 }])
  t.deepEqual(events, ['quotaLevelsUnreadable', 'quotaLevelsUnreadable'])
})
