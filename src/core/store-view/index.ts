/**
 * A local copy of the key-value service's content, kept up to date by one list request
 * and a watch, or by the changes that watching nodes report. While the service is
 * unreachable, content is fetched from other nodes. The view's revision never decreases,
 * also when the service is restored from an older copy: it contains the service's era.
 */
import type { KeyValueError, Watch } from '../platform/key-value/types.ts'
import { createRevision, eraOf, revisionInEra } from '../platform/key-value/revision.ts'
import { createHistory } from './history.ts'
import { logChangeFailure, notifyEach } from './listeners.ts'
import { readOmittedValues } from './omitted-values.ts'
import { peerCheckIntervalMs } from './propagation-times.ts'
import type { ChangeListener } from './listeners.ts'
import type { Snapshot, StoreView, StoreViewOptions, ViewChange, ViewEntry, ViewSource, ViewDelta } from './types.ts'

export type * from './types.ts'
export { createChangeListener } from './listeners.ts'
export { createPropagationTimes, maxLongPollMs, serviceResponseMs, watchBatchDelayMs } from './propagation-times.ts'

/** Timeout of a list request; several times the usual response time of a slow service. */
const listTimeoutMs = 1_500
/** Delay before the next request to the service after a failure. */
const defaultRetryPauseMs = 250
/** Longest time after a list for which a node waits for the first changes from others before it watches the service itself; three of their report intervals. */
const firstPeerUpdateMs = 600
const firstPeerUpdateCheckMs = 50

