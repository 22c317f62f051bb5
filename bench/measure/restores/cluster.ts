/** Views of many nodes over a model of a key-value service that is restored from older copies. */
import { createSilentLog } from '../../../src/core/log/index.ts'
import { createMemoryKeyValue, createRevision, eraOf, revisionInEra } from '../../../src/core/platform/key-value/index.ts'
import { createStoreView } from '../../../src/core/store-view/index.ts'
import type { ManualClock } from '../../../src/core/clock/index.ts'
import type { KeyValueStore } from '../../../src/core/platform/key-value/index.ts'
import type { StoreView, ViewChange } from '../../../src/core/store-view/index.ts'

const noDeadline = { deadlineAtMs: Infinity }

/** A service with eras; counts the lists. */
export function createService (clock: ManualClock) {
  const memory = createMemoryKeyValue({ clock })
  let era = 1
  let lists = 0
  const open = new Set<() => void>()

  function connect (): KeyValueStore {
    const client = memory.connect('node')
    let seenEra = 0
    return {
      ...client,
      era: () => seenEra,
      observeEra: observed => { seenEra = Math.max(seenEra, observed) },
      list: async (prefix, options) => {
        lists += 1
        seenEra = era
        return (await client.list(prefix, options)).map(({ entries, revision }) => ({
          revision: createRevision(era, revision), entries: entries.map(entry => ({ ...entry, modRevision: createRevision(era, entry.modRevision) }))
        }))
      },
      watch: (prefix, afterRevision, handlers) => {
        const watch = client.watch(prefix, revisionInEra(afterRevision), {
          ...handlers,
          onChanges: (changes, revision) => handlers.onChanges(changes.map(change => ({ ...change, modRevision: createRevision(era, change.modRevision) })), createRevision(era, revision))
        })
        const end = (): void => {
          watch.close()
          handlers.onLost({ kind: 'KeyValueRejected', message: 'restored' } as never)
        }
        open.add(end)
        return { close: () => { open.delete(end); watch.close() } }
      }
    }
  }

  const writer = memory.connect('writer')
  return {
    connect,
    put: (key: string, value: string) => writer.transact({ compares: [], puts: [{ key, value }], deletes: [] }, noDeadline),
    remove: (key: string) => writer.transact({ compares: [], puts: [], deletes: [key] }, noDeadline),
    copy: () => memory.state.copy(),
    restore: (copy: ReturnType<typeof memory.state.copy>) => {
      memory.state.restore(copy)
      era += 1
      for (const end of [...open]) end()
      open.clear()
    },
    lists: () => lists,
    resetLists: () => { lists = 0 }
  }
}

/** The first two nodes watch the service; the others get their deltas, each from one of the two. */
export async function createCluster (clock: ManualClock, service: ReturnType<typeof createService>, count: number) {
  const views: StoreView[] = []
  const changes: ViewChange[][] = []
  for (let index = 0; index < count; index += 1) {
    const isWatcher = index < 2
    const seen: ViewChange[] = []
    const view = createStoreView({
      store: service.connect(),
      clock,
      log: createSilentLog(),
      fetchFromPeers: async (afterRevision, isAfterRestore) => {
        const snapshot = views[index % 2]!.snapshot()
        return isAfterRestore && snapshot.revision > afterRevision ? snapshot : undefined
      },
      hasPeerUpdates: () => !isWatcher
    })
    view.onChanges(received => seen.push(...received))
    views.push(view)
    changes.push(seen)
    view.start()
  }
  const exchange = async (rounds = 1): Promise<void> => {
    for (let round = 0; round < rounds; round += 1) {
      await clock.advance(400)
      for (const [index, view] of views.entries()) if (index >= 2) view.applyDelta(views[index % 2]!.deltaAfter(view.snapshot().revision))
      await clock.advance(10)
    }
  }
  await exchange(3)
  return { views, changes, exchange }
}

/** Keys and values of a view, with the era of each. */
export function contentOf (view: StoreView): Array<[key: string, value: string, era: number]> {
  return view.list('').map(({ key, value, modRevision }): [string, string, number] => [key, value, eraOf(modRevision)]).toSorted()
}
