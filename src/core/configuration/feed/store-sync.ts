/** Fetches the state of a feed from the key-value service: single reads on any node, and the watch on watcher nodes. */
import type { KeyValueStore } from '../../platform/key-value/types.ts'
import type { FeedComponentOptions } from './component-options.ts'

/** Options of a store sync. */
export interface StoreSyncOptions extends FeedComponentOptions {
  store: KeyValueStore
}

/** Fetches one feed's state from the service. */
export interface StoreSync {
  /** Reads all keys once and ignores a state that is older than the table. Returns whether the service responded. */
  read: () => Promise<boolean>
  /** Reads all keys, then watches until the watch is lost or the signal aborts. Calls `onAdvanced` after the read and each change. */
  watch: (signal: AbortSignal, onAdvanced: () => void) => Promise<void>
}

/** Creates the store sync of one node. */
export function createStoreSync (options: StoreSyncOptions): StoreSync {
  const { prefix, store, table, clock, log, metrics, bounds, random, onRevisionSeen, onStateChanged } = options

  async function read (): Promise<boolean> {
    const result = await store.list(prefix, { deadlineAtMs: clock.wallMs() + bounds.serviceTimeoutMs })
    metrics.count('feed_service_reads_total', { prefix, result: result.isOk ? 'answered' : 'failed' })
    if (result.isErr) return false
    onRevisionSeen(result.value.revision)
    if (result.value.revision < table.revision()) metrics.count('feed_stale_reads_total', { prefix })
    if (table.installSnapshot(result.value)) onStateChanged('service')
    return true
  }

  function watchUntilLost (signal: AbortSignal, onAdvanced: () => void): Promise<void> {
    return new Promise(resolve => {
      const watch = store.watch(prefix, table.revision(), {
        onChanges: (changes, revision) => {
          onRevisionSeen(revision)
          // A watch reports every change since its start, so the delta may start at the table's revision.
          const delta = { fromRevision: table.revision(), toRevision: revision, changes }
          if (table.applyDelta(delta) === 'applied') onStateChanged('watch')
          onAdvanced()
        },
        onLost: error => {
          metrics.count('feed_watches_lost_total', { prefix })
          log('feedWatchLost', { prefix, cause: error.message })
          resolve()
        }
      })
      signal.addEventListener('abort', () => {
        watch.close()
        resolve()
      }, { once: true })
    })
  }

  async function watch (signal: AbortSignal, onAdvanced: () => void): Promise<void> {
    if (await read() && !signal.aborted) {
      onAdvanced()
      await watchUntilLost(signal, onAdvanced)
    }
    await clock.sleep(bounds.retryDelayMs * (0.5 + random()), signal)
  }

  return { read, watch }
}
