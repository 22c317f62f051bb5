import test from 'ava'
import { liftRecords } from '../../src/cli/quarantine/records.ts'
import { createManualClock, createSystemClock } from '../../src/core/clock/index.ts'
import { isErrorOf } from '../../src/core/errors/index.ts'
import { createHttpKeyValue, createMemoryKeyValue } from '../../src/core/platform/key-value/index.ts'
import { decodeQuarantine, encodeQuarantine, quarantineKey } from '../../src/core/quarantine/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import { createKeyValueStandIn } from '../../src/stand-ins/index.ts'
import { runCli } from './run-cli.ts'
import type { BackendId, PromptPartId } from '../../src/core/ids/index.ts'
import type { QuarantineRecord } from '../../src/core/quarantine/index.ts'

const record: QuarantineRecord = {
  service: 'lyric-model', features: [toId<PromptPartId>('91bd3f06')], state: 'quarantined', changedAtMs: 2_000, sinceMs: 1_000, untilMs: 9_000_000_000_000, crashes: 3, backends: [toId<BackendId>('i-1')]
}

test('quarantine list shows refused prompts, and quarantine lift ends their refusal', async t => {
  const service = await createKeyValueStandIn()
  const clock = createSystemClock()
  const store = createHttpKeyValue({ endpoints: [service.url], clock })
  const deadline = () => ({ deadlineAtMs: clock.wallMs() + 5_000 })
  const endpoint = ['--endpoint', service.url]
  try {
    await store.transact({ compares: [], puts: [{ key: quarantineKey, value: encodeQuarantine([record]) }], deletes: [] }, deadline())
    t.regex((await runCli(['quarantine', 'list', ...endpoint])).stdout, /lyric-model +91bd3f06 +quarantined/)
    t.regex((await runCli(['quarantine', 'lift', 'other', ...endpoint])).stdout, /No quarantine has the part other/)
    const lifted = await runCli(['quarantine', 'lift', '91bd3f06', ...endpoint])
    t.is(lifted.code, 0, lifted.stderr)
    const stored = await store.get(quarantineKey, deadline())
    t.like(decodeQuarantine(stored.isOk ? stored.value.entry?.value ?? '' : '')?.[0], { state: 'lifted', features: record.features })
  } finally {
    await store.close()
    await service.close()
  }
})

test('a quarantine is not lifted over a record that was written meanwhile', async t => {
  const store = createMemoryKeyValue({ clock: createManualClock() }).connect('operator')
  const write = (changed: QuarantineRecord) => store.transact({ compares: [], puts: [{ key: quarantineKey, value: encodeQuarantine([changed]) }], deletes: [] }, { deadlineAtMs: Infinity })
  await write(record)
  const racing = {
    ...store,
    get: async (...args: Parameters<typeof store.get>) => {
      const read = await store.get(...args)
      await write({ ...record, crashes: 4 })
      return read
    }
  }
  const lifted = await liftRecords(racing, '91bd3f06', { nowMs: 3_000, deadlineAtMs: Infinity })
  t.true(lifted.isErr && isErrorOf(lifted.error, 'QuarantineConflict'))
})
