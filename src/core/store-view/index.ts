/**
 * A local copy of the key-value service's content, kept up to date by one list request
 * and a watch, or by the changes that watching nodes report. While the service is
 * unreachable, content is fetched from other nodes. The view's revision never decreases.
 */
import type { KeyValueChange, KeyValueError, Watch } from '../platform/key-value/types.ts'
import { createHistory } from './history.ts'
import type { Snapshot, StoreView, StoreViewOptions, DeltaChange, ViewChange, ViewEntry, ViewSource, ViewDelta } from './types.ts'

export type * from './types.ts'

/** Timeout of a list request; several times the usual response time of a slow service. */
const listTimeoutMs = 1_500
/** Delay before the next request to the service after a failure. */
const defaultRetryPauseMs = 250
/** Interval at which to check whether other nodes still report changes; a fraction of the time after which they count as silent. */
const peerCheckIntervalMs = 400
/** Longest time after a list for which a node waits for the first changes from others before it watches the service itself; three of their report intervals. */
const firstPeerUpdateMs = 600
const firstPeerUpdateCheckMs = 50
/** Timeout of a read of an omitted value. */
const readTimeoutMs = 800

/** Creates a view; sends no request before `start` is called. */
export function createStoreView (options: StoreViewOptions): StoreView {
  const { store, clock, log, hasPeerUpdates = () => false, expectsPeerUpdates = () => false, isSameContent = () => false } = options
  const history = createHistory()
  const closed = new AbortController()
  const listeners: Array<(changes: readonly ViewChange[]) => void> = []
  let entries = new Map<string, ViewEntry>()
  let revision = 0
  let source: ViewSource = 'none'
  let lastUpdateAtMs = -Infinity
  let reachableSinceMs: number | undefined
  let hasFailed = false
  let watch: Watch | undefined
  let isApplyingLargeDelta = false
  /** Whether this node currently watches the service itself. */
  let isWatching = false
  /** Whether the content must be listed, because there is none yet or changes were missed. */
  let needsList = true
  let resolveFirstContent: () => void = () => {}
  const firstContent = new Promise<void>(resolve => { resolveFirstContent = resolve })

  function notifyListeners (changes: readonly ViewChange[]): void {
    if (changes.length === 0) return
    for (const listener of listeners) listener(changes)
  }

  function markReachable (reachableForMs: number): void {
    if (reachableSinceMs !== undefined) return
    reachableSinceMs = clock.monotonicMs() - reachableForMs
    log('keyValueUp', { revision, from: source })
  }

  function markUpdated (from: ViewSource): void {
    lastUpdateAtMs = clock.monotonicMs()
    source = from
    if (from === 'store') markReachable(0)
    resolveFirstContent()
  }

  function markUnreachable (error: KeyValueError): void {
    const isChange = reachableSinceMs !== undefined || !hasFailed
    hasFailed = true
    if (isChange) log('keyValueDown', { kind: error.kind, cause: error.message, revision })
    reachableSinceMs = undefined
  }

  /** Replaces the content by a snapshot, which must not be older than the view. */
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
    history.reset(revision)
    needsList = false
    markUpdated(from)
    notifyListeners(changes)
  }

  function apply (changes: readonly KeyValueChange[], newRevision: number, from: ViewSource): void {
    // Changes from peers may be ahead of the watch, and the watch may be ahead of the peers.
    const newer = changes.filter(change => change.modRevision > revision && change.modRevision > (entries.get(change.key)?.modRevision ?? 0))
    const relevant: ViewChange[] = []
    for (const change of newer) {
      const { key, value, modRevision } = change
      const before = entries.get(key)?.value
      if (value === undefined) entries.delete(key)
      else entries.set(key, { value, modRevision })
      if (value === undefined || before === undefined || !isSameContent(key, before, value)) relevant.push(change)
    }
    revision = Math.max(revision, newRevision)
    history.add(relevant)
    markUpdated(from)
    notifyListeners(relevant)
  }

  /** Watches the service. Resolves with the error when the watch is lost, or with undefined once other nodes report changes. */
  function watchUntilLost (): Promise<KeyValueError | undefined> {
    isWatching = true
    return new Promise<KeyValueError | undefined>(resolve => {
      const opened = store.watch('', revision, {
        onChanges: (changes, newRevision) => {
          apply(changes, newRevision, 'store')
          if (!hasPeerUpdates()) return
          opened.close()
          resolve(undefined)
        },
        onLost: resolve
      })
      watch = opened
    }).finally(() => { isWatching = false })
  }

  /** Reads the omitted values; undefined if one can't be read. */
  async function readOmittedValues (changes: readonly DeltaChange[]): Promise<ViewChange[] | undefined> {
    const complete: ViewChange[] = []
    for (const change of changes) {
      if (change.isValueOmitted !== true) {
        complete.push(change)
        continue
      }
      const read = await store.get(change.key, { deadlineAtMs: clock.wallMs() + readTimeoutMs })
      if (read.isErr) return undefined
      const { entry } = read.value
      complete.push({ key: change.key, value: entry?.value, modRevision: entry?.modRevision ?? change.modRevision })
    }
    return complete
  }

  async function applyLargeDelta ({ changes = [], revision: newRevision }: ViewDelta): Promise<void> {
    if (isApplyingLargeDelta) return
    isApplyingLargeDelta = true
    const complete = await readOmittedValues(changes)
    if (complete !== undefined) apply(complete, newRevision, 'peer')
    else await updateFromPeers()
    isApplyingLargeDelta = false
  }

  function applyDelta (delta: ViewDelta): void {
    const isComplete = !needsList && delta.changes !== undefined
    if (delta.revision > revision && isComplete) {
      if (delta.changes?.some(({ isValueOmitted }) => isValueOmitted) === true) applyLargeDelta(delta)
      else apply(delta.changes ?? [], delta.revision, 'peer')
    }
    if (delta.revision > revision && delta.changes === undefined && !isWatching) needsList = true
    if (delta.reachableForMs === undefined || needsList) return
    markReachable(delta.reachableForMs)
    lastUpdateAtMs = clock.monotonicMs()
  }

  function deltaAfter (knownRevision: number): ViewDelta {
    const part = knownRevision >= revision ? { changes: [], upToRevision: undefined } : history.after(knownRevision)
    return {
      revision: part?.upToRevision ?? revision,
      reachableForMs: isWatching && reachableSinceMs !== undefined ? clock.monotonicMs() - reachableSinceMs : undefined,
      changes: part?.changes
    }
  }

  async function listContent (): Promise<KeyValueError | undefined> {
    const listed = await store.list('', { deadlineAtMs: clock.wallMs() + listTimeoutMs })
    if (listed.isErr) return listed.error
    // A list that is older than content from a peer contains nothing new.
    needsList = false
    if (listed.value.revision < revision) return undefined
    const listedEntries = new Map(listed.value.entries.map(({ key, value, modRevision }) => [key, { value, modRevision }]))
    replace({ revision: listed.value.revision, entries: listedEntries }, 'store')
    return undefined
  }

  async function updateFromPeers (): Promise<void> {
    const snapshot = await options.fetchFromPeers(revision)
    if (snapshot !== undefined && snapshot.revision > revision) replace(snapshot, 'peer')
  }

  /** Lists the content if necessary, and then gives other nodes the time to report changes. */
  async function listIfNeeded (): Promise<KeyValueError | undefined> {
    if (!needsList) return undefined
    const failure = await listContent()
    if (failure !== undefined) return failure
    const deadlineMs = clock.monotonicMs() + firstPeerUpdateMs
    while (!closed.signal.aborted && expectsPeerUpdates() && !hasPeerUpdates() && clock.monotonicMs() < deadlineMs) {
      await clock.sleep(firstPeerUpdateCheckMs, closed.signal)
    }
    return undefined
  }

  async function run (): Promise<void> {
    while (!closed.signal.aborted) {
      if (!needsList && hasPeerUpdates()) {
        await clock.sleep(peerCheckIntervalMs, closed.signal)
        continue
      }
      const listFailure = await listIfNeeded()
      if (listFailure === undefined && hasPeerUpdates()) continue
      const failure = listFailure ?? await watchUntilLost()
      if (closed.signal.aborted) return
      if (failure === undefined) continue
      // A new list is needed only if the service no longer has the history. After a broken connection, the watch resumes at the last revision.
      if (failure.kind === 'KeyValueRejected') {
        needsList = true
        log('storeHistoryLost', { revision, cause: failure.message })
        continue
      }
      markUnreachable(failure)
      await updateFromPeers()
      await clock.sleep(options.retryPauseMs?.() ?? defaultRetryPauseMs, closed.signal)
    }
  }

  return {
    get: key => entries.get(key),
    list: prefix => [...entries].filter(([key]) => key.startsWith(prefix)).map(([key, entry]) => ({ key, ...entry })),
    snapshot: () => ({ revision, entries }),
    source: () => source,
    reachableSinceMs: () => reachableSinceMs,
    lastUpdateAtMs: () => lastUpdateAtMs,
    deltaAfter,
    applyDelta,
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
