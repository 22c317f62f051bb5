/**
 * Follows the key-value service by one list and then a watch. While the
 * service doesn't answer this node, other nodes are asked for what they know.
 * The view's revision never goes back.
 */
import type { KeyValueChange, KeyValueError, Watch } from '../platform/key-value/types.ts'
import type { Snapshot, StoreView, StoreViewOptions, ViewChange, ViewEntry, ViewSource } from './types.ts'

export type * from './types.ts'

/** Longest time of one list; several times a usual answer of a service that is slow. */
const listTimeoutMs = 1_500
/** Pause before the service is asked again after a failure. */
const retryPauseMs = 250

/** Creates a view; nothing is asked before `start`. */
export function createStoreView (options: StoreViewOptions): StoreView {
  const { store, clock, log } = options
  const closed = new AbortController()
  const listeners: Array<(changes: readonly ViewChange[]) => void> = []
  let entries = new Map<string, ViewEntry>()
  let revision = 0
  let source: ViewSource = 'none'
  let heardAtMs = -Infinity
  let reachableSinceMs: number | undefined
  let hasFailed = false
  let watch: Watch | undefined
  let hasContent: () => void = () => {}
  const firstContent = new Promise<void>(resolve => { hasContent = resolve })

  function tell (changes: readonly ViewChange[]): void {
    if (changes.length === 0) return
    for (const listener of listeners) listener(changes)
  }

  function heard (from: ViewSource): void {
    heardAtMs = clock.monotonicMs()
    if (from === 'store' && reachableSinceMs === undefined) {
      reachableSinceMs = heardAtMs
      log('keyValueUp', { revision })
    }
    source = from
    hasContent()
  }

  function lost (error: KeyValueError): void {
    const isNews = reachableSinceMs !== undefined || !hasFailed
    hasFailed = true
    if (isNews) log('keyValueDown', { kind: error.kind, cause: error.message, revision })
    reachableSinceMs = undefined
  }

  /** Takes over a whole content that is not older than what is known. */
  function replace (snapshot: Snapshot, from: ViewSource): void {
    const changes: ViewChange[] = []
    for (const [key, entry] of snapshot.entries) {
      if (entries.get(key)?.modRevision !== entry.modRevision) changes.push({ key, ...entry })
    }
    for (const key of entries.keys()) {
      if (!snapshot.entries.has(key)) changes.push({ key, value: undefined, modRevision: snapshot.revision })
    }
    entries = new Map(snapshot.entries)
    revision = snapshot.revision
    heard(from)
    tell(changes)
  }

  function apply (changes: readonly KeyValueChange[], newRevision: number): void {
    const newer = changes.filter(change => change.modRevision > (entries.get(change.key)?.modRevision ?? 0))
    for (const { key, value, modRevision } of newer) {
      if (value === undefined) entries.delete(key)
      else entries.set(key, { value, modRevision })
    }
    revision = Math.max(revision, newRevision)
    heard('store')
    tell(newer)
  }

  /** Watches until the watch is lost; resolves with the reason. */
  function follow (): Promise<KeyValueError> {
    return new Promise(resolve => {
      watch = store.watch('', revision, { onChanges: apply, onLost: resolve })
    })
  }

  async function listAll (): Promise<KeyValueError | undefined> {
    const listed = await store.list('', { deadlineAtMs: clock.wallMs() + listTimeoutMs })
    if (listed.isErr) return listed.error
    // A list that is older than what a peer told says nothing new.
    if (listed.value.revision < revision) return undefined
    const listedEntries = new Map(listed.value.entries.map(({ key, value, modRevision }) => [key, { value, modRevision }]))
    replace({ revision: listed.value.revision, entries: listedEntries }, 'store')
    return undefined
  }

  async function askPeers (): Promise<void> {
    const snapshot = await options.askPeers(revision)
    if (snapshot !== undefined && snapshot.revision > revision) replace(snapshot, 'peer')
  }

  async function run (): Promise<void> {
    let mustList = true
    while (!closed.signal.aborted) {
      const failure: KeyValueError = (mustList ? await listAll() : undefined) ?? await follow()
      if (closed.signal.aborted) return
      // Only a history that is gone needs a new list; a broken connection is taken up where it ended.
      mustList = mustList || failure.kind === 'KeyValueRejected' || reachableSinceMs === undefined
      if (failure.kind === 'KeyValueRejected') {
        log('storeHistoryLost', { revision, cause: failure.message })
        continue
      }
      lost(failure)
      await askPeers()
      await clock.sleep(retryPauseMs, closed.signal)
    }
  }

  return {
    get: key => entries.get(key),
    list: prefix => [...entries].filter(([key]) => key.startsWith(prefix)).map(([key, entry]) => ({ key, ...entry })),
    snapshot: () => ({ revision, entries }),
    source: () => source,
    reachableSinceMs: () => reachableSinceMs,
    heardAtMs: () => heardAtMs,
    onChanges: listener => { listeners.push(listener) },
    start: () => {
      run()
      return firstContent
    },
    close: () => {
      closed.abort()
      watch?.close()
    }
  }
}