/** Creates a view; sends no request before `start` is called. */
export function createStoreView (options: StoreViewOptions): StoreView {
  const { store, clock, log, hasPeerUpdates = () => false, expectsPeerUpdates = () => false, isSameContent = () => false } = options
  const history = createHistory()
  const closed = new AbortController()
  const listeners: ChangeListener[] = []
  const restoreListeners: Array<() => void> = []
  let entries = new Map<string, ViewEntry>()
  let revision = 0
  let source: ViewSource = 'none'
  let lastUpdateAtMs = -Infinity
  let reachableSinceMs: number | undefined
  /** Monotonic time since which the service has responded to this node itself; undefined while it doesn't. */
  let ownReachableSinceMs: number | undefined
  /** Monotonic time up to which all changes are known from the service itself. */
  let ownContentAtMs = -Infinity
  let hasFailed = false
  let watch: Watch | undefined
  let isApplyingLargeDelta = false
  /** Whether this node currently watches the service itself. */
  let isWatching = false
  /** Whether the content must be listed, because there is none yet or changes were missed. */
  let needsList = true
  let prefersPeerContent = false
  let resolveFirstContent: () => void = () => {}
  const firstContent = new Promise<void>(resolve => { resolveFirstContent = resolve })

  function notifyListeners (changes: readonly ViewChange[]): void {
    if (changes.length > 0) notifyEach(listeners, changes, log)
  }

  function markReachable (reachableForMs: number): void {
    if (reachableSinceMs !== undefined) return
    reachableSinceMs = clock.monotonicMs() - reachableForMs
    log('keyValueUp', { revision, from: source })
  }

  function markUpdated (from: ViewSource): void {
    source = from
    if (from === 'store') markResponse()
    resolveFirstContent()
  }

  /** Records that the service responded to this node. */
  function markResponse (): void {
    lastUpdateAtMs = clock.monotonicMs()
    markReachable(0)
    ownReachableSinceMs ??= reachableSinceMs
  }

  function markUnreachable (error: KeyValueError): void {
    const isChange = reachableSinceMs !== undefined || !hasFailed
    hasFailed = true
    if (isChange) log('keyValueDown', { kind: error.kind, cause: error.message, revision })
    reachableSinceMs = undefined
    ownReachableSinceMs = undefined
  }

  /** Whether a revision is of a later era than the view, which therefore has content that the service lost. */
  function isAfterRestore (newRevision: number): boolean {
    return revision > 0 && eraOf(newRevision) > eraOf(revision)
  }

  /** Treats entries as if the service had just become reachable: their writers may write them again. */
  function markRestored (newRevision: number, changeCount: number): void {
    log('storeRestored', { era: eraOf(newRevision), revision: revisionInEra(newRevision), before: revisionInEra(revision), changes: changeCount, from: source })
    store.observeEra(eraOf(newRevision))
    reachableSinceMs = clock.monotonicMs()
    if (ownReachableSinceMs !== undefined) ownReachableSinceMs = reachableSinceMs
  }

  function isChanged (key: string, after: ViewEntry, isRestored: boolean): boolean {
    const before = entries.get(key)
    if (before === undefined) return true
    if (!isRestored) return before.modRevision !== after.modRevision
    if (before.value !== after.value) return !isSameContent(key, before.value, after.value)
    return revisionInEra(before.modRevision) !== revisionInEra(after.modRevision)
  }

  /** Replaces the content by a snapshot, which must not be older than the view. */
  function replace (snapshot: Snapshot, from: ViewSource): void {
    const isRestored = isAfterRestore(snapshot.revision)
    const changes: ViewChange[] = []
    for (const [key, entry] of snapshot.entries) {
      if (isChanged(key, entry, isRestored)) changes.push({ key, ...entry, ...(isRestored ? { isByRestore: true } : {}) })
    }
    for (const key of entries.keys()) {
      if (!snapshot.entries.has(key)) changes.push({ key, value: undefined, modRevision: snapshot.revision, ...(isRestored ? { isByRestore: true } : {}) })
    }
    entries = new Map(snapshot.entries)
    // Other nodes get what a restore changed as a delta, so that they don't all list the content.
    if (isRestored) history.addRestore(changes, revision)
    else history.reset(snapshot.revision)
    needsList = false
    markUpdated(from)
    if (isRestored) markRestored(snapshot.revision, changes.length)
    revision = snapshot.revision
    notifyListeners(changes)
    if (isRestored) notifyRestored()
  }

  function apply (changes: readonly ViewChange[], newRevision: number, from: ViewSource): void {
    // Changes from peers may be ahead of the watch, and the watch may be ahead of the peers.
    const newer = changes.filter(change => change.modRevision > revision && change.modRevision >= (entries.get(change.key)?.modRevision ?? 0))
    const isRestored = isAfterRestore(newRevision)
    const previousRevision = revision
    const relevant: ViewChange[] = []
    /** Changes that a later page of a list, or a read of a single value, contained ahead of the view's revision; other nodes may not know them. */
    const known: ViewChange[] = []
    for (const change of newer) {
      const { key, value, modRevision } = change
      const before = entries.get(key)
      if (value !== undefined && before?.modRevision === modRevision) {
        known.push(change)
        continue
      }
      if (value === undefined) entries.delete(key)
      else entries.set(key, { value, modRevision })
      if (value === undefined || before === undefined || !isSameContent(key, before.value, value)) relevant.push(change)
    }
    markUpdated(from)
    if (isRestored) {
      keepUnchangedEntries(eraOf(newRevision))
      markRestored(newRevision, relevant.length)
      history.addRestore(relevant, previousRevision)
    } else history.add([...known, ...relevant])
    revision = Math.max(revision, newRevision)
    notifyListeners(relevant)
    if (isRestored) notifyRestored()
  }

  function notifyRestored (): void {
    for (const listener of restoreListeners) listener()
  }

  /** Entries that a restore didn't change have the same revision in the new era. */
  function keepUnchangedEntries (era: number): void {
    for (const [key, { value, modRevision }] of entries) {
      if (eraOf(modRevision) < era) entries.set(key, { value, modRevision: createRevision(era, revisionInEra(modRevision)) })
    }
  }

  /** Watches the service. Resolves with the error when the watch is lost, or with undefined once other nodes report changes. */
  function watchUntilLost (): Promise<KeyValueError | undefined> {
    isWatching = true
    return new Promise<KeyValueError | undefined>(resolve => {
      const opened = store.watch('', revision, {
        onChanges: (changes, newRevision, contentAtMs = clock.monotonicMs()) => {
          apply(changes, newRevision, 'store')
          ownContentAtMs = contentAtMs
          if (!hasPeerUpdates()) return
          opened.close()
          resolve(undefined)
        },
        onLost: resolve
      })
      watch = opened
    }).finally(() => { isWatching = false })
  }

  async function applyLargeDelta ({ changes = [], revision: newRevision }: ViewDelta): Promise<void> {
    if (isApplyingLargeDelta) return
    isApplyingLargeDelta = true
    try {
      const complete = await readOmittedValues({ store, clock }, changes)
      if (complete !== undefined) apply(complete, newRevision, 'peer')
      else await updateFromPeers()
    } catch (error) {
      logChangeFailure(log, changes, error)
    } finally {
      isApplyingLargeDelta = false
    }
  }

  function applyDelta (delta: ViewDelta): void {
    const isComplete = !needsList && delta.changes !== undefined
    if (delta.revision > revision && isComplete) {
      if (delta.changes?.some(({ isValueOmitted }) => isValueOmitted) === true) applyLargeDelta(delta)
      else apply(delta.changes ?? [], delta.revision, 'peer')
    }
    if (delta.revision > revision && delta.changes === undefined && !isWatching) {
      needsList = true
      // Nodes that can't apply the changes of a restore get the whole content from others, which have read it already.
      if (isAfterRestore(delta.revision)) prefersPeerContent = true
    }
    if (delta.reachableForMs === undefined || needsList) return
    markReachable(delta.reachableForMs)
    if (delta.contentAgeMs !== undefined) lastUpdateAtMs = Math.max(lastUpdateAtMs, clock.monotonicMs() - delta.contentAgeMs)
  }

  function deltaAfter (knownRevision: number): ViewDelta {
    const part = knownRevision >= revision ? { changes: [], upToRevision: undefined } : history.after(knownRevision)
    const isComplete = part !== undefined && part.upToRevision === undefined && ownContentAtMs !== -Infinity
    // Only what the service itself responded: nodes that took over from each other that it responds would keep that up between them.
    return {
      revision: part?.upToRevision ?? revision,
      reachableForMs: isWatching && ownReachableSinceMs !== undefined ? clock.monotonicMs() - ownReachableSinceMs : undefined,
      contentAgeMs: isComplete ? clock.monotonicMs() - ownContentAtMs : undefined,
      changes: part?.changes
    }
  }

  async function listContent (): Promise<KeyValueError | undefined> {
    const sentAtMs = clock.monotonicMs()
    const listed = await store.list('', { deadlineAtMs: clock.wallMs() + listTimeoutMs })
    if (listed.isErr) return listed.error
    // A list that is older than content from a peer contains nothing new.
    needsList = false
    if (listed.value.revision < revision) return undefined
    const listedEntries = new Map(listed.value.entries.map(({ key, value, modRevision }) => [key, { value, modRevision }]))
    replace({ revision: listed.value.revision, entries: listedEntries }, 'store')
    ownContentAtMs = sentAtMs
    return undefined
  }

  async function updateFromPeers (isAfterRestore = false): Promise<void> {
    const snapshot = await options.fetchFromPeers(revision, isAfterRestore)
    if (snapshot !== undefined && snapshot.revision > revision) replace(snapshot, 'peer')
  }

  /** Lists the content if necessary, and then gives other nodes the time to report changes. */
  async function listIfNeeded (): Promise<KeyValueError | undefined> {
    if (!needsList) return undefined
    if (prefersPeerContent) {
      prefersPeerContent = false
      await updateFromPeers(true)
      if (!needsList) return undefined
    }
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
      try {
        await follow()
      } catch (error) {
        // Whatever could not be processed, the node must not stop following the service.
        logChangeFailure(log, [], error)
        needsList = true
        await clock.sleep(options.retryPauseMs?.() ?? defaultRetryPauseMs, closed.signal)
      }
    }
  }

  /** Lists or watches the service until something fails or other nodes report changes. */
  async function follow (): Promise<void> {
    if (!needsList && hasPeerUpdates()) return await clock.sleep(peerCheckIntervalMs, closed.signal)
    const listFailure = await listIfNeeded()
    if (listFailure === undefined && hasPeerUpdates()) return
    const failure = listFailure ?? await watchUntilLost()
    if (closed.signal.aborted || failure === undefined) return
    // A new list is needed only if the service no longer has the history. After a broken connection, the watch resumes at the last revision.
    if (failure.kind === 'KeyValueRejected') {
      needsList = true
      return log('storeHistoryLost', { revision, cause: failure.message })
    }
    markUnreachable(failure)
    await updateFromPeers()
    await clock.sleep(options.retryPauseMs?.() ?? defaultRetryPauseMs, closed.signal)
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
    onRestored: listener => { restoreListeners.push(listener) },
    isWatching: () => isWatching,
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
