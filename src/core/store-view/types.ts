/** Types of the store view, a local copy of the key-value service's content. */
import type { KeyValueStore } from '../platform/key-value/types.ts'
import type { Clock } from '../clock/index.ts'
import type { Log } from '../log/index.ts'

/** The value of one key. */
export interface ViewEntry {
  value: string
  modRevision: number
}

/** The whole content at one revision. */
export interface Snapshot {
  revision: number
  entries: ReadonlyMap<string, ViewEntry>
}

/** A change of one key; `value` is undefined if the key was deleted. */
export interface ViewChange {
  key: string
  value: string | undefined
  modRevision: number
  /** Set if the service was restored from an older copy: the key has its earlier value, or is missing until its writer writes it again. */
  isByRestore?: true
}

/** A change as another node reports it. A large value is omitted and must be read from the service. */
export interface DeltaChange extends ViewChange {
  isValueOmitted?: true
}

/** The changes at the service since a revision, as another node reports them. */
export interface ViewDelta {
  /** Revision up to which the changes are complete; the rest of a large delta follows with the next one. */
  revision: number
  /** Time for which the service has responded to that node without interruption; undefined while it doesn't. A duration, because the clocks of nodes differ. */
  reachableForMs: number | undefined
  /** Time since the latest moment at which that node, from the service itself, knew all changes; undefined if this delta is only a part of them. */
  contentAgeMs: number | undefined
  /** The changes since the requested revision; undefined if that node no longer stores all of them. */
  changes: DeltaChange[] | undefined
}

/** The source of the view's latest content. */
export type ViewSource = 'none' | 'store' | 'peer'

/** A local copy of the service's content that is kept up to date. */
export interface StoreView {
  get: (key: string) => ViewEntry | undefined
  /** All keys with a prefix. */
  list: (prefix: string) => Array<ViewEntry & { key: string }>
  snapshot: () => Snapshot
  source: () => ViewSource
  /** Monotonic time since which the service has been reachable without interruption; undefined while it isn't. */
  reachableSinceMs: () => number | undefined
  /** Monotonic time of the last response of the service, to this node or to a peer that told its content. */
  lastUpdateAtMs: () => number
  /** The changes after a revision, for a node that knows the content up to it. */
  deltaAfter: (revision: number) => ViewDelta
  /** Applies the changes that another node reports. */
  applyDelta: (delta: ViewDelta) => void
  /** Adds a listener that is called after each update with all its changes. */
  onChanges: (listener: (changes: readonly ViewChange[]) => void) => void
  /** Adds a listener that is called after the service was restored from an older copy, also if that changed nothing in the view. */
  onRestored: (listener: () => void) => void
  /** Whether this node watches the service itself, and so gets all changes, not only those that other nodes pass on. */
  isWatching: () => boolean
  /** Starts to keep the view up to date; resolves when the first content is available. */
  start: () => Promise<void>
  close: () => void
}

/** Options of a view. */
export interface StoreViewOptions {
  store: KeyValueStore
  clock: Clock
  log: Log
  /** Fetches newer content from other nodes when the service is unreachable, or was restored; undefined if none has any. */
  fetchFromPeers: (afterRevision: number, isAfterRestore: boolean) => Promise<Snapshot | undefined>
  /** Whether other nodes report changes frequently enough that this node doesn't need a watch of its own. */
  hasPeerUpdates?: () => boolean
  /** Whether other nodes are about to report changes, so that it is worth waiting for them before a watch of its own. */
  expectsPeerUpdates?: () => boolean
  /** Delay before the next request to the service after a failure, in milliseconds. */
  retryPauseMs?: () => number
  /**
   * Whether a new value of a key means the same as the one before, like that of a
   * periodic heartbeat. Such a change is stored, but neither passed to listeners nor
   * reported to other nodes. By default every change counts.
   */
  isSameContent?: (key: string, before: string, after: string) => boolean
}
