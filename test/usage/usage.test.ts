/** Usage counts over nodes and process runs, and the report of each window. */
import test from 'ava'
import { err, ok } from 'true-myth/result'
import { createManualClock } from '../../src/core/clock/index.ts'
import { createError } from '../../src/core/errors/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import { createSilentLog } from '../../src/core/log/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createMemoryKeyValue } from '../../src/core/platform/key-value/index.ts'
import { createStoreView } from '../../src/core/store-view/index.ts'
import { createUsage, createUsageReporter } from '../../src/core/usage/index.ts'
import type { NodeId, TeamId } from '../../src/core/ids/index.ts'
import type { OrderWindow } from '../../src/core/leases/index.ts'
import type { UsageReportResult, WindowCounts } from '../../src/core/usage/index.ts'

const team = toId<TeamId>('agency')
const windowMs = 5_000

test('sums the counts of all nodes and process runs, and a repeated report changes nothing', t => {
  const clock = createManualClock()
  const usage = createUsage({ clock, windowMs })
  const window = usage.windowAt(clock.wallMs())
  usage.recordStart(team)
  const peer = toId<NodeId>('peer')
  usage.mergePeerCounts(peer, 'first', new Map([[window, new Map([[team, 3]])]]))
  usage.mergePeerCounts(peer, 'first', new Map([[window, new Map([[team, 4]])]]))
  usage.mergePeerCounts(peer, 'second', new Map([[window, new Map([[team, 2]])]]))
  t.is(usage.totalOf(window).get(team), 7)
})

/** Creates reporters of several duty holders that share one key-value service. */
async function setUp (answer: () => UsageReportResult | 'lost', orderWindow: (holder: number) => OrderWindow | undefined = holder => ({ fencingNumber: holder, deadlineAtMs: Infinity })) {
  const clock = createManualClock(1_700_000_000_000)
  const service = createMemoryKeyValue({ clock })
  const sent: Array<{ holder: number, window: number, counts: Record<string, number> }> = []
  const restores = { count: 0 }
  async function createHolder (holder: number, counted: number, isFirstStart = true, reachableSinceMs: (() => number | undefined) | undefined = undefined) {
    const store = { ...service.connect(`holder-${holder}`), era: () => restores.count }
    const watched = createStoreView({ store, clock, log: createSilentLog(), fetchFromPeers: async () => undefined })
    await watched.start()
    // The view follows the revisions of one era, so what a restore changed is read from the service.
    const view = { ...watched, ...(reachableSinceMs === undefined ? {} : { reachableSinceMs }), get: (key: string) => restores.count > 0 ? service.state.get(key) : watched.get(key) }
    const usage = createUsage({ clock, windowMs })
    const duty = {
      name: 'd',
      fencingNumber: () => holder,
      guard: () => ({ key: 'duties/d', modRevision: 0 }),
      orderWindow: () => orderWindow(holder),
      close: async () => {}
    }
    const reporter = createUsageReporter({
      clock,
      log: createSilentLog(),
      metrics: createMetrics(),
      store,
      view,
      usage,
      duty,
      checksFencing: true,
      dueMs: 10_000,
      isFirstStart,
      send: async (window: number, counts: WindowCounts) => {
        sent.push({ holder, window, counts: Object.fromEntries(counts) })
        const result = answer()
        return result === 'lost' ? err(createError('PlatformCallFailed', { service: 's', operation: 'usage', cause: 'test' })) : ok(result)
      }
    })
    await reporter.reportDueWindows()
    for (let count = 0; count < counted; count += 1) usage.recordStart(team)
    return { reporter, usage, view }
  }
  return { clock, sent, createHolder, service, restores }
}

test('sends a window after its end and the settle time, and not again once it was accepted', async t => {
  const { clock, sent, createHolder } = await setUp(() => 'taken')
  const { reporter } = await createHolder(1, 4)
  await clock.advance(windowMs + 1_400)
  await reporter.reportDueWindows()
  t.is(sent.length, 0)
  await clock.advance(200)
  await reporter.reportDueWindows()
  await reporter.reportDueWindows()
  t.deepEqual(sent.map(({ counts }) => counts), [{ agency: 4 }])
})

test('sends the counts that were stored first, whichever holder sends the window', async t => {
  let lost = true
  const { clock, sent, createHolder } = await setUp(() => lost ? 'lost' : 'taken')
  const first = await createHolder(1, 4)
  const second = await createHolder(2, 3)
  await clock.advance(windowMs + 1_600)
  await first.reporter.reportDueWindows()
  lost = false
  await clock.advance(500)
  await second.reporter.reportDueWindows()
  t.deepEqual(sent.map(({ holder, counts }) => ({ holder, counts })), [
    { holder: 1, counts: { agency: 4 } },
    { holder: 2, counts: { agency: 4 } }
  ])
})

test('reports a window that ended before the start of the holder from the counts of other nodes', async t => {
  const { clock, sent, createHolder } = await setUp(() => 'taken')
  const window = Math.floor(clock.wallMs() / windowMs)
  await clock.advance(windowMs + 1_600)
  const { reporter, usage } = await createHolder(1, 0, false)
  usage.mergePeerCounts(toId<NodeId>('peer'), 'life', new Map([[window, new Map([[team, 6]])]]))
  await clock.advance(1_600)
  await reporter.reportDueWindows()
  t.deepEqual(sent.filter(report => report.window === window).map(({ counts }) => counts), [{ agency: 6 }])
})

