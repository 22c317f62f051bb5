/**
 * Nodes of a large cluster with the real views and the real choice of collectors, on a
 * manual clock and without a network, over a key-value service that treats each node in
 * its own way.
 */
import { Result } from 'true-myth'
import { createManualClock } from '../../src/core/clock/index.ts'
import { createError } from '../../src/core/errors/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import { createSilentLog } from '../../src/core/log/index.ts'
import { createCollectors, reportIntervalMs } from '../../src/core/node-reports/index.ts'
import { createPropagationTimes, createStoreView, serviceResponseMs, watchBatchDelayMs } from '../../src/core/store-view/index.ts'
import type { NodeId } from '../../src/core/ids/index.ts'
import type { CollectorChoice } from '../../src/core/node-reports/index.ts'
import type { KeyValueChange, KeyValueError, KeyValueStore, WatchHandlers } from '../../src/core/platform/key-value/types.ts'
import type { StoreView } from '../../src/core/store-view/index.ts'

/** How the service treats the calls of a node: it responds, rejects them, leaves them without a response, or sends its responses late. */
export type Treatment = 'serve' | 'reject' | 'silent' | 'late'

const networkMs = 1
const responseMs = 4
const lateByMs = 300
const linkMbps = 10

interface Node {
  id: NodeId
  view: StoreView
  choice: () => CollectorChoice
  /** Time at which each key was seen for the first time. */
  seenAtMs: Map<string, number>
}

/** Starts `count` nodes that keep the given bound. */
export function createPropagationCluster (count: number, boundMs: number) {
  const clock = createManualClock()
  const times = createPropagationTimes({ boundMs, reportIntervalMs })
  const changes: KeyValueChange[] = []
  const waiting = new Set<() => void>()
  const treatments = new Map<number, Treatment>()
  const calls = { watch: 0, list: 0 }
  const ids = Array.from({ length: count }, (_, index) => toId<NodeId>(`node-${String(index).padStart(4, '0')}`))
  const nodes: Node[] = []

  const treatmentOf = (index: number): Treatment => treatments.get(index) ?? 'serve'
  const unavailable = (operation: string): KeyValueError => createError('KeyValueUnavailable', { operation, cause: 'no response' })
  const at = (delayMs: number, act: () => void): void => { clock.sleep(delayMs).then(act) }

  function put (key: string): void {
    changes.push({ key, value: 'x', modRevision: changes.length + 1 })
    for (const wake of [...waiting]) wake()
  }

  /** One long poll. A treatment that begins while it waits applies to its response. */
  async function poll (index: number, after: number): Promise<KeyValueChange[] | undefined> {
    calls.watch += 1
    const endsAtMs = clock.monotonicMs() + times.longPollMs
    const failsAtMs = endsAtMs + serviceResponseMs
    while (treatmentOf(index) !== 'reject' && changes.length <= after && clock.monotonicMs() < endsAtMs) {
      const woken = new AbortController()
      const wake = (): void => woken.abort()
      waiting.add(wake)
      await clock.sleep(endsAtMs - clock.monotonicMs(), woken.signal)
      waiting.delete(wake)
    }
    const found = changes.slice(after)
    await clock.sleep(responseMs + (treatmentOf(index) === 'late' ? lateByMs : 0))
    if (treatmentOf(index) === 'reject') return undefined
    if (treatmentOf(index) !== 'silent' && clock.monotonicMs() <= failsAtMs) return found
    await clock.sleep(failsAtMs - clock.monotonicMs())
    return undefined
  }

  function watch (index: number, afterRevision: number, handlers: WatchHandlers): { close: () => void } {
    const closed = new AbortController()
    async function run (): Promise<void> {
      let revision = afterRevision
      while (!closed.signal.aborted) {
        const sentAtMs = clock.monotonicMs()
        const found = await poll(index, revision)
        if (closed.signal.aborted) return
        if (found === undefined) return handlers.onLost(unavailable('watch'))
        revision += found.length
        handlers.onChanges(found, revision, found.length === 0 ? sentAtMs + times.longPollMs : sentAtMs)
        if (found.length > 0) await clock.sleep(watchBatchDelayMs)
      }
    }
    run()
    return { close: () => closed.abort() }
  }

  async function list (index: number): Promise<Result<{ entries: Array<{ key: string, value: string, modRevision: number }>, revision: number }, KeyValueError>> {
    calls.list += 1
    await clock.sleep(treatmentOf(index) === 'serve' ? responseMs : serviceResponseMs)
    if (treatmentOf(index) !== 'serve') return Result.err(unavailable('list'))
    return Result.ok({ entries: changes.map(change => ({ ...change, value: 'x' })), revision: changes.length })
  }

  function createNode (index: number): Node {
    const id = ids[index] as NodeId
    const others = ids.filter(other => other !== id).map(node => ({ node, linkMbps }))
    const collectors = createCollectors({ node: id, linkMbps, clock, draw: text => Number(text.slice(5)) / 10_000, takeoverAgeMs: times.takeoverAgeMs })
    let choice = collectors.choose(others, undefined)
    let sequence = 0
    const view = createStoreView({
      store: { list: () => list(index), watch: (_prefix, revision, handlers) => watch(index, revision, handlers) } as Partial<KeyValueStore> as KeyValueStore,
      clock,
      log: createSilentLog(),
      fetchFromPeers: async () => undefined,
      hasPeerUpdates: () => !choice.isWatcher && collectors.peerContentAgeMs() < times.maxPeerContentAgeMs,
      expectsPeerUpdates: () => !choice.isWatcher,
      retryPauseMs: () => choice.isWatcher ? 250 : 1_000
    })
    const seenAtMs = new Map<string, number>()
    view.onChanges(received => received.forEach(({ key }) => { if (!seenAtMs.has(key)) seenAtMs.set(key, clock.monotonicMs()) }))

    async function report (): Promise<void> {
      await clock.sleep(index * 37 % reportIntervalMs)
      for (;;) {
        choice = collectors.choose(others, undefined)
        sequence += 1
        const known = view.snapshot().revision
        for (const target of new Set([...choice.everyReport, ...(sequence % 2 === 0 ? choice.everySecondReport : [])])) {
          collectors.onReportSent(target)
          at(networkMs, () => {
            const delta = nodes[ids.indexOf(target)]!.view.deltaAfter(known)
            at(networkMs, () => {
              collectors.onDigestReceived(target, false, delta.contentAgeMs)
              view.applyDelta(delta)
            })
          })
        }
        await clock.sleep(reportIntervalMs)
      }
    }
    report()
    view.start()
    return { id, view, choice: () => choice, seenAtMs }
  }

  put('first')
  for (let index = 0; index < count; index += 1) nodes.push(createNode(index))

  return {
    clock,
    times,
    nodes,
    calls,
    put,
    treat: (indexes: readonly number[], treatment: Treatment) => { for (const index of indexes) treatments.set(index, treatment) },
    /** Longest time from a change at `putAtMs` until it was seen by one of the nodes; Infinity if one hasn't seen it. */
    slowestMs: (key: string, putAtMs: number, indexes: readonly number[]) => Math.max(...indexes.map(index => (nodes[index]?.seenAtMs.get(key) ?? Infinity) - putAtMs)),
    close: () => nodes.forEach(({ view }) => view.close())
  }
}