test('sends nothing more with a fencing number that was rejected', async t => {
  const { clock, sent, createHolder } = await setUp(() => 'fenced')
  const { reporter } = await createHolder(1, 4)
  await clock.advance(windowMs + 1_600)
  await reporter.reportDueWindows()
  await clock.advance(windowMs)
  await reporter.reportDueWindows()
  t.is(sent.length, 1)
})

test('a new holder sends the counts that were fixed for a window before the key-value service lost them in a restore', async t => {
  const { clock, sent, createHolder, service, restores } = await setUp(() => 'taken')
  const first = await createHolder(1, 4)
  const second = await createHolder(2, 0, false)
  const copy = service.state.copy()
  await clock.advance(windowMs + 2_000)
  await first.reporter.reportDueWindows()
  await clock.advance(100)
  second.usage.recordStart(team)
  service.state.restore(copy)
  restores.count += 1
  await second.reporter.reportDueWindows()
  const [before, after] = [sent.filter(({ holder }) => holder === 1), sent.filter(({ holder }) => holder === 2)]
  t.is(before.length, 1)
  t.deepEqual(after.map(({ window, counts }) => ({ window, counts })), before.map(({ window, counts }) => ({ window, counts })))
  t.deepEqual(JSON.parse(service.state.list('cyclamenshunt/usage/')[0]?.value ?? '{}'), before[0]?.counts, 'the counts are stored again')
})

test('a new holder doesn\'t send other counts for a window that the previous one may have reported before a restore', async t => {
  const { clock, sent, createHolder, restores } = await setUp(() => 'taken')
  const holder = await createHolder(2, 3, false)
  await clock.advance(windowMs + 2_000)
  restores.count += 1
  await holder.reporter.reportDueWindows()
  t.deepEqual(sent, [])
  holder.usage.recordStart(team)
  await clock.advance(windowMs + 2_000)
  await holder.reporter.reportDueWindows()
  t.is(sent.length, 1, 'later windows are reported')
})

test('a reporter that learns the era with the first response of the key-value service skips nothing', async t => {
  const { clock, sent, createHolder, restores } = await setUp(() => 'taken')
  const holder = await createHolder(1, 3, true, () => restores.count === 0 ? undefined : 0)
  await clock.advance(windowMs + 2_000)
  restores.count = 4
  await holder.reporter.reportDueWindows()
  t.is(sent.length, 1)
})

test('a holder that was started after a restore sends no other counts for a window that may have been reported before it', async t => {
  const { clock, sent, createHolder, service, restores } = await setUp(() => 'taken')
  const first = await createHolder(1, 4)
  const copy = service.state.copy()
  await clock.advance(windowMs + 2_000)
  await first.reporter.reportDueWindows()
  service.state.restore(copy)
  restores.count += 1
  const second = await createHolder(2, 0, false)
  await clock.advance(1_600)
  await second.reporter.reportDueWindows()
  t.deepEqual(sent.map(({ holder }) => holder), [1])
  second.usage.recordStart(team)
  await clock.advance(windowMs)
  await second.reporter.reportDueWindows()
  t.deepEqual(sent.map(({ holder, counts }) => ({ holder, counts })).slice(1), [{ holder: 2, counts: { agency: 1 } }])
  // Another restart, without a restore: the service has all that was reported since.
  await clock.advance(windowMs)
  const third = await createHolder(3, 0, false)
  await clock.advance(1_600)
  await third.reporter.reportDueWindows()
  const windows = sent.map(({ window }) => window)
  t.is(windows.at(-1)! - windows[0]!, 2, 'the window that ended before the restart is reported')
  t.false(sent.some(({ holder, window }) => holder > 1 && window === windows[0]))
})

test('a holder that was started after a restore sends the counts that the copy has', async t => {
  const { clock, sent, createHolder, service, restores } = await setUp(() => 'lost')
  const first = await createHolder(1, 4)
  await clock.advance(windowMs + 2_000)
  await first.reporter.reportDueWindows()
  service.state.restore(service.state.copy())
  restores.count += 1
  const second = await createHolder(2, 0, false)
  await clock.advance(1_600)
  await second.reporter.reportDueWindows()
  const reports = sent.filter(({ window }) => window === sent[0]?.window)
  t.deepEqual(reports.map(({ holder, counts }) => ({ holder, counts })), [1, 2].map(holder => ({ holder, counts: { agency: 4 } })))
})

test('a holder that lives through a restore stores the counts again before a later one relies on the service', async t => {
  const { clock, sent, createHolder, service, restores } = await setUp(() => 'taken', holder => ({ fencingNumber: 10 * restores.count + holder, deadlineAtMs: Infinity }))
  const first = await createHolder(1, 4)
  const copy = service.state.copy()
  await clock.advance(windowMs + 2_000)
  await first.reporter.reportDueWindows()
  service.state.restore(copy)
  restores.count += 1
  await first.reporter.reportDueWindows()
  const second = await createHolder(2, 0, false)
  await clock.advance(1_600)
  await second.reporter.reportDueWindows()
  const reports = sent.filter(({ window }) => window === sent[0]?.window)
  t.deepEqual(reports.map(({ holder, counts }) => ({ holder, counts })), [1, 1, 2].map(holder => ({ holder, counts: { agency: 4 } })))
})
